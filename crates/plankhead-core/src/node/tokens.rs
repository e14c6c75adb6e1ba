//! The tokens of machines, as far as this node knows them.
//!
//! A worker may know a token that this node has not seen in force yet. It belongs to the current term or
//! to a later one; the state service is asked which, and the worker's heartbeats wait for the answer.

use super::Node;
use crate::calls::CallPurpose;
use crate::effects::StepTime;
use crate::leadership::election;
use crate::protocol::{CallError, Condition, Heartbeat, KvReply, KvRequest};
use crate::token_range::TokenRange;
use std::time::Duration;

/// The minimum time between a reply about the term and the next question.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The questions to the state service whether the latest known term goes on.
#[derive(Debug, Default)]
pub(super) struct TermCheck {
    in_flight: bool,
    next_at: Duration,
    /// Whether the latest question was not answered, or the term was over.
    failed: bool,
}

impl Node {
    /// Returns the tokens that the node that answers a machine may use, according to what this node has
    /// read.
    pub(super) fn token_range(&self, heartbeat: &Heartbeat) -> TokenRange {
        let base = self.leader.as_ref().map(|leader| leader.base_token(heartbeat));
        let Some(sharding) = &self.sharding else {
            let base = base.unwrap_or(self.term_evidence.latest().token);
            return TokenRange::new(base, self.term_evidence.in_force_at(base));
        };
        let table = &sharding.records.table;
        let shard = table.shard_of(&heartbeat.zone, &heartbeat.machine);
        let known = shard.and_then(|shard| table.get(&shard));
        // A leader knows the records that it has written before it reads them.
        let known = known.filter(|known| base.is_none_or(|base| base == known.epoch()));
        match known {
            Some(known) => sharding.records.token_range(known, self.term_evidence),
            None => TokenRange::only(base.unwrap_or(self.term_evidence.latest().token)),
        }
    }

    /// Records that the term with this token was in force at a revision.
    pub(super) fn record_term(&mut self, token: u64, revision: u64) {
        let before = self.term_evidence;
        self.term_evidence.record(token, revision);
        if self.term_evidence != before {
            self.term_check.failed = false;
        }
        self.token_guard.record_term(self.term_evidence.latest().in_force_at);
    }

    /// Records the term that the election has observed.
    pub(super) fn record_observed_term(&mut self) {
        if let Some(term) = self.election.observed_term() {
            self.record_term(term.token, term.in_force_at);
        }
    }

    /// Returns whether a heartbeat should wait until it is known whether the latest known term was in force
    /// at the worker's token. Without sharding, a leader knows all tokens of its term.
    pub(super) fn awaits_term_check(&self, heartbeat: &Heartbeat) -> bool {
        let knows_all = self.leader.is_some() && self.sharding.is_none();
        let term = self.term_evidence.latest();
        let is_checkable = term.token > 0 && !self.term_check.failed;
        let is_above_term = heartbeat.token > term.in_force_at;
        !knows_all && is_checkable && is_above_term && heartbeat.token > self.token_range(heartbeat).newest
    }

    /// Returns when the state service must be asked about the term again, if a heartbeat waits for that.
    pub(super) fn next_term_check_due(&self) -> Option<Duration> {
        let mut heartbeats = self.deferred_heartbeats.iter().map(|deferred| &deferred.heartbeat);
        let is_awaited =
            !self.term_check.in_flight && heartbeats.any(|heartbeat| self.awaits_term_check(heartbeat));
        is_awaited.then_some(self.term_check.next_at)
    }

    /// Asks the state service whether the latest known term is still in force, unless it was asked a
    /// moment ago.
    pub(super) fn verify_term(&mut self, now: Duration) {
        if self.term_check.in_flight || now < self.term_check.next_at {
            return;
        }
        self.term_check.in_flight = true;
        let token = self.term_evidence.latest().token;
        let condition = Condition { key: election::KEY.into(), mod_revision: token };
        let request = KvRequest::Txn { conditions: vec![condition], changes: Vec::new() };
        self.effects.call_kv(CallPurpose::VerifyTerm { token }, request);
    }

    pub(super) fn handle_term_reply(
        &mut self,
        times: StepTime,
        token: u64,
        reply: Result<KvReply, CallError>,
    ) {
        let failed = !matches!(reply, Ok(KvReply::Committed { .. }));
        self.term_check = TermCheck { in_flight: false, next_at: times.now + CHECK_INTERVAL, failed };
        match reply {
            Ok(KvReply::Committed { revision }) => self.record_term(token, revision),
            Ok(KvReply::Conflict { .. }) if self.election.token() == Some(token) => {
                let change = self.election.release_lease(&mut self.effects);
                self.apply_leadership(times, change);
            }
            _ => {}
        }
    }
}
