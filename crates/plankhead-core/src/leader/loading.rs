//! Loading at failover: a new leader loads all stored state before it makes any decision.

use super::{Leader, Target, RETRY_INTERVAL};
use crate::calls::{FinishedJob, LeaderCall, ObsoleteKey};
use crate::effects::{EffectSink, StepTime};
use crate::fleet::HeartbeatChange;
use crate::jobs::chunk::ChunkKey;
use crate::jobs::job::{JobId, JobPhase, JobRecord, CHUNK_PREFIX};
use crate::jobs::job_table::{tasks_per_chunk, StoredJob};
use crate::protocol::{CallError, Heartbeat, JobStatus, KeyValue, KvReply, KvRequest, LogLevel, MachineName};
use crate::requests::RequestHandler;
use std::time::Duration;

/// Whether the leader has loaded the stored state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Stage {
    #[default]
    Loading,
    Ready,
}

/// A stored chunk, which contains the placements of a range of a job's tasks. It is kept until all chunks
/// have been read.
#[derive(Debug)]
struct StoredChunk {
    key: ChunkKey,
    value: String,
    mod_revision: u64,
}

/// The progress of loading the stored state. The lists of jobs, chunks and intents are read one after the
/// other, each page by page.
#[derive(Debug, Default)]
pub(super) struct JobLoading {
    stage: Stage,
    /// The last key of the previous page of the list that is being read.
    after_key: Option<String>,
    /// When loading starts over, if a call has failed.
    retry_at: Option<Duration>,
    /// Whether a call has failed in this term.
    failed: bool,
    /// The chunks read so far.
    chunks: Vec<StoredChunk>,
}

impl JobLoading {
    /// Returns whether all stored state is loaded.
    pub(super) fn is_ready(&self) -> bool {
        self.stage == Stage::Ready
    }

    /// Returns when loading starts over, if a call has failed.
    pub(super) fn retry_due(&self) -> Option<Duration> {
        self.retry_at
    }

    /// Returns whether loading must start over now and, if so, resets the progress. Loading always starts
    /// over with the first list, whichever call failed, since it is harmless to load a row twice.
    pub(super) fn take_due_retry(&mut self, now: Duration) -> bool {
        let due = self.retry_at.is_some_and(|due| now >= due);
        if due {
            self.retry_at = None;
            self.after_key = None;
            self.chunks.clear();
        }
        due
    }

    /// Returns the key after which the next page of the current list begins.
    pub(super) fn after_key(&self) -> Option<String> {
        self.after_key.clone()
    }

    /// Records that a page with these rows of the current list was read.
    pub(super) fn page_loaded(&mut self, rows: &[KeyValue]) {
        self.after_key = rows.last().map(|row| row.key.clone());
    }

    /// Records that the current list was read completely: the next list starts from its first key.
    pub(super) fn list_completed(&mut self) {
        self.after_key = None;
    }
}

impl Leader {
    /// Requests the next page of the list of jobs, which is the first list to be loaded.
    pub fn begin_loading(&mut self, now: Duration, effects: &mut EffectSink) {
        self.job_watch.loading_began(now);
        let after = self.loading.after_key();
        self.call_kv(LeaderCall::ListJobs, KvRequest::List { prefix: "job/".into(), after }, effects);
    }

    /// Returns whether the leader has loaded all stored state.
    pub fn is_ready(&self) -> bool {
        self.loading.is_ready()
    }

    /// Returns whether the leader is still loading and no call has failed so far.
    pub fn is_loading(&self) -> bool {
        !self.loading.is_ready() && !self.loading.failed
    }

    /// Schedules loading to start over, after a call has failed.
    pub(super) fn retry_loading(&mut self, now: Duration) {
        self.loading.retry_at = Some(now + RETRY_INTERVAL);
        self.loading.failed = true;
    }

    /// Requests the next page of the list of chunks.
    fn list_chunks(&mut self, effects: &mut EffectSink) {
        let after = self.loading.after_key();
        self.call_kv(LeaderCall::ListChunks, KvRequest::List { prefix: CHUNK_PREFIX.into(), after }, effects);
    }

    /// Handles a page of the list of jobs.
    pub(super) fn jobs_page_loaded(
        &mut self,
        times: StepTime,
        reply: Result<KvReply, CallError>,
        requests: &mut RequestHandler,
        effects: &mut EffectSink,
    ) {
        let Ok(KvReply::Page { rows, truncated, revision }) = reply else {
            return self.retry_loading(times.now);
        };
        self.job_watch.first_page_loaded(revision);
        self.loading.page_loaded(&rows);
        for row in &rows {
            self.job_record_changed(times, row, requests);
        }
        if truncated {
            return self.begin_loading(times.now, effects);
        }
        self.loading.list_completed();
        self.list_chunks(effects);
    }

    /// Handles a page of the list of chunks.
    pub(super) fn chunks_page_loaded(
        &mut self,
        times: StepTime,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) {
        let Ok(KvReply::Page { rows, truncated, .. }) = reply else {
            return self.retry_loading(times.now);
        };
        self.loading.page_loaded(&rows);
        for row in rows {
            match ChunkKey::parse(&row.key) {
                Some(key) if !self.job_table.jobs.contains_key(&key.job) => {
                    self.garbage.add([ObsoleteKey { key: row.key, revision: Some(row.mod_revision) }]);
                }
                Some(key) => {
                    let (value, mod_revision) = (row.value, row.mod_revision);
                    self.loading.chunks.push(StoredChunk { key, value, mod_revision });
                }
                None => effects.log(LogLevel::Error, format!("chunk key unreadable: key={}", row.key)),
            }
        }
        if truncated {
            return self.list_chunks(effects);
        }
        self.loading.list_completed();
        if self.intents.is_fenced() {
            return self.list_intents(effects);
        }
        self.read_target(effects);
    }

    /// Handles the stored target, which is loaded last, and completes loading.
    pub(super) fn target_loaded(
        &mut self,
        times: StepTime,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) {
        let Ok(KvReply::Value(row)) = reply else {
            return self.retry_loading(times.now);
        };
        let now = times.now;
        self.load_all_chunks(now, effects);
        // A stored target shows that the service is not new, so the jobs that arrive from now on are not
        // an initial backlog.
        if row.is_some() {
            self.arrivals.mark_service_running();
        }
        if let Some(target) = row.and_then(|r| serde_json::from_str::<Target>(&r.value).ok()) {
            let ended_at = times.monotonic_of(target.at_ms);
            let interval = self.round_interval();
            self.sizing.schedule((ended_at + interval).min(now + interval));
            self.target.loaded(target);
        }
        self.expect_placed_machines(now);
        self.adopt_intents(now, effects);
        self.loading.stage = Stage::Ready;
        let heartbeats: Vec<Heartbeat> =
            self.fleet.machines.values().filter_map(|m| m.last_heartbeat.clone()).collect();
        for heartbeat in heartbeats {
            self.observe_tasks(times, &heartbeat, HeartbeatChange::Changed, effects);
        }
        effects.log(
            LogLevel::Info,
            format!(
                "leader ready: token={} jobs={} machines={} after_s={:.3}",
                self.token,
                self.job_table.jobs.len(),
                self.fleet.machines.len(),
                now.saturating_sub(self.started_at).as_secs_f64()
            ),
        );
        self.placement.request_pass();
    }

    /// Loads all chunks into the job table, once every chunk has been read.
    fn load_all_chunks(&mut self, now: Duration, effects: &mut EffectSink) {
        let chunks = std::mem::take(&mut self.loading.chunks);
        // Smaller chunks are written only once every node runs a version that can read them.
        let (rechunked, original): (Vec<_>, Vec<_>) =
            chunks.into_iter().partition(|chunk| chunk.key.rechunked);
        self.all_nodes_upgraded |= !rechunked.is_empty();
        self.load_chunks(original, now, effects);
        if self.all_nodes_upgraded {
            self.job_table.rechunk(tasks_per_chunk(self.settings.max_value_bytes));
        }
        self.load_chunks(rechunked, now, effects);
        self.job_table.finish_loading();
        self.stop_broken_gangs(now, effects);
    }

    /// Treats all known machines as heard from just now. If tasks are placed on a machine that is not
    /// known, adds the machine and expects it to be up.
    fn expect_placed_machines(&mut self, now: Duration) {
        for machine in self.fleet.machines.values_mut() {
            machine.heartbeat_times.last_heard_at = machine.heartbeat_times.last_heard_at.max(now);
            machine.heartbeat_times.last_direct_at = machine.heartbeat_times.last_heard_at;
        }
        let placed: Vec<MachineName> = self.job_table.machines().cloned().collect();
        for name in placed {
            // The machine was released while this leader was loading. No later event would prove that
            // its attempts are over.
            if self.fleet.is_removed(&name) {
                self.job_table.handle_machine_removal(&name, now);
            } else {
                self.fleet.add_placed_machine(&name, now);
            }
        }
    }

    /// Loads chunks into the job table. A job with an unreadable chunk is removed from it.
    fn load_chunks(&mut self, chunks: Vec<StoredChunk>, now: Duration, effects: &mut EffectSink) {
        for StoredChunk { key: ChunkKey { job, number, .. }, value, mod_revision } in chunks {
            if let Err(error) = self.job_table.load_chunk(&job, number, &value, mod_revision, now) {
                // Nothing may be started for a job whose attempts are unknown.
                effects.log(LogLevel::Error, format!("placements unreadable: job={job} reason={error}"));
                self.job_table.remove(&job);
            }
        }
    }

    /// Handles a job's record as read from the state service.
    pub fn job_record_changed(&mut self, times: StepTime, row: &KeyValue, requests: &mut RequestHandler) {
        let Some(id) = row.key.strip_prefix("job/").and_then(|id| JobId::parse(id).ok()) else { return };
        let Ok(record) = serde_json::from_str::<JobRecord>(&row.value) else { return };
        match record.phase {
            JobPhase::Done => {
                requests.record_ended(&id, JobStatus::Done, record.tasks);
                let stored = self.job_table.jobs.get(&id).map(|e| e.stored_keys(&id)).unwrap_or_default();
                let is_new = self.job_table.job_finished(&id);
                if !self.loading.is_ready() || is_new {
                    let job = FinishedJob { id: id.clone(), mod_revision: row.mod_revision, record };
                    self.garbage.archive(job);
                }
                if is_new {
                    self.garbage.add(stored);
                }
                return;
            }
            JobPhase::Cancelled => requests.record_ended(&id, JobStatus::Cancelled, 0),
            // After loading, this is an outdated event of a job that has ended. While loading, the row
            // may be older than a cancellation that this node has confirmed, but is accepted: without
            // the job, its stored placements would be treated as garbage, so that its tasks would not be
            // stopped and their resources not counted. The first events of the watch then report its end.
            JobPhase::Active if self.loading.is_ready() && requests.is_ended(&id) => return,
            JobPhase::Active => {}
        }
        let accepted_at = times.monotonic_of(record.accepted_ms);
        let cancelled_at = record.cancelled_ms.map(|ms| times.monotonic_of(ms));
        let tasks_per_chunk = record.per_chunk.max(1);
        if record.phase == JobPhase::Active && !self.job_table.jobs.contains_key(&id) {
            self.arrivals.record(accepted_at, record.spec.as_ref());
        }
        let job =
            StoredJob { record, mod_revision: row.mod_revision, accepted_at, cancelled_at, tasks_per_chunk };
        self.job_table.upsert(&id, job);
        self.placement.request_pass();
    }
}
