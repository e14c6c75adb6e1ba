//! The watch on job records: how the leader learns of new and cancelled jobs.

use super::{Leader, RETRY_INTERVAL};
use crate::calls::LeaderCall;
use crate::effects::{EffectSink, StepTime};
use crate::protocol::{CallError, KvReply, KvRequest, WatchEvent};
use crate::requests::RequestHandler;
use std::time::Duration;

/// How long one watch waits for an event; its return proves that no cancellation up to
/// its start is unseen.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// Up to where the job records are known.
#[derive(Debug)]
pub(super) struct JobWatch {
    /// The store's revision up to which they are known, from the first page on.
    revision: Option<u64>,
    /// As of when they are known.
    synced_at: Duration,
    in_flight: bool,
    next_at: Duration,
}

impl JobWatch {
    pub(super) fn new(now: Duration) -> Self {
        Self { revision: None, synced_at: now, in_flight: false, next_at: now }
    }

    /// As of when every job record is known.
    pub(super) fn synced_at(&self) -> Duration {
        self.synced_at
    }

    /// When the next watch is to be sent, unless one is under way.
    pub(super) fn next_due(&self) -> Option<Duration> {
        (!self.in_flight && self.revision.is_some()).then_some(self.next_at)
    }

    /// The list of jobs is asked for: what it will show holds at least as of now.
    pub(super) fn loading_began(&mut self, now: Duration) {
        if self.revision.is_none() {
            self.synced_at = now;
        }
    }

    /// The watch goes on from the revision of the list's first page.
    pub(super) fn first_page_loaded(&mut self, revision: u64) {
        self.revision.get_or_insert(revision);
    }

    fn advance(&mut self, revision: u64, sent: Duration) {
        self.revision = self.revision.max(Some(revision));
        self.synced_at = self.synced_at.max(sent);
    }
}

impl Leader {
    /// Sends the next watch once it is due.
    pub(super) fn watch_jobs(&mut self, now: Duration, effects: &mut EffectSink) {
        if self.job_watch.next_due().is_none_or(|due| now < due) {
            return;
        }
        let Some(after) = self.job_watch.revision else { return };
        self.job_watch.in_flight = true;
        let op = KvRequest::Watch { prefix: "job/".into(), after, wait: WATCH_WAIT };
        self.call_kv(LeaderCall::WatchJobs { sent: now }, op, effects);
    }

    /// Takes in the reply to a watch that was sent at `sent`; false: events are missing,
    /// so that this leader must resign.
    pub(super) fn jobs_watched(
        &mut self,
        times: StepTime,
        sent: Duration,
        reply: Result<KvReply, CallError>,
        requests: &mut RequestHandler,
        effects: &mut EffectSink,
    ) -> bool {
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
            Ok(KvReply::Compacted) => return false,
            _ => self.job_watch.next_at = times.now + RETRY_INTERVAL,
        }
        true
    }
}
