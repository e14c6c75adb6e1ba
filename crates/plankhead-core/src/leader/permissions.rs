//! What the leader may do with what this node reaches: the one table, and the evidence
//! that its bounds name.

use super::{Leader, BLIND_MARGIN, STALE};
use crate::fleet::HeartbeatId;
use crate::protocol::{Heartbeat, MachineName};
use crate::reachability::LeaderFacts;
use plankhead_reachability::permission::{Action, Permission, Precondition};
use std::collections::BTreeSet;
use std::time::Duration;

impl Leader {
    /// Whether the table allows an action at present.
    pub(super) fn permits(&self, action: Action, now: Duration) -> bool {
        match self.settings.reachability.table.of(self.evidence.mode(), action) {
            Permission::Allowed => true,
            Permission::Within(bound) => self.is_within(bound, now),
            Permission::Deferred(_) | Permission::Forbidden(_) => false,
        }
    }

    fn is_within(&self, bound: Precondition, now: Duration) -> bool {
        let blind = now.saturating_sub(self.job_watch.synced_at());
        match bound {
            Precondition::JobsSynced => blind < STALE,
            // Leases must run out before a cancellation that was not seen is due.
            Precondition::CancellationUnseen => {
                let settings = &self.settings;
                blind < settings.cancel_within.saturating_sub(settings.worker_lease + BLIND_MARGIN)
            }
            Precondition::PeersAgree => self.evidence.peers_agree(),
        }
    }

    /// What the node's reachability needs to know of this leader. `steady`: its grant is
    /// good, and nothing says that the state service fails it.
    pub fn reachability_facts(&self, now: Duration, steady: bool) -> LeaderFacts {
        let lately = self.settings.heartbeat_timeout() + Duration::from_secs(1);
        let recent = |at: Duration| now.saturating_sub(at) < lately;
        let up = || self.fleet.machines.values().filter(|machine| machine.is_up());
        let direct = up().filter(|machine| !machine.is_relayed && recent(machine.last_direct_at));
        let reached =
            up().filter(|machine| machine.responses.answered_at.is_some() && recent(machine.last_heard_at));
        LeaderFacts {
            token: self.token,
            leading_since: self.started_at,
            lease_undisputed: steady && self.loading.is_ready(),
            machines_up: up().count(),
            heard_directly: direct.map(|machine| machine.name.clone()).collect(),
            confirmed_commands: reached.map(|machine| machine.name.clone()).collect(),
        }
    }

    /// Whether a report shows the answer to the one before; `None` if there was none.
    pub fn answer_shown(&self, heartbeat: &Heartbeat) -> Option<bool> {
        let machine = self.fleet.machines.get(&heartbeat.machine)?;
        machine.responses.answered_at?;
        let later = machine.last_heartbeat_id.is_some_and(|newest| HeartbeatId::of(heartbeat) > newest);
        later.then_some(heartbeat.token >= self.token)
    }

    /// Machines that should report to this leader.
    pub fn machines_expected(&self) -> usize {
        if self.loading.is_ready() {
            self.fleet
                .machines
                .values()
                .filter(|machine| machine.is_up() && self.is_own_machine(machine))
                .count()
        } else {
            0
        }
    }

    /// The names of all machines, to be numbered.
    pub fn machine_names(&self) -> BTreeSet<MachineName> {
        self.fleet.machines.keys().cloned().collect()
    }

    /// Notes which machines with late reports are heard by some peer: their silence is
    /// our link's.
    pub fn record_heard_by_peers(&mut self, now: Duration, heard_by_a_peer: impl Fn(&str) -> bool) {
        let gap = self.settings.heartbeat_timeout();
        for machine in self.fleet.machines.values_mut() {
            if now.saturating_sub(machine.last_heard_at) > gap && heard_by_a_peer(&machine.name) {
                machine.heard_by_peer_at = Some(now);
            }
        }
    }
}
