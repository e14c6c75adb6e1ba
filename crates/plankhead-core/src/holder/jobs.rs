//! What a holder itself reads of the jobs: which were cancelled, and as of when it knows.

use crate::calls::{CallPurpose, HolderCall, KeyWatchCall};
use crate::effects::EffectSink;
use crate::jobs::job::{JobId, JobPhase, JobRecord};
use crate::key_watch::{KeyUpdate, KeyWatch};
use crate::protocol::{CallError, JobStatus, KeyValue, KvReply, WatchEvent};
use crate::requests::RequestHandler;
use std::collections::BTreeSet;
use std::time::Duration;

const PREFIX: &str = "job/";
/// How long the watch waits; its return proves that no cancellation up to its start is
/// unseen.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// The jobs that were cancelled and are not yet over for the leader.
#[derive(Debug)]
pub struct JobWatch {
    watch: KeyWatch,
    cancelled: BTreeSet<JobId>,
}

/// What a reply brought.
#[derive(Debug, Default)]
pub struct JobUpdate {
    /// Jobs were cancelled.
    pub cancelled: bool,
    /// Jobs of which nothing is to be started any more, whatever was commanded.
    pub ended: BTreeSet<JobId>,
}

impl Default for JobWatch {
    fn default() -> Self {
        Self { watch: KeyWatch::new(PREFIX, WATCH_TIMEOUT), cancelled: BTreeSet::new() }
    }
}

impl JobWatch {
    /// Whether the job was cancelled, and its record is still there.
    pub fn is_cancelled(&self, job: &JobId) -> bool {
        self.cancelled.contains(job)
    }

    /// When the latest complete read was asked for.
    pub fn synced_at(&self) -> Option<Duration> {
        self.watch.synced_at
    }

    /// Whether the jobs are being read for the first time, and no read has failed so far.
    pub fn is_loading(&self) -> bool {
        self.watch.is_loading()
    }

    /// When [`JobWatch::tick`] has a call next, unless a reply comes before.
    pub fn next_due(&self) -> Option<Duration> {
        self.watch.next_due()
    }

    /// Makes the next call, if one is due.
    pub fn tick(&mut self, now: Duration, effects: &mut EffectSink) {
        if let Some((call, request)) = self.watch.tick(now) {
            effects.call_kv(CallPurpose::Holder(HolderCall::WatchJobs(call)), request);
        }
    }

    /// Handles a reply, and tells what it brought.
    pub fn reply(
        &mut self,
        now: Duration,
        call: KeyWatchCall,
        reply: Result<KvReply, CallError>,
        requests: &mut RequestHandler,
    ) -> JobUpdate {
        let mut update = JobUpdate::default();
        match self.watch.reply(now, call, reply) {
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
            // The leader has archived it, once none of its tasks was left.
            WatchEvent::Delete { key, .. } => {
                if let Some(id) = job_of(&key) {
                    self.cancelled.remove(&id);
                    update.ended.insert(id);
                }
            }
        }
    }

    fn apply_record(&mut self, row: &KeyValue, requests: &mut RequestHandler, update: &mut JobUpdate) {
        let Some(id) = job_of(&row.key) else { return };
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

fn job_of(key: &str) -> Option<JobId> {
    JobId::parse(key.strip_prefix(PREFIX)?).ok()
}
