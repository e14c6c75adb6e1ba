//! What the leader may do, depending on which links of this node work: the one table of
//! permissions, and the evidence that its preconditions name.

use super::Leader;
use crate::fleet::HeartbeatId;
use crate::protocol::{Heartbeat, MachineName};
use crate::reachability::LeaderFacts;
use plankhead_reachability::permission::{Action, Permission, Precondition};
use std::collections::BTreeSet;
use std::time::Duration;

/// How much sooner answers of a leader that can't see cancellations end than leases and
/// cancellations ask for: for the drift of clocks and for what is under way.
const CLOCK_MARGIN: Duration = Duration::from_secs(2);
/// No starts once the jobs were not synced for this long.
const JOBS_STALE_AFTER: Duration = Duration::from_secs(4);

impl Leader {
    /// Whether the table of permissions allows an action at present.
    pub(super) fn permits(&self, action: Action, now: Duration) -> bool {
        match self.settings.reachability.table.of(self.evidence.mode(), action) {
            Permission::Allowed => true,
            Permission::Within(precondition) => self.holds(precondition, now),
            Permission::Deferred(_) | Permission::Forbidden(_) => false,
        }
    }

    fn holds(&self, precondition: Precondition, now: Duration) -> bool {
        let unsynced_for = now.saturating_sub(self.job_watch.synced_at());
        match precondition {
            Precondition::JobsSynced => unsynced_for < JOBS_STALE_AFTER,
            // Leases must expire before a cancellation that was not seen is due.
            Precondition::CancellationUnseen => {
                let settings = &self.settings;
                unsynced_for < settings.cancel_within.saturating_sub(settings.worker_lease + CLOCK_MARGIN)
            }
            Precondition::PeersAgree => self.evidence.peers_agree(),
        }
    }

    /// What the node's reachability needs to know of this leader. `lease_undisputed`: its
    /// lease is valid, and no call to the state service has failed since.
    pub fn reachability_facts(&self, now: Duration, lease_undisputed: bool) -> LeaderFacts {
        let timeout = self.settings.heartbeat_timeout() + Duration::from_secs(1);
        let recent = |at: Duration| now.saturating_sub(at) < timeout;
        let up = || self.fleet.machines.values().filter(|machine| machine.is_up());
        let direct =
            up().filter(|machine| !machine.is_relayed && recent(machine.heartbeat_times.last_direct_at));
        let commanded = up().filter(|machine| {
            machine.responses.answered_at.is_some() && recent(machine.heartbeat_times.last_heard_at)
        });
        LeaderFacts {
            token: self.token,
            leading_since: self.started_at,
            lease_undisputed: lease_undisputed && self.loading.is_ready(),
            machines_up: up().count(),
            heard_directly: direct.map(|machine| machine.name.clone()).collect(),
            confirmed_commands: commanded.map(|machine| machine.name.clone()).collect(),
        }
    }

    /// Whether a heartbeat shows the answer to the one before; `None` if there was none.
    pub fn answer_shown(&self, heartbeat: &Heartbeat) -> Option<bool> {
        let machine = self.fleet.machines.get(&heartbeat.machine)?;
        machine.responses.answered_at?;
        let later = machine.last_heartbeat_id.is_some_and(|newest| HeartbeatId::of(heartbeat) > newest);
        later.then_some(heartbeat.token >= self.token)
    }

    /// How many machines should report to this leader.
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

    /// Notes which machines with late heartbeats are heard by some peer: their silence is
    /// our link's.
    pub fn record_heard_by_peers(&mut self, now: Duration, is_heard_by_peer: impl Fn(&str) -> bool) {
        let timeout = self.settings.heartbeat_timeout();
        for machine in self.fleet.machines.values_mut() {
            if now.saturating_sub(machine.heartbeat_times.last_heard_at) > timeout
                && is_heard_by_peer(&machine.name)
            {
                machine.heartbeat_times.heard_by_peer_at = Some(now);
            }
        }
    }
}
