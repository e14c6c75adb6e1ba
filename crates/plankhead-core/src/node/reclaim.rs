//! The reclaimer on one node, which acts while the node has no leader role that has loaded its state.

use super::Node;
use crate::calls::ReclaimCall;
use crate::effects::StepTime;
use crate::job_watch::JobUpdate;
use crate::leader::Leader;
use crate::protocol::{CallError, KeyValue, KvReply};
use std::time::Duration;

impl Node {
    /// Whether no leader on this node has loaded its state.
    fn is_reclaimer_active(&self) -> bool {
        !self.leader.as_ref().is_some_and(Leader::is_ready)
    }

    pub(super) fn tick_reclaimer(&mut self, times: StepTime) {
        if !self.is_reclaimer_active() {
            return self.reclaimer.leader_is_ready();
        }
        let peers = self.peers.claims(times.now);
        self.reclaimer.set_following(self.election.known_leader.is_some() && self.leader.is_none());
        self.reclaimer.tick(times, peers, &mut self.effects);
    }

    pub(super) fn next_reclaim_due(&self) -> Option<Duration> {
        self.is_reclaimer_active().then(|| self.reclaimer.next_due())
    }

    pub(super) fn handle_reclaim_kv_reply(
        &mut self,
        times: StepTime,
        call: ReclaimCall,
        reply: Result<KvReply, CallError>,
    ) {
        let is_active = self.is_reclaimer_active();
        let peers = self.peers.claims(times.now);
        let (requests, effects) = (&mut self.requests, &mut self.effects);
        match call {
            ReclaimCall::WatchJobs(call) => {
                let update = self.reclaimer.jobs_watched(times.now, call, reply, requests);
                self.jobs_changed(times, update);
            }
            ReclaimCall::ListChunks(id) => self.reclaimer.chunks_read(times.now, id, reply, effects),
            ReclaimCall::TestStore { sent } => {
                let failed_read_sent_at = self.reclaimer.store_tested(sent, &reply).filter(|_| is_active);
                if let Some(sent) = failed_read_sent_at {
                    self.reclaimer.reclaim(times.now, sent, peers, effects);
                }
            }
            _ => {}
        }
    }

    /// Records changes of job records that this node has seen while it does not lead.
    pub(super) fn jobs_changed(&mut self, times: StepTime, update: JobUpdate) {
        if self.is_reclaimer_active() {
            self.reclaimer.jobs_changed(times, update);
        }
    }

    /// Records job records that this node has written for users.
    pub(super) fn rows_written(&mut self, times: StepTime, rows: &[KeyValue]) {
        if self.is_reclaimer_active() {
            rows.iter().for_each(|row| self.reclaimer.row_written(times, row));
        }
    }

    /// Keeps the attempts of cancelled jobs that a leader on this node knew, now that its term is over.
    pub(super) fn keep_cancelled_tasks(&mut self, now: Duration, leader: &Leader) {
        for (machine, attempt) in leader.cancelled_attempts() {
            self.reclaimer.take_over(now, machine, attempt);
        }
    }
}
