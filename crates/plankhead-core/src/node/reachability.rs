//! Reachability in a node's step: evaluating the links, exchanging coverage, and handing leadership
//! over to a peer that is better placed to lead.

use super::Node;
use crate::effects::StepTime;
use crate::leader::Leader;
use crate::protocol::LogLevel;
use crate::reachability::{LeaderFacts, Reachability};
use plankhead_reachability::coverage::{Coverage, CoverageError, KnownLeader};
use std::time::Duration;

/// How often a leader compares its reachability with that of its peers.
const REACHABILITY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

impl Node {
    /// Creates the reachability state at the first step: it needs the current time, which
    /// [`Node::new`] is not given.
    pub(super) fn init_reachability(&mut self, now: Duration) {
        if self.reachability.is_none() && self.settings.reachability.enabled {
            self.reachability = Some(Reachability::new(self.settings.clone(), now));
        }
    }

    /// Evaluates the links if that is due, and updates what depends on them: the permissions for user
    /// requests, and whether this node defers to its peers in the election.
    pub(super) fn evaluate_links(&mut self, now: Duration) {
        let Some(reachability) = self.reachability.as_mut().filter(|part| part.is_due(now)) else { return };
        let machines = self.leader.as_ref().map_or(0, Leader::machines_expected);
        reachability.evaluate_links(machines, now, &mut self.effects);
        self.requests.set_permissions(reachability.user_permissions());
        let defers_to_peers = reachability.defers_to_peers(now);
        self.election.set_defers_to_peers(defers_to_peers);
    }

    fn leader_facts(&self, now: Duration) -> Option<LeaderFacts> {
        let lease_undisputed = self.election.is_lease_undisputed(now);
        self.leader.as_ref().map(|leader| leader.reachability_facts(now, lease_undisputed))
    }

    /// Sends this node's coverage to its peers if that is due. A leader also assigns numbers to
    /// machines, and hands leadership over to a peer that is better placed to lead.
    pub(super) fn tick_reachability(&mut self, times: StepTime) {
        let now = times.now;
        let coverage_due =
            self.reachability.as_ref().is_some_and(|reachability| reachability.next_coverage_due() <= now);
        if !coverage_due && now < self.next_reachability_check_at {
            return;
        }
        self.next_reachability_check_at = now + REACHABILITY_CHECK_INTERVAL;
        let facts = self.leader_facts(now);
        let Some(reachability) = &mut self.reachability else { return };
        reachability.tick(facts.as_ref(), now, &mut self.effects);
        let (Some(leader), Some(facts)) = (&mut self.leader, facts) else { return };
        if facts.lease_undisputed && reachability.take_numbering_check(now) {
            reachability.write_numbering(&leader.machine_names(), facts.token, &mut self.effects);
        }
        leader.record_reports_to_peers(now, |machine| reachability.reports_to_a_peer(machine, now));
        if let Some(successor) = reachability.successor(&facts, now, &mut self.effects) {
            let text = format!("leadership handed over: peer={successor} reason=peer_reaches_more");
            self.effects.log(LogLevel::Info, text);
            let change = self.election.step_down_for_peers(now, &mut self.effects);
            self.apply_leadership(times, change);
        }
    }

    /// Handles a peer's coverage, or the error for which it was rejected before it reached the core.
    pub(super) fn handle_coverage(&mut self, now: Duration, coverage: Result<Box<Coverage>, CoverageError>) {
        let known_leader = match (&self.leader, &self.election.known_leader) {
            (Some(leader), _) => Some(KnownLeader { host: &self.settings.host, token: leader.token }),
            (None, Some(known)) => Some(KnownLeader { host: &known.host, token: known.token }),
            (None, None) => None,
        };
        if let Some(reachability) = &mut self.reachability {
            let coverage = coverage.map(|coverage| *coverage);
            reachability.coverage_received(coverage, known_leader, now, &mut self.effects);
        }
    }

    pub(super) fn handle_peer_delivery(&mut self, now: Duration, host: &str, confirmed: bool) {
        if let Some(reachability) = &mut self.reachability {
            reachability.peer_delivery(host, confirmed, now);
        }
    }
}
