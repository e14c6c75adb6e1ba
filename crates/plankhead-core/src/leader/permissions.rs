//! What the leader may do given which links of this node work: lookups in the permission table and
//! checks of its preconditions.

use super::Leader;
use crate::fleet::HeartbeatId;
use crate::protocol::{Heartbeat, MachineName};
use crate::reachability::LeaderFacts;
use plankhead_reachability::permission::{Action, Permission, Precondition};
use std::collections::BTreeSet;
use std::time::Duration;

/// A leader that cannot see cancellations stops renewing leases this much earlier than the deadline
/// requires, to allow for clock drift and messages in flight.
const CLOCK_MARGIN: Duration = Duration::from_secs(2);
/// How long the job records count as synced after their last sync, which the permission table requires
/// for starts and other actions.
const JOBS_STALE_AFTER: Duration = Duration::from_secs(4);

impl Leader {
    /// Returns whether the permission table allows an action in the present mode.
    pub(super) fn permits(&self, action: Action, now: Duration) -> bool {
        match self.settings.reachability.table.of(self.evidence.mode(), action) {
            Permission::Allowed => true,
            Permission::AllowedWhile(precondition) => self.is_satisfied(precondition, now),
            Permission::Deferred(_) | Permission::Forbidden(_) => false,
        }
    }

    fn is_satisfied(&self, precondition: Precondition, now: Duration) -> bool {
        let unsynced_for = now.saturating_sub(self.job_watch.synced_at());
        match precondition {
            Precondition::JobsSynced => unsynced_for < JOBS_STALE_AFTER,
            // Leases must expire before the deadline of a cancellation that was not seen.
            Precondition::LeasesExpireInTime => {
                let settings = &self.settings;
                unsynced_for < settings.cancel_within.saturating_sub(settings.worker_lease + CLOCK_MARGIN)
            }
            Precondition::NoPeerReceivesHeartbeats => self.evidence.no_peer_receives_heartbeats(),
        }
    }

    /// Returns the facts about this leader that the node's reachability monitoring uses.
    /// `lease_undisputed` is whether its lease is valid and the latest renewal has not failed.
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
            reporting_directly: direct.map(|machine| machine.name.clone()).collect(),
            replied_to: commanded.map(|machine| machine.name.clone()).collect(),
        }
    }

    /// Returns whether a heartbeat shows that the response to the previous heartbeat has reached the
    /// worker; `None` if there was no response or the heartbeat is not newer than the last one.
    pub fn confirms_response(&self, heartbeat: &Heartbeat) -> Option<bool> {
        let machine = self.fleet.machines.get(&heartbeat.machine)?;
        machine.responses.answered_at?;
        let is_newer = machine.last_heartbeat_id.is_some_and(|newest| HeartbeatId::of(heartbeat) > newest);
        is_newer.then_some(heartbeat.token >= self.token)
    }

    /// Returns the number of machines that should send their heartbeats to this leader; zero while it
    /// is loading.
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

    /// Returns the names of all machines, for the numbering of machines in coverage messages, which list the
    /// machines whose heartbeats a node receives.
    pub fn machine_names(&self) -> BTreeSet<MachineName> {
        self.fleet.machines.keys().cloned().collect()
    }

    /// Records which machines with late heartbeats report to a peer: the link to this node is at fault,
    /// not the machine.
    pub fn record_reports_to_peers(&mut self, now: Duration, reports_to_peer: impl Fn(&str) -> bool) {
        let timeout = self.settings.heartbeat_timeout();
        for machine in self.fleet.machines.values_mut() {
            if now.saturating_sub(machine.heartbeat_times.last_heard_at) > timeout
                && reports_to_peer(&machine.name)
            {
                machine.heartbeat_times.reported_to_peer_at = Some(now);
            }
        }
    }
}
