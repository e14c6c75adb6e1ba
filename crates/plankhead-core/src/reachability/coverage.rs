//! Coverage, which machines a node hears: its exchange with peers, and the handover to a
//! peer that hears more.

use super::{LeaderFacts, Reachability};
use crate::effects::EffectSink;
use crate::protocol::{Effect, LogLevel, MachineName};
use plankhead_reachability::coverage::{Coverage, CoverageError, KnownLeader};
use plankhead_reachability::handover::{Candidate, LeaderView};
use roaring::RoaringBitmap;
use std::time::Duration;

/// Time between two log lines about refused coverage.
const FAULT_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// How much longer a machine counts as heard than its heartbeats may take.
const HEARD_MARGIN: Duration = Duration::from_secs(1);

impl Reachability {
    /// Takes in a peer's coverage, or logs why it was refused; false: it was.
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
            Err(fault) => {
                self.coverage_table.count_refused();
                Err(fault)
            }
        };
        let Err(fault) = received else { return true };
        if fault == CoverageError::NumberingAhead {
            self.numbering.refresh_soon(now);
        } else if now >= self.next_fault_log_at {
            self.next_fault_log_at = now + FAULT_LOG_INTERVAL;
            effects.log(LogLevel::Info, format!("coverage rejected: reason=\"{fault}\""));
        }
        false
    }

    /// Whether some peer hears the machine.
    pub fn heard_by_a_peer(&self, machine: &str, now: Duration) -> bool {
        self.coverage_table.heard_by_a_peer(machine, self.numbering.current(), now)
    }

    /// Whether every peer says that it hears no machine either.
    pub fn peers_agree(&self, now: Duration) -> bool {
        self.coverage_table.nobody_hears(now)
    }

    /// Whether all peers exchange coverage, so that it decides who should lead.
    pub fn is_complete(&self, now: Duration) -> bool {
        self.is_enabled() && !self.settings.peers.is_empty() && self.coverage_table.complete(now)
    }

    fn numbers_of<'a>(&self, machines: impl Iterator<Item = &'a MachineName>) -> RoaringBitmap {
        machines.filter_map(|machine| self.numbering.current().number(machine)).collect()
    }

    pub(super) fn send_coverage(
        &mut self,
        facts: Option<&LeaderFacts>,
        successor: Option<String>,
        now: Duration,
        effects: &mut EffectSink,
    ) {
        self.heard_machines.forget_silent(self.settings.heartbeat_timeout() + HEARD_MARGIN, now);
        self.sequence += 1;
        let peers = self.settings.peers.iter().enumerate();
        let heard_peers = peers.filter(|(index, _)| self.monitor.hears_peer(*index));
        let coverage = Coverage {
            host: self.settings.host.clone(),
            boot: self.settings.boot_id,
            sequence: self.sequence,
            token: facts.map_or(0, |facts| facts.token),
            mode: self.mode(),
            numbering: self.numbering.current().revision(),
            heard: self.numbers_of(self.heard_machines.names()),
            reached: facts.map(|facts| self.numbers_of(facts.confirmed_commands.iter())).unwrap_or_default(),
            expected: facts.map_or(0, |facts| u32::try_from(facts.machines_up).unwrap_or(u32::MAX)),
            peers: heard_peers.map(|(_, peer)| peer.clone()).collect(),
            successor,
        };
        effects.queued.push(Effect::SendCoverage(Box::new(coverage)));
    }

    /// The peer that this leader should hand over to now, if any; all peers are sent its name.
    pub fn successor(
        &mut self,
        facts: &LeaderFacts,
        now: Duration,
        effects: &mut EffectSink,
    ) -> Option<String> {
        if !facts.lease_undisputed {
            // A lease that can't be given up expires by itself.
            return None;
        }
        let own = LeaderView {
            mode: self.mode(),
            heard: facts.heard_directly.len() as u64,
            expected: facts.machines_up as u64,
            state_suppressed: self.monitor.state_suppressed(now),
        };
        let candidate = |coverage: &Coverage| Candidate {
            host: coverage.host.clone(),
            mode: coverage.mode,
            heard: coverage.heard.len(),
        };
        let candidates: Vec<Candidate> = self.coverage_table.fresh(now).map(candidate).collect();
        let successor = self.handover.decide(&own, &candidates, facts.leading_since, now)?;
        self.send_coverage(Some(facts), Some(successor.clone()), now, effects);
        Some(successor)
    }
}
