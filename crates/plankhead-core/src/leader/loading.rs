//! Failover: a new leader loads all state before it decides anything.

use super::{Leader, Target, RETRY_INTERVAL};
use crate::calls::{FinishedJob, LeaderCall, StoredKey};
use crate::effects::{EffectSink, StepTime};
use crate::fleet::HeartbeatNews;
use crate::jobs::job::{JobId, JobPhase, JobRecord};
use crate::jobs::job_table::{tasks_per_chunk, StoredJob};
use crate::protocol::{CallError, Heartbeat, JobStatus, KeyValue, KvReply, KvRequest, LogLevel, MachineName};
use crate::requests::RequestHandler;
use std::time::Duration;

/// Whether a new leader knows yet what is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Stage {
    #[default]
    Loading,
    Ready,
}

/// A chunk as it is stored, until every chunk is loaded.
#[derive(Debug)]
struct StoredChunk {
    job: JobId,
    /// It is one of the smaller chunks that replace those of the former limits.
    rechunked: bool,
    number: u32,
    value: String,
    mod_revision: u64,
}

/// How far the leader is with loading all state. The lists of jobs, chunks and intents
/// are read one after the other, each page by page.
#[derive(Debug, Default)]
pub(super) struct JobLoading {
    stage: Stage,
    /// The last key of the page before, within the present list.
    after_key: Option<String>,
    /// When loading starts over, after a call that failed.
    retry_at: Option<Duration>,
    /// A call has failed in this term.
    failed: bool,
    chunks: Vec<StoredChunk>,
}

impl JobLoading {
    pub(super) fn is_ready(&self) -> bool {
        self.stage == Stage::Ready
    }

    /// When loading starts over, if a call has failed.
    pub(super) fn retry_due(&self) -> Option<Duration> {
        self.retry_at
    }

    /// Whether loading is to start over now. It starts with an empty state, whatever
    /// call failed: rows are idempotent.
    pub(super) fn take_due_retry(&mut self, now: Duration) -> bool {
        let due = self.retry_at.is_some_and(|due| now >= due);
        if due {
            self.retry_at = None;
            self.after_key = None;
            self.chunks.clear();
        }
        due
    }

    /// Where the next page of the present list begins.
    pub(super) fn after_key(&self) -> Option<String> {
        self.after_key.clone()
    }

    /// Notes how far the present list is read.
    pub(super) fn page_loaded(&mut self, rows: &[KeyValue]) {
        self.after_key = rows.last().map(|row| row.key.clone());
    }

    /// The present list is read; the next one starts from its first key.
    pub(super) fn list_completed(&mut self) {
        self.after_key = None;
    }
}

impl Leader {
    /// Asks for the next page of the jobs, with which loading begins.
    pub fn begin_loading(&mut self, now: Duration, effects: &mut EffectSink) {
        self.job_watch.loading_began(now);
        let after = self.loading.after_key();
        self.call_kv(LeaderCall::ListJobs, KvRequest::List { prefix: "job/".into(), after }, effects);
    }

    /// Whether it still loads, and no call has failed.
    pub fn is_loading(&self) -> bool {
        !self.loading.is_ready() && !self.loading.failed
    }

    /// A call has failed: loading starts over soon.
    pub(super) fn retry_loading(&mut self, now: Duration) {
        self.loading.retry_at = Some(now + RETRY_INTERVAL);
        self.loading.failed = true;
    }

    fn list_chunks(&mut self, effects: &mut EffectSink) {
        let after = self.loading.after_key();
        self.call_kv(LeaderCall::ListChunks, KvRequest::List { prefix: "run/".into(), after }, effects);
    }

    /// Takes in a page of the jobs.
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

    /// Takes in a page of the chunks.
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
            let mut parts = row.key.splitn(3, '/').skip(1);
            let id = parts.next().and_then(|id| JobId::parse(id).ok());
            let number = parts.next().and_then(|n| match n.strip_prefix('s') {
                Some(number) => Some((true, number.parse::<u32>().ok()?)),
                None => Some((false, n.parse::<u32>().ok()?)),
            });
            match (id, number) {
                (Some(id), Some(_)) if !self.job_table.jobs.contains_key(&id) => {
                    self.garbage.add([StoredKey { key: row.key, revision: Some(row.mod_revision) }]);
                }
                (Some(job), Some((rechunked, number))) => {
                    let (value, mod_revision) = (row.value, row.mod_revision);
                    self.loading.chunks.push(StoredChunk { job, rechunked, number, value, mod_revision });
                }
                _ => effects.log(LogLevel::Error, format!("chunk key unreadable: key={}", row.key)),
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

    /// Takes in the target, the last that is loaded: this leader is ready from now on.
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
        // Not a new service: the jobs that are there came one after the other.
        if row.is_some() {
            self.arrivals.service_is_running();
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
            self.observe_tasks(times, &heartbeat, HeartbeatNews::Changed, effects);
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

    /// Fills the job table with the chunks, now that every one is read.
    fn load_all_chunks(&mut self, now: Duration, effects: &mut EffectSink) {
        let chunks = std::mem::take(&mut self.loading.chunks);
        // Smaller chunks exist only where no version is left that doesn't know them.
        let (rechunked, original): (Vec<_>, Vec<_>) = chunks.into_iter().partition(|chunk| chunk.rechunked);
        self.all_nodes_upgraded |= !rechunked.is_empty();
        self.load_chunks(original, now, effects);
        if self.all_nodes_upgraded {
            self.job_table.rechunk(tasks_per_chunk(self.settings.max_value_bytes));
        }
        self.load_chunks(rechunked, now, effects);
        self.job_table.finish_loading();
        self.stop_broken_gangs(now, effects);
    }

    /// Waits for the machines that tasks are placed on, as if they had just been heard.
    fn expect_placed_machines(&mut self, now: Duration) {
        for machine in self.fleet.machines.values_mut() {
            machine.heartbeat_times.last_heard_at = machine.heartbeat_times.last_heard_at.max(now);
            machine.heartbeat_times.last_direct_at = machine.heartbeat_times.last_heard_at;
        }
        let placed: Vec<MachineName> = self.job_table.machines().cloned().collect();
        for name in placed {
            // Released while this leader could not load: nobody would ever prove it
            // gone again.
            if self.fleet.is_removed(&name) {
                self.job_table.machine_gone(&name, now);
            } else {
                self.fleet.expect_machine(&name, now);
            }
        }
    }

    fn load_chunks(&mut self, chunks: Vec<StoredChunk>, now: Duration, effects: &mut EffectSink) {
        for StoredChunk { job, number, value, mod_revision, .. } in chunks {
            if let Err(error) = self.job_table.load_chunk(&job, number, &value, mod_revision, now) {
                // Nothing may be started for a job whose attempts are unknown.
                effects.log(LogLevel::Error, format!("placements unreadable: job={job} reason={error}"));
                self.job_table.remove(&job);
            }
        }
    }

    /// Takes in a job's row from the state service.
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
            // An old event of a job that is over by now. While loading, it is taken in
            // all the same: a row that is older than a cancellation which this node
            // has confirmed would leave the job's placements without an owner, so
            // that neither its tasks were ended nor their room counted. Its end
            // comes with the first events.
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
