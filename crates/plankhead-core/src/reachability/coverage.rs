//! Coverage, the set of machines whose heartbeats a node receives: its exchange with peers, and the
//! handover of the leadership to a peer that receives the heartbeats of more machines.

use super::{LeaderFacts, Reachability};
use crate::effects::EffectSink;
use crate::protocol::{Effect, LogLevel, MachineName};
use plankhead_reachability::coverage::{Coverage, CoverageError, KnownLeader};
use plankhead_reachability::handover::{Candidate, LeaderView};
use roaring::RoaringBitmap;
use std::time::Duration;

/// The minimum time between two log lines about rejected coverage.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// The time beyond the heartbeat timeout for which a machine counts as reporting after its latest
/// heartbeat.
const REPORT_MARGIN: Duration = Duration::from_secs(1);

impl Reachability {
    /// Records a peer's coverage, and returns whether it was accepted. Coverage that refers to a later
    /// numbering than this node has read is rejected, and a read of the numbering is scheduled. Other
    /// rejections are logged, but at most once per `REJECTION_LOG_INTERVAL`.
    pub fn coverage_received(
        &mut self,
        coverage: Result<Coverage, CoverageError>,
        known_leader: Option<KnownLeader<'_>>,
        now: Duration,
        effects: &mut EffectSink,
    ) -> bool {
        let received = match coverage {
            Ok(coverage) => {
                let numbering = self.numbering.current();
                self.coverage_table.receive(coverage, now, numbering, known_leader).map(|_| ())
            }
            Err(error) => {
                self.coverage_table.count_rejected();
                Err(error)
            }
        };
        let Err(error) = received else { return true };
        if error == CoverageError::NumberingAhead {
            self.numbering.refresh_soon(now);
        } else if now >= self.next_rejection_log_at {
            self.next_rejection_log_at = now + REJECTION_LOG_INTERVAL;
            effects.log(LogLevel::Info, format!("coverage rejected: reason=\"{error}\""));
        }
        false
    }

    /// Whether a peer receives the machine's heartbeats, according to its coverage.
    pub fn reports_to_a_peer(&self, machine: &str, now: Duration) -> bool {
        self.coverage_table.reports_to_a_peer(machine, self.numbering.current(), now)
    }

    /// Whether the coverage of every peer is recent and shows that the peer receives no heartbeats either.
    pub fn no_peer_receives_heartbeats(&self, now: Duration) -> bool {
        self.coverage_table.no_peer_receives_heartbeats(now)
    }

    /// Whether reachability is enabled, there are peers and the coverage of all of them is recent, so that
    /// coverage can decide which node should lead.
    pub fn has_complete_coverage(&self, now: Duration) -> bool {
        self.is_enabled() && !self.settings.peers.is_empty() && self.coverage_table.has_complete_coverage(now)
    }

    fn numbers_of<'a>(&self, machines: impl Iterator<Item = &'a MachineName>) -> RoaringBitmap {
        machines.filter_map(|machine| self.numbering.current().number(machine)).collect()
    }

    /// Sends this node's coverage to all peers. `facts` is given if this node leads, `successor` if it
    /// hands the leadership over to that node.
    pub(super) fn send_coverage(
        &mut self,
        facts: Option<&LeaderFacts>,
        successor: Option<String>,
        now: Duration,
        effects: &mut EffectSink,
    ) {
        self.reporting_machines.remove_silent(self.settings.heartbeat_timeout() + REPORT_MARGIN, now);
        self.sequence += 1;
        let peers = self.settings.peers.iter().enumerate();
        let sending_peers = peers.filter(|(index, _)| self.monitor.receives_from_peer(*index));
        let coverage = Coverage {
            host: self.settings.host.clone(),
            boot: self.settings.boot_id,
            sequence: self.sequence,
            token: facts.map_or(0, |facts| facts.token),
            mode: self.mode(),
            numbering: self.numbering.current().revision(),
            reporting: self.numbers_of(self.reporting_machines.names()),
            reached: facts.map(|facts| self.numbers_of(facts.replied_to.iter())).unwrap_or_default(),
            expected: facts.map_or(0, |facts| u32::try_from(facts.machines_up).unwrap_or(u32::MAX)),
            peers: sending_peers.map(|(_, peer)| peer.clone()).collect(),
            successor,
        };
        effects.queued.push(Effect::SendCoverage(Box::new(coverage)));
    }

    /// Returns the peer to which this leader should now hand over the leadership, if there is one, and tells
    /// all peers its name.
    pub fn successor(
        &mut self,
        facts: &LeaderFacts,
        now: Duration,
        effects: &mut EffectSink,
    ) -> Option<String> {
        if !facts.lease_undisputed {
            // Giving up the lease needs the state service; without it, the lease expires by itself.
            return None;
        }
        let own = LeaderView {
            mode: self.mode(),
            reporting: facts.reporting_directly.len() as u64,
            expected: facts.machines_up as u64,
            state_suppressed: self.monitor.state_suppressed(now),
        };
        let candidate = |coverage: &Coverage| Candidate {
            host: coverage.host.clone(),
            mode: coverage.mode,
            reporting: coverage.reporting.len(),
        };
        let candidates: Vec<Candidate> = self.coverage_table.fresh(now).map(candidate).collect();
        let successor = self.handover.choose_successor(&own, &candidates, facts.leading_since, now)?;
        self.send_coverage(Some(facts), Some(successor.clone()), now, effects);
        Some(successor)
    }
}
