//! The start and end of a node's leadership, and the leader known to a node.

use super::Node;
use crate::effects::StepTime;
use crate::leader::{Leader, LeaderEvidence};
use crate::leadership::election::LeadershipChange;
use crate::leadership::LeaderId;
use crate::protocol::{LogLevel, PeerHeartbeat};
use crate::reachability::Reachability;
use plankhead_reachability::mode::Mode;
use std::time::Duration;

impl Node {
    pub(super) fn apply_leadership(&mut self, times: StepTime, change: LeadershipChange) {
        match change {
            LeadershipChange::Unchanged => {}
            LeadershipChange::Won { token } => self.start_leading(times, token),
            LeadershipChange::Lost => self.stop_leading(times.now),
        }
    }

    fn start_leading(&mut self, times: StepTime, token: u64) {
        self.token_guard.observe(token);
        self.record_term(token, token);
        self.effects.log(LogLevel::Info, format!("leadership won: token={token}"));
        let mut leader = Leader::new(self.settings.clone(), token, times.now);
        leader.set_machine_types(self.machine_types.by_name().clone());
        if self.version_barrier.is_open() {
            leader.set_all_nodes_upgraded();
        }
        leader.begin_loading(times.now, &mut self.effects);
        self.leader = Some(leader);
        self.pass_holder_state_to_leader(times);
    }

    fn stop_leading(&mut self, now: Duration) {
        self.effects.log(LogLevel::Info, "leadership lost".into());
        if let Some(leader) = self.leader.take().filter(Leader::is_ready) {
            self.keep_cancelled_tasks(now, &leader);
        }
        self.resume_holder_role();
        if let Some(reachability) = &mut self.reachability {
            reachability.leadership_lost();
        }
    }

    /// Runs the due work of the leader, if this node leads.
    pub(super) fn tick_leader(&mut self, times: StepTime, evidence: LeaderEvidence) {
        if let Some(leader) = &mut self.leader {
            leader.tick(times, evidence, &mut self.requests, &mut self.effects);
        }
    }

    pub(super) fn leader_evidence(&self, now: Duration) -> LeaderEvidence {
        let reachability = self.reachability.as_ref();
        LeaderEvidence {
            lease_valid: self.election.is_lease_valid(now),
            lease_undisputed: self.election.is_lease_undisputed(now),
            no_peer_leads: self.peers.none_leads(now),
            cpu_starved: self.is_cpu_starved(),
            mode: reachability.map_or(Mode::Whole, Reachability::mode),
            no_peer_receives_heartbeats: reachability
                .is_some_and(|reachability| reachability.no_peer_receives_heartbeats(now)),
        }
    }

    /// Steps down if no worker reaches this leader and a peer could take over.
    ///
    /// A leader whose lease is no longer valid does not step down but lets the lease expire: without
    /// the state service no peer could take over, and the cancellations that this leader knows of
    /// would be lost. If all nodes exchange coverage, the coverage decides which node should lead,
    /// and this check is skipped.
    pub(super) fn step_down_if_isolated(&mut self, times: StepTime, evidence: LeaderEvidence) {
        let now = times.now;
        let coverage_decides =
            self.reachability.as_ref().is_some_and(|reachability| reachability.has_complete_coverage(now));
        let peer_could_lead = evidence.lease_valid && self.peers.any_alive(now) && !coverage_decides;
        if peer_could_lead && self.leader.as_ref().is_some_and(|leader| leader.is_isolated(now)) {
            self.effects.log(LogLevel::Info, "leader stepped down: reason=no_worker_heartbeats".into());
            let change = self.election.step_down_for_peers(now, &mut self.effects);
            self.apply_leadership(times, change);
        }
    }

    /// Returns the latest known leader other than this node whose token is at least `min_token`. Both
    /// the leader's key and peer heartbeats are considered: the heartbeats show the leader even if the
    /// state service does not answer this node.
    pub(super) fn known_leader(&self, now: Duration, min_token: u64) -> Option<LeaderId> {
        let claims = self.peers.fresh_heartbeats(now).map(|heartbeat| (heartbeat.token, &heartbeat.host));
        let stored = self.election.known_leader.iter().map(|leader| (leader.token, &leader.host));
        let candidates = claims.chain(stored).filter(|(token, _)| *token > 0 && *token >= min_token);
        candidates.max().map(|(token, host)| LeaderId { token, host: host.clone() })
    }

    /// Returns the highest fencing token seen, or 0 if fencing is off. Adapters use it to reject
    /// relayed answers under an older token.
    pub fn highest_seen_token(&self) -> u64 {
        if self.settings.fencing.enabled {
            self.token_guard.highest()
        } else {
            0
        }
    }

    pub(super) fn handle_peer_heartbeat(&mut self, times: StepTime, mut heartbeat: PeerHeartbeat) {
        if !self.peers.contains(&heartbeat.host) {
            return;
        }
        self.discard_stale_progress(&mut heartbeat);
        // A node that can't reach the state service does not see that another node holds the leader's
        // key. Without this check it would go on answering its workers as the leader.
        if self.leader.as_ref().is_some_and(|leader| leader.token < heartbeat.token) {
            let change = self.election.step_down();
            self.apply_leadership(times, change);
        }
        let now = times.now;
        if let Some(reachability) = &mut self.reachability {
            reachability.peer_heartbeat_received(&heartbeat.host, now);
        }
        if heartbeat.token > 0 {
            self.requests.set_leader_progress(&heartbeat.progress);
        }
        self.peers.record(now, heartbeat);
    }

    /// If fencing is on, discards the progress reported under a superseded token. The heartbeat keeps
    /// its token, so that [`Peers::none_leads`](super::peers::Peers::none_leads) still counts the sender
    /// as a leader: the sender may still renew the leases of workers that know no later token.
    fn discard_stale_progress(&mut self, heartbeat: &mut PeerHeartbeat) {
        if !self.settings.fencing.enabled || heartbeat.token == 0 {
            return;
        }
        if let Err(stale) = self.token_guard.admit(heartbeat.token) {
            let repeated = self.peers.claims_to_lead(&heartbeat.host, heartbeat.token);
            let level = if repeated { LogLevel::Debug } else { LogLevel::Info };
            let text = format!("leadership claim rejected: peer={} reason=\"{stale}\"", heartbeat.host);
            self.effects.log(level, text);
            heartbeat.progress.clear();
        }
    }
}
