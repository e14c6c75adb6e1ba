//! A holder's own watch of the job records, from which it learns of cancelled and ended jobs.

use crate::calls::{CallPurpose, HolderCall, KeyWatchCall};
use crate::effects::EffectSink;
use crate::jobs::job::{JobId, JobPhase, JobRecord};
use crate::key_watch::{KeyUpdate, KeyWatch};
use crate::protocol::{CallError, JobStatus, KeyValue, KvReply, WatchEvent};
use crate::requests::RequestHandler;
use std::collections::BTreeSet;
use std::time::Duration;

const PREFIX: &str = "job/";
/// How long one watch request waits for changes. Its reply shows that every cancellation made before
/// the request was sent has been seen, so this bounds the age of [`JobWatch::synced_at`] while no job
/// changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Watches the job records, and remembers each cancelled job until the leader has archived it.
#[derive(Debug)]
pub struct JobWatch {
    watch: KeyWatch,
    cancelled: BTreeSet<JobId>,
}

/// The changes that a reply contained.
#[derive(Debug, Default)]
pub struct JobUpdate {
    /// Whether any job was newly cancelled.
    pub cancelled: bool,
    /// Jobs that have ended: pending commands to start their tasks must be dropped.
    pub ended: BTreeSet<JobId>,
}

impl Default for JobWatch {
    fn default() -> Self {
        Self { watch: KeyWatch::new(PREFIX, WATCH_TIMEOUT), cancelled: BTreeSet::new() }
    }
}

impl JobWatch {
    /// Whether the job is cancelled and not yet archived.
    pub fn is_cancelled(&self, job: &JobId) -> bool {
        self.cancelled.contains(job)
    }

    /// Returns when the latest complete read was sent.
    pub fn synced_at(&self) -> Option<Duration> {
        self.watch.synced_at
    }

    /// Whether the jobs are being read for the first time and no read has failed so far.
    pub fn is_loading(&self) -> bool {
        self.watch.is_loading()
    }

    /// Returns when [`JobWatch::tick`] must be called next; `None` while a call is in flight.
    pub fn next_due(&self) -> Option<Duration> {
        self.watch.next_due()
    }

    /// Makes the next call, if one is due.
    pub fn tick(&mut self, now: Duration, effects: &mut EffectSink) {
        if let Some((call, request)) = self.watch.tick(now) {
            effects.call_kv(CallPurpose::Holder(HolderCall::WatchJobs(call)), request);
        }
    }

    /// Handles a reply and returns the changes that it contained.
    pub fn handle_reply(
        &mut self,
        now: Duration,
        call: KeyWatchCall,
        reply: Result<KvReply, CallError>,
        requests: &mut RequestHandler,
    ) -> JobUpdate {
        let mut update = JobUpdate::default();
        match self.watch.handle_reply(now, call, reply) {
            KeyUpdate::Page { rows, .. } => {
                rows.iter().for_each(|row| self.apply_record(row, requests, &mut update))
            }
            KeyUpdate::Events(events) => {
                events.into_iter().for_each(|event| self.apply_event(event, requests, &mut update));
            }
            KeyUpdate::Failed => {}
        }
        update
    }

    fn apply_event(&mut self, event: WatchEvent, requests: &mut RequestHandler, update: &mut JobUpdate) {
        match event {
            WatchEvent::Put(row) => self.apply_record(&row, requests, update),
            // The leader archives a job, which deletes this key, once none of its tasks is left.
            WatchEvent::Delete { key, .. } => {
                if let Some(id) = job_id_of_key(&key) {
                    self.cancelled.remove(&id);
                    update.ended.insert(id);
                }
            }
        }
    }

    fn apply_record(&mut self, row: &KeyValue, requests: &mut RequestHandler, update: &mut JobUpdate) {
        let Some(id) = job_id_of_key(&row.key) else { return };
        let Ok(record) = serde_json::from_str::<JobRecord>(&row.value) else { return };
        match record.phase {
            JobPhase::Active => {}
            JobPhase::Done => {
                requests.record_ended(&id, JobStatus::Done, record.tasks);
                update.ended.insert(id);
            }
            JobPhase::Cancelled => {
                requests.record_ended(&id, JobStatus::Cancelled, 0);
                update.cancelled |= self.cancelled.insert(id);
            }
        }
    }
}

fn job_id_of_key(key: &str) -> Option<JobId> {
    JobId::parse(key.strip_prefix(PREFIX)?).ok()
}
