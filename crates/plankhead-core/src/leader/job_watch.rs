//! The watch on job records, by which the leader learns of new and cancelled jobs.

use super::{Leader, TermStatus, RETRY_INTERVAL};
use crate::calls::LeaderCall;
use crate::effects::{EffectSink, StepTime};
use crate::protocol::{CallError, KvReply, KvRequest, WatchEvent};
use crate::requests::RequestHandler;
use std::time::Duration;

/// How long one watch waits for an event. Its reply proves that every cancellation made before the watch
/// was sent has been seen.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// How far the changes of the job records are known to the leader.
#[derive(Debug)]
pub(super) struct JobWatch {
    /// The store's revision up to which all changes are known; `None` until the first page of the list of
    /// jobs is read.
    revision: Option<u64>,
    /// The time up to which all changes are known.
    synced_at: Duration,
    /// Whether a watch is in flight.
    in_flight: bool,
    /// When the next watch is sent.
    next_at: Duration,
}

impl JobWatch {
    pub(super) fn new(now: Duration) -> Self {
        Self { revision: None, synced_at: now, in_flight: false, next_at: now }
    }

    /// Returns the time up to which all changes of the job records are known.
    pub(super) fn synced_at(&self) -> Duration {
        self.synced_at
    }

    /// Returns when the next watch is to be sent; `None` while one is in flight, and until the
    /// first page of the list of jobs is read.
    pub(super) fn next_due(&self) -> Option<Duration> {
        (!self.in_flight && self.revision.is_some()).then_some(self.next_at)
    }

    /// Records that a page of the list of jobs is requested at `now`. Until the first page is read, this
    /// sets the time up to which all changes are known, since the list contains all changes made before.
    pub(super) fn loading_began(&mut self, now: Duration) {
        if self.revision.is_none() {
            self.synced_at = now;
        }
    }

    /// Sets the revision from which the watch continues: that of the first page of the list of jobs.
    pub(super) fn first_page_loaded(&mut self, revision: u64) {
        self.revision.get_or_insert(revision);
    }

    /// Records that all changes up to `revision` are known, from a watch that was sent at `sent`.
    fn advance(&mut self, revision: u64, sent: Duration) {
        self.revision = self.revision.max(Some(revision));
        self.synced_at = self.synced_at.max(sent);
    }
}

impl Leader {
    /// Sends the next watch if it is due.
    pub(super) fn watch_jobs(&mut self, now: Duration, effects: &mut EffectSink) {
        if self.job_watch.next_due().is_none_or(|due| now < due) {
            return;
        }
        let Some(after) = self.job_watch.revision else { return };
        self.job_watch.in_flight = true;
        let op = KvRequest::Watch { prefix: "job/".into(), after, wait: WATCH_WAIT };
        self.call_kv(LeaderCall::WatchJobs { sent: now }, op, effects);
    }

    /// Handles the reply to a watch that was sent at `sent`. Ends the term if the store has compacted events
    /// that the leader has not seen.
    pub(super) fn jobs_watched(
        &mut self,
        times: StepTime,
        sent: Duration,
        reply: Result<KvReply, CallError>,
        requests: &mut RequestHandler,
        effects: &mut EffectSink,
    ) -> TermStatus {
        self.job_watch.in_flight = false;
        match reply {
            Ok(KvReply::Events { revision, events }) => {
                for event in events {
                    if let WatchEvent::Put(row) = event {
                        self.job_record_changed(times, &row, requests);
                    }
                }
                self.job_watch.advance(revision, sent);
                self.kill_cancelled(times.now, effects);
            }
            Ok(KvReply::Compacted) => return TermStatus::Over,
            _ => self.job_watch.next_at = times.now + RETRY_INTERVAL,
        }
        TermStatus::Continues
    }
}
