//! The watch of the job records by a node that does not lead, from which it learns of cancelled and ended
//! jobs.

use crate::calls::KeyWatchCall;
use crate::jobs::job::{JobId, JobPhase, JobRecord};
use crate::key_watch::{KeyUpdate, KeyWatch};
use crate::protocol::{CallError, JobStatus, KeyValue, KvReply, KvRequest, WatchEvent};
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
    /// The cancelled jobs on the pages of the list that is being read.
    listed: BTreeSet<JobId>,
}

/// A job that a user has cancelled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CancelledJob {
    pub id: JobId,
    /// The wall-clock time of the cancellation, in milliseconds since the Unix epoch, if it is stored.
    pub cancelled_ms: Option<u64>,
}

impl CancelledJob {
    /// Returns the job of a stored record, if the record says that the job is cancelled.
    pub fn of_row(row: &KeyValue) -> Option<Self> {
        let id = job_id_of_key(&row.key)?;
        let record: JobRecord = serde_json::from_str(&row.value).ok()?;
        (record.phase == JobPhase::Cancelled).then_some(Self { id, cancelled_ms: record.cancelled_ms })
    }
}

/// The changes that a reply contained.
#[derive(Debug, Default)]
pub struct JobUpdate {
    /// The jobs that were newly cancelled.
    pub cancelled: Vec<CancelledJob>,
    /// Jobs that have ended and of which no task is left: pending commands to start their tasks must be
    /// dropped.
    pub ended: BTreeSet<JobId>,
}

impl Default for JobWatch {
    fn default() -> Self {
        Self {
            watch: KeyWatch::new(PREFIX, WATCH_TIMEOUT),
            cancelled: BTreeSet::new(),
            listed: BTreeSet::new(),
        }
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

    /// Returns the next call, if one is due.
    pub fn tick(&mut self, now: Duration) -> Option<(KeyWatchCall, KvRequest)> {
        self.watch.tick(now)
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
            KeyUpdate::Page { rows, complete } => {
                self.listed.extend(rows.iter().filter_map(CancelledJob::of_row).map(|job| job.id));
                rows.iter().for_each(|row| self.apply_record(row, requests, &mut update));
                if complete {
                    self.drop_unlisted(&mut update);
                }
            }
            KeyUpdate::Events(events) => {
                events.into_iter().for_each(|event| self.apply_event(event, requests, &mut update));
            }
            KeyUpdate::Failed => self.listed.clear(),
        }
        update
    }

    /// Drops the cancelled jobs that a complete list lacks: they were archived while this node did not
    /// watch.
    fn drop_unlisted(&mut self, update: &mut JobUpdate) {
        let listed = std::mem::take(&mut self.listed);
        let archived: Vec<JobId> = self.cancelled.difference(&listed).cloned().collect();
        for id in archived {
            self.cancelled.remove(&id);
            update.ended.insert(id);
        }
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
                // The leader drops the specification once none of the tasks is left.
                if record.spec.is_none() {
                    update.ended.insert(id.clone());
                }
                if self.cancelled.insert(id.clone()) {
                    update.cancelled.push(CancelledJob { id, cancelled_ms: record.cancelled_ms });
                }
            }
        }
    }
}

fn job_id_of_key(key: &str) -> Option<JobId> {
    JobId::parse(key.strip_prefix(PREFIX)?).ok()
}
