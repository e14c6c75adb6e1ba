//! Taking over: a new leader reads all that is known.

use super::{ChunkRow, Leader, Stage, Target, MAX_ARRIVALS, PAUSE, RUSH, TARGET};
use crate::calls::{FinishedJob, LeaderCall, StoredKey};
use crate::effects::{EffectSink, StepTime};
use crate::fleet::HeartbeatNews;
use crate::jobs::job::{JobId, JobPhase, JobRecord};
use crate::jobs::job_table::{tasks_per_chunk, JobEntry, StoredJob};
use crate::protocol::{CallError, Heartbeat, JobStatus, KeyValue, KvReply, KvRequest, LogLevel, MachineName};
use crate::requests::RequestHandler;
use std::sync::Arc;
use std::time::Duration;

impl Leader {
    pub fn begin_loading(&mut self, now: Duration, effects: &mut EffectSink) {
        if self.jobs_revision.is_none() {
            self.jobs_synced_at = now;
        }
        let after = self.load_after_key.clone();
        self.call_kv(LeaderCall::ListJobs, KvRequest::List { prefix: "job/".into(), after }, effects);
    }

    /// Whether it still reads what is known, and nothing says that it can't.
    pub fn is_loading(&self) -> bool {
        self.stage == Stage::Loading && !self.loading_failed
    }

    pub(super) fn retry_loading(&mut self, now: Duration) {
        self.load_retry_at = Some(now + PAUSE);
        self.loading_failed = true;
    }

    pub(super) fn list_chunks(&mut self, effects: &mut EffectSink) {
        let after = self.load_after_key.clone();
        self.call_kv(LeaderCall::ListChunks, KvRequest::List { prefix: "run/".into(), after }, effects);
    }

    pub(super) fn jobs_page_loaded(
        &mut self,
        times: StepTime,
        reply: Result<KvReply, CallError>,
        requests: &mut RequestHandler,
        effects: &mut EffectSink,
    ) {
        let Ok(KvReply::Page { rows, truncated, revision: epoch }) = reply else {
            return self.retry_loading(times.now);
        };
        self.jobs_revision.get_or_insert(epoch);
        self.load_after_key = rows.last().map(|r| r.key.clone());
        for row in &rows {
            self.job_record_changed(times, row, requests);
        }
        if truncated {
            return self.begin_loading(times.now, effects);
        }
        self.load_after_key = None;
        self.list_chunks(effects);
    }

    pub(super) fn chunks_page_loaded(
        &mut self,
        times: StepTime,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) {
        let Ok(KvReply::Page { rows, truncated, .. }) = reply else {
            return self.retry_loading(times.now);
        };
        self.load_after_key = rows.last().map(|r| r.key.clone());
        for row in rows {
            let mut parts = row.key.splitn(3, '/').skip(1);
            let id = parts.next().and_then(|id| JobId::parse(id).ok());
            let number = parts.next().and_then(|n| match n.strip_prefix('s') {
                Some(small) => Some((true, small.parse::<u32>().ok()?)),
                None => Some((false, n.parse::<u32>().ok()?)),
            });
            match (id, number) {
                (Some(id), Some(_)) if !self.job_table.jobs.contains_key(&id) => {
                    self.garbage.push(StoredKey { key: row.key, revision: Some(row.mod_revision) });
                }
                (Some(id), Some(number)) => {
                    self.loaded_chunks.push((id, number, row.value, row.mod_revision))
                }
                _ => effects.log(LogLevel::Error, format!("strange key {}", row.key)),
            }
        }
        if truncated {
            return self.list_chunks(effects);
        }
        self.load_after_key = None;
        if self.intents.is_fenced() {
            return self.list_intents(effects);
        }
        self.read_target(effects);
    }

    pub(super) fn read_target(&self, effects: &mut EffectSink) {
        self.call_kv(LeaderCall::ReadTarget, KvRequest::Get { key: TARGET.into() }, effects);
    }

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
        let rows = std::mem::take(&mut self.loaded_chunks);
        // Smaller chunks exist only where no version is left that doesn't know them.
        let (small, rows): (Vec<_>, Vec<_>) = rows.into_iter().partition(|(_, (small, _), ..)| *small);
        self.all_nodes_upgraded |= !small.is_empty();
        self.load_chunks(rows, now, effects);
        if self.all_nodes_upgraded {
            self.job_table.rechunk(tasks_per_chunk(self.settings.max_value_bytes));
        }
        self.load_chunks(small, now, effects);
        self.job_table.finish_loading();
        self.stop_broken_gangs(now, effects);
        // Not a new service: the jobs that are there came one after the other.
        if row.is_some() {
            self.first_job_at = Some(Duration::ZERO);
        }
        if let Some(target) = row.and_then(|r| serde_json::from_str::<Target>(&r.value).ok()) {
            let at = times.monotonic_of(target.at_ms);
            self.next_round_at = (at + self.round_interval()).min(now + self.round_interval());
            self.target = target;
        }
        for machine in self.fleet.machines.values_mut() {
            machine.last_heard_at = machine.last_heard_at.max(now);
            machine.last_direct_at = machine.last_heard_at;
        }
        for host in self.placed_machines() {
            // Given back while this leader could not read: nobody would ever prove it
            // gone again.
            if self.fleet.is_removed(&host) {
                self.job_table.machine_gone(&host, now);
            } else {
                self.fleet.expect_machine(&host, now);
            }
        }
        self.adopt_intents(now, effects);
        self.stage = Stage::Ready;
        let heartbeats: Vec<Heartbeat> =
            self.fleet.machines.values().filter_map(|m| m.last_heartbeat.clone()).collect();
        for heartbeat in heartbeats {
            self.observe_tasks(times, &heartbeat, HeartbeatNews::Changed, effects);
        }
        effects.log(
            LogLevel::Info,
            format!(
                "took over {} jobs and {} machines in {} ms",
                self.job_table.jobs.len(),
                self.fleet.machines.len(),
                now.saturating_sub(self.started_at).as_millis()
            ),
        );
        self.pass_needed = true;
    }

    fn load_chunks(&mut self, rows: Vec<ChunkRow>, now: Duration, effects: &mut EffectSink) {
        for (id, (_, number), value, mod_revision) in rows {
            if let Err(error) = self.job_table.load_chunk(&id, number, &value, mod_revision, now) {
                // Nothing may be started for a job whose attempts are unknown.
                effects.log(LogLevel::Error, format!("placements of {id} can't be read: {error}"));
                self.job_table.remove(&id);
            }
        }
    }

    pub(super) fn placed_machines(&self) -> Vec<MachineName> {
        self.job_table.machines().cloned().collect()
    }

    /// Takes in a job's row from the state service.
    pub fn job_record_changed(&mut self, times: StepTime, row: &KeyValue, requests: &mut RequestHandler) {
        let Some(id) = row.key.strip_prefix("job/").and_then(|id| JobId::parse(id).ok()) else { return };
        let Ok(record) = serde_json::from_str::<JobRecord>(&row.value) else { return };
        match record.phase {
            JobPhase::Done => {
                requests.record_ended(&id, JobStatus::Done, record.tasks);
                let stored = self.job_table.jobs.get(&id).map(|e| e.stored_keys(&id)).unwrap_or_default();
                let news = self.job_table.job_finished(&id);
                if self.stage == Stage::Loading || news {
                    let job = FinishedJob { id: id.clone(), mod_revision: row.mod_revision, record };
                    self.to_archive.push_back(job);
                }
                if news {
                    self.garbage.extend(stored);
                }
                return;
            }
            JobPhase::Cancelled => requests.record_ended(&id, JobStatus::Cancelled, 0),
            // An old event of a job that is over by now. While reading, it is taken in
            // all the same: a row that is older than a cancellation which this node
            // has confirmed would leave the job's placements without an owner, so
            // that neither its tasks were ended nor their room counted. Its end
            // comes with the first events.
            JobPhase::Active if self.stage == Stage::Ready && requests.is_ended(&id) => return,
            JobPhase::Active => {}
        }
        let accepted = times.monotonic_of(record.accepted_ms);
        let cancelled = record.cancelled_ms.map(|ms| times.monotonic_of(ms));
        let per_chunk = record.per_chunk.max(1);
        if record.phase == JobPhase::Active && !self.job_table.jobs.contains_key(&id) {
            // What waits when a service opens is a backlog and tells no rate.
            let opened = *self.first_job_at.get_or_insert(accepted);
            let rush = accepted < opened + RUSH;
            if let Some(spec) = record.spec.as_ref().filter(|_| !rush) {
                self.recent_arrivals.push_back((accepted, Arc::new(spec.clone())));
                if self.recent_arrivals.len() > MAX_ARRIVALS {
                    self.recent_arrivals.pop_front();
                }
            }
        }
        let job = StoredJob {
            record,
            mod_revision: row.mod_revision,
            accepted_at: accepted,
            cancelled_at: cancelled,
            tasks_per_chunk: per_chunk,
        };
        self.job_table.upsert(&id, job);
        self.pass_needed = true;
    }

    pub(super) fn delete_chunks_of(&mut self, id: &JobId, entry: &JobEntry) {
        self.garbage.extend(entry.stored_keys(id));
    }
}
