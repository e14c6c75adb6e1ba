//! Decides which machines to return to the cloud: silent machines, machines that did not come up,
//! machines missing from the cloud's inventory, and machines on which tasks fail repeatedly.

use crate::fleet::machine::{Machine, RemovalReason};
use crate::fleet::Fleet;
use crate::protocol::MachineName;
use crate::settings::Settings;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// The longest boot time allowed, as a multiple of the usual boot time of the machine type.
const MAX_BOOT_TIME_FACTOR: f64 = 2.6;
/// The boot time assumed for an unknown machine type.
const DEFAULT_BOOT_TIME: Duration = Duration::from_secs(60);
/// The number of consecutive unanswered commands after which a machine with a late heartbeat
/// counts as unresponsive.
const MAX_UNANSWERED_COMMANDS: u32 = 2;
/// Machines are probed only up to this number of direct commands in flight.
const MAX_PROBES_IN_FLIGHT: usize = 64;
/// Unresponsive machines count as lost only if there is at most one per this many machines. If more
/// are unresponsive, perhaps only this node cannot reach them, and their heartbeats will arrive
/// through a peer.
const MIN_MACHINES_PER_UNRESPONSIVE: usize = 50;
/// The time for which a peer's statement that it receives a machine's heartbeats is valid.
const PEER_COVERAGE_TIMEOUT: Duration = Duration::from_secs(6);
/// The number of consecutive task failures after which a machine is removed.
const MAX_CONSECUTIVE_ERRORS: u32 = 3;
/// A zone with at most this many silent machines is never considered cut off.
const MAX_SILENT_IN_REACHABLE_ZONE: u32 = 2;

/// The criteria for one round of removals.
struct RemovalCriteria {
    now: Duration,
    /// The time since the last heartbeat after which the next one is late.
    heartbeat_timeout: Duration,
    /// The longest time between two heartbeats of a running worker if a heartbeat or a response is
    /// lost in between and the worker must find another node.
    failover_heartbeat_timeout: Duration,
    worker_lease: Duration,
    /// The zones considered cut off from this node.
    cut_off_zones: BTreeSet<String>,
    /// Whether unresponsive machines count as lost, because there are few of them.
    removes_unresponsive: bool,
}

impl RemovalCriteria {
    fn new<'a>(
        machines: impl Iterator<Item = &'a Machine> + Clone,
        now: Duration,
        settings: &Settings,
    ) -> Self {
        let mut criteria = Self {
            now,
            heartbeat_timeout: settings.heartbeat_timeout(),
            failover_heartbeat_timeout: settings.failover_heartbeat_timeout(),
            worker_lease: settings.worker_lease,
            cut_off_zones: BTreeSet::new(),
            removes_unresponsive: false,
        };
        let was_up = machines.filter(|m| m.removal.is_none() && (m.confirmed || m.inventory.known_up));
        criteria.cut_off_zones = criteria.find_cut_off_zones(was_up.clone());
        let unresponsive = was_up.clone().filter(|machine| criteria.is_unresponsive(machine)).count();
        criteria.removes_unresponsive = unresponsive * MIN_MACHINES_PER_UNRESPONSIVE <= was_up.count();
        criteria
    }

    /// Returns the zones in which more than half of the machines do not reach this node.
    fn find_cut_off_zones<'a>(&self, machines: impl Iterator<Item = &'a Machine>) -> BTreeSet<String> {
        #[derive(Default)]
        struct ZoneCount {
            silent: u32,
            total: u32,
        }
        let mut zones: HashMap<&str, ZoneCount> = HashMap::new();
        for machine in machines {
            let count = zones.entry(&machine.pool.zone).or_default();
            count.silent += u32::from(
                self.elapsed_since(machine.heartbeat_times.last_direct_at) > self.heartbeat_timeout,
            );
            count.total += 1;
        }
        let is_cut_off =
            |count: &ZoneCount| count.silent > MAX_SILENT_IN_REACHABLE_ZONE && count.silent * 2 > count.total;
        let cut_off = zones.into_iter().filter(|(_, count)| is_cut_off(count));
        cut_off.map(|(zone, _)| zone.to_string()).collect()
    }

    fn elapsed_since(&self, at: Duration) -> Duration {
        self.now.saturating_sub(at)
    }

    /// Returns whether the machine's heartbeat is late and it has not answered commands either.
    fn is_unresponsive(&self, machine: &Machine) -> bool {
        machine.commands.unanswered >= MAX_UNANSWERED_COMMANDS
            && self.elapsed_since(machine.heartbeat_times.last_heard_at) > self.heartbeat_timeout
    }

    /// Returns the reason to remove the machine, if there is one.
    fn removal_reason(&self, machine: &Machine, boot_time: Duration) -> Option<RemovalReason> {
        let is_cut_off = self.cut_off_zones.contains(&machine.pool.zone);
        let max_silence = if is_cut_off {
            self.failover_heartbeat_timeout.max(self.worker_lease + boot_time / 2)
        } else {
            self.failover_heartbeat_timeout
        };
        let silence = self.elapsed_since(machine.heartbeat_times.last_heard_at);
        // The limit on the boot time applies only to machines that are not known to have been up. A
        // machine that has been up, but has sent no heartbeat to this leader, may have failed before the
        // leader's term, so only its silence counts.
        if machine.last_heartbeat_id.is_none() && !machine.inventory.known_up {
            let max_boot_time = boot_time.mul_f64(MAX_BOOT_TIME_FACTOR);
            let is_late = self.elapsed_since(machine.rented_at) > max_boot_time && silence > max_silence;
            return is_late.then_some(RemovalReason::BootTimeout);
        }
        let is_lost = !is_cut_off && self.removes_unresponsive && self.is_unresponsive(machine);
        // If a peer receives the machine's heartbeats, the link to this node has failed and not the
        // machine. This excuses the silence for one more worker lease.
        let reports_to_peer = machine
            .heartbeat_times
            .reported_to_peer_at
            .is_some_and(|at| self.elapsed_since(at) < PEER_COVERAGE_TIMEOUT);
        let is_excused = reports_to_peer && silence < max_silence + self.worker_lease;
        if (silence > max_silence || is_lost) && !is_excused {
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
    /// Marks the machines to be removed, and returns how many were marked: silent machines, machines
    /// that did not come up, machines missing from the cloud's inventory, and machines on which tasks
    /// fail repeatedly.
    ///
    /// If most machines of a zone fall silent, the zone is probably cut off, and the heartbeats of
    /// its machines may soon arrive through a peer. The machines are kept until their leases have
    /// expired and half the boot time of a replacement has passed.
    ///
    /// Machines with late heartbeats are probed with direct commands. A machine that does not
    /// answer them counts as lost after the heartbeat timeout, without the additional time that a
    /// worker needs to reach another node after a lost response.
    pub fn mark_for_removal(&mut self, now: Duration, settings: &Settings) -> usize {
        let criteria = RemovalCriteria::new(self.machines.values(), now, settings);
        let mut marked = 0;
        for machine in self.machines.values_mut().filter(|machine| machine.removal.is_none()) {
            let machine_type = self.machine_types.get(&machine.pool.machine_type);
            let boot_time = machine_type.map_or(DEFAULT_BOOT_TIME, |found| found.boot_time);
            if let Some(reason) = criteria.removal_reason(machine, boot_time) {
                machine.removal = Some(reason);
                marked += 1;
            }
        }
        marked
    }

    /// Returns the zones that may be cut off from this node: more than half of their machines are silent.
    pub fn cut_off_zones(&self, now: Duration, settings: &Settings) -> BTreeSet<String> {
        RemovalCriteria::new(self.machines.values(), now, settings).cut_off_zones
    }

    /// Marks machines that have been silent for longer than `max_silence`, a time within which
    /// their leases expire. If `only_minority` is set, marks none when more than half are silent.
    pub fn mark_silent_beyond_lease(&mut self, now: Duration, max_silence: Duration, only_minority: bool) {
        let was_up = |machine: &Machine| {
            machine.removal.is_none() && (machine.last_heartbeat_id.is_some() || machine.inventory.known_up)
        };
        let is_silent = |machine: &Machine| {
            let last_seen_at = machine.heartbeat_times.last_heard_at.max(machine.heartbeat_times.last_new_at);
            was_up(machine) && now.saturating_sub(last_seen_at) > max_silence
        };
        let count = |matches: &dyn Fn(&Machine) -> bool| {
            self.machines.values().filter(|machine| matches(machine)).count()
        };
        if only_minority && count(&is_silent) * 2 > count(&was_up) {
            return;
        }
        for machine in self.machines.values_mut().filter(|machine| is_silent(machine)) {
            machine.removal = Some(RemovalReason::HeartbeatTimeout);
        }
    }

    /// Returns the machines to probe: those whose last heartbeat is older than `heartbeat_timeout`
    /// and for which `is_own` holds, limited by the number of commands in flight.
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
