//! Which machines must go back to the cloud: silent ones, ones that never came up, ones that fail
//! every task.

use crate::fleet::machine::{Machine, RemovalReason};
use crate::fleet::Fleet;
use crate::protocol::MachineName;
use crate::settings::Settings;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// A machine may take this many times its usual boot time to come up.
const MAX_BOOT_TIME_FACTOR: f64 = 2.6;
/// The boot time of a machine type that is not known.
const DEFAULT_BOOT_TIME: Duration = Duration::from_secs(60);
/// Commands in a row without an answer after which a machine whose heartbeat is late
/// is lost.
const MAX_UNANSWERED_COMMANDS: u32 = 2;
/// Machines probed at a time.
const MAX_PROBES_IN_FLIGHT: usize = 64;
/// Machines that answer nothing are lost only if there is at most one in so many: more may be out
/// of this node's reach only, and come through a peer.
const MIN_MACHINES_PER_UNRESPONSIVE: usize = 50;
/// How long a peer is believed that hears a machine.
const PEER_COVERAGE_TIMEOUT: Duration = Duration::from_secs(6);
/// Errors of tasks in a row after which a machine is removed.
const MAX_CONSECUTIVE_ERRORS: u32 = 3;
/// Silent machines at the most in a zone that is not cut off.
const MAX_SILENT_IN_REACHABLE_ZONE: u32 = 2;

/// What one round of removals goes by.
struct RemovalRules {
    now: Duration,
    /// How long after the last one a heartbeat is late.
    heartbeat_timeout: Duration,
    /// How long a worker may take to be heard again after a response was lost.
    failover_heartbeat_timeout: Duration,
    worker_lease: Duration,
    /// Zones that fell silent as a whole.
    cut_off_zones: BTreeSet<String>,
    /// Few enough machines answer nothing that each counts as lost.
    removes_unresponsive: bool,
}

impl RemovalRules {
    fn new<'a>(
        machines: impl Iterator<Item = &'a Machine> + Clone,
        now: Duration,
        settings: &Settings,
    ) -> Self {
        let mut rules = Self {
            now,
            heartbeat_timeout: settings.heartbeat_timeout(),
            failover_heartbeat_timeout: settings.failover_heartbeat_timeout(),
            worker_lease: settings.worker_lease,
            cut_off_zones: BTreeSet::new(),
            removes_unresponsive: false,
        };
        let was_up = machines.filter(|m| m.removal.is_none() && (m.confirmed || m.inventory.known_up));
        rules.cut_off_zones = rules.find_cut_off_zones(was_up.clone());
        let unresponsive = was_up.clone().filter(|machine| rules.is_unresponsive(machine)).count();
        rules.removes_unresponsive = unresponsive * MIN_MACHINES_PER_UNRESPONSIVE <= was_up.count();
        rules
    }

    /// Zones in which more than half of the machines don't reach this node.
    fn find_cut_off_zones<'a>(&self, machines: impl Iterator<Item = &'a Machine>) -> BTreeSet<String> {
        #[derive(Default)]
        struct ZoneCount {
            silent: u32,
            all: u32,
        }
        let mut zones: HashMap<&str, ZoneCount> = HashMap::new();
        for machine in machines {
            let count = zones.entry(&machine.pool.zone).or_default();
            count.silent +=
                u32::from(self.since(machine.heartbeat_times.last_direct_at) > self.heartbeat_timeout);
            count.all += 1;
        }
        let is_cut_off =
            |count: &ZoneCount| count.silent > MAX_SILENT_IN_REACHABLE_ZONE && count.silent * 2 > count.all;
        let cut_off = zones.into_iter().filter(|(_, count)| is_cut_off(count));
        cut_off.map(|(zone, _)| zone.to_string()).collect()
    }

    fn since(&self, at: Duration) -> Duration {
        self.now.saturating_sub(at)
    }

    /// Whether the machine's heartbeat is late and it does not answer commands either.
    fn is_unresponsive(&self, machine: &Machine) -> bool {
        machine.commands.unanswered >= MAX_UNANSWERED_COMMANDS
            && self.since(machine.heartbeat_times.last_heard_at) > self.heartbeat_timeout
    }

    /// Why the machine must go, if it must.
    fn removal_reason(&self, machine: &Machine, boot_time: Duration) -> Option<RemovalReason> {
        let is_cut_off = self.cut_off_zones.contains(&machine.pool.zone);
        let max_silence = if is_cut_off {
            self.failover_heartbeat_timeout.max(self.worker_lease + boot_time / 2)
        } else {
            self.failover_heartbeat_timeout
        };
        let silence = self.since(machine.heartbeat_times.last_heard_at);
        // A machine that was rented before a new leader came never reports to
        // it: only silence tells, not the time for a boot.
        if machine.last_heartbeat_id.is_none() && !machine.inventory.known_up {
            let max_boot_time = boot_time.mul_f64(MAX_BOOT_TIME_FACTOR);
            let is_late = self.since(machine.rented_at) > max_boot_time && silence > max_silence;
            return is_late.then_some(RemovalReason::BootTimeout);
        }
        let is_lost = !is_cut_off && self.removes_unresponsive && self.is_unresponsive(machine);
        // Its silence is this node's link's and not its own, for as long as its lease may last.
        let is_heard_by_peer =
            machine.heartbeat_times.heard_by_peer_at.is_some_and(|at| self.since(at) < PEER_COVERAGE_TIMEOUT);
        let is_spared = is_heard_by_peer && silence < max_silence + self.worker_lease;
        if (silence > max_silence || is_lost) && !is_spared {
            Some(RemovalReason::HeartbeatTimeout)
        } else if machine.is_unlisted() && silence > self.heartbeat_timeout.max(max_silence / 2) {
            Some(RemovalReason::NotInInventory)
        } else if machine.consecutive_errors >= MAX_CONSECUTIVE_ERRORS {
            Some(RemovalReason::Faulty)
        } else {
            None
        }
    }
}

impl Fleet {
    /// Marks machines that must go, and returns how many: silent ones, ones that never came up,
    /// ones that fail everything.
    ///
    /// A zone that falls silent at once is cut off rather than broken: its
    /// machines may be heard through a peer soon. They are given until their
    /// leases have expired and half of what others would need to boot.
    ///
    /// A machine whose heartbeat is late was probed: without an answer to
    /// that it is lost, long before a lost response to a heartbeat would excuse it.
    pub fn mark_for_removal(&mut self, now: Duration, settings: &Settings) -> usize {
        let rules = RemovalRules::new(self.machines.values(), now, settings);
        let mut marked = 0;
        for machine in self.machines.values_mut().filter(|machine| machine.removal.is_none()) {
            let machine_type = self.machine_types.get(&machine.pool.machine_type);
            let boot_time = machine_type.map_or(DEFAULT_BOOT_TIME, |found| found.boot_time);
            if let Some(reason) = rules.removal_reason(machine, boot_time) {
                machine.removal = Some(reason);
                marked += 1;
            }
        }
        marked
    }

    /// Marks machines that have been silent for longer than `max_silence`, in which their leases
    /// have expired; `only_minority`: none if they are more than half.
    pub fn mark_silent_beyond_lease(&mut self, now: Duration, max_silence: Duration, only_minority: bool) {
        let is_there = |machine: &Machine| {
            machine.removal.is_none() && (machine.last_heartbeat_id.is_some() || machine.inventory.known_up)
        };
        let is_silent = |machine: &Machine| {
            let last_sign_at = machine.heartbeat_times.last_heard_at.max(machine.heartbeat_times.last_new_at);
            is_there(machine) && now.saturating_sub(last_sign_at) > max_silence
        };
        let count = |matches: &dyn Fn(&Machine) -> bool| {
            self.machines.values().filter(|machine| matches(machine)).count()
        };
        if only_minority && count(&is_silent) * 2 > count(&is_there) {
            return;
        }
        for machine in self.machines.values_mut().filter(|machine| is_silent(machine)) {
            machine.removal = Some(RemovalReason::HeartbeatTimeout);
        }
    }

    /// Machines whose heartbeat is later than `heartbeat_timeout` and that are to be probed: not
    /// too many at a time, and only those for which `is_own` holds.
    pub fn machines_to_probe(
        &self,
        now: Duration,
        heartbeat_timeout: Duration,
        is_own: impl Fn(&Machine) -> bool,
    ) -> Vec<MachineName> {
        let in_flight = self.machines.values().filter(|machine| machine.commands.in_flight).count();
        let may_be_probed = |machine: &&Machine| {
            machine.is_up()
                && machine.takes_commands()
                && machine.commands.unanswered < MAX_UNANSWERED_COMMANDS
        };
        let is_late = |machine: &&Machine| {
            now.saturating_sub(machine.heartbeat_times.last_heard_at) > heartbeat_timeout && is_own(machine)
        };
        let late = self.machines.values().filter(may_be_probed).filter(is_late);
        late.map(|machine| machine.name.clone())
            .take(MAX_PROBES_IN_FLIGHT.saturating_sub(in_flight))
            .collect()
    }
}
