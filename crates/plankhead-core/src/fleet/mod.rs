//! The fleet: which machines are rented, what is known of them, and what the cloud refused.

mod capacity_backoff;
mod command_tracking;
mod heartbeat_times;
mod images;
mod inventory;
mod machine;
mod removal;
mod removed_machines;
mod response_tracking;

pub use command_tracking::CommandTracking;
pub use heartbeat_times::HeartbeatTimes;
pub use machine::{HeartbeatId, HeartbeatNews, InventoryTracking, Machine, RemovalReason};
pub use response_tracking::ResponseTracking;

use crate::jobs::job::Resources;
use crate::placement::index::PlacementIndex;
use crate::protocol::{Heartbeat, MachineName, MachineType, Pool};
use capacity_backoff::CapacityBackoffs;
use removed_machines::RemovedMachines;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Every machine that may be rented, as a node knows them.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// The machine types that the cloud offers, by name.
    pub machine_types: BTreeMap<String, MachineType>,
    /// The machines by name; those on their way back to the cloud until that is confirmed.
    pub machines: BTreeMap<MachineName, Machine>,
    removed: RemovedMachines,
    /// Machines whose return a former leader had begun, known or not.
    returns_inherited: BTreeSet<MachineName>,
    capacity_backoffs: CapacityBackoffs,
}

impl Fleet {
    /// What a machine of this type has; None if the type is unknown.
    pub fn resources(&self, machine_type: &str) -> Option<Resources> {
        let machine_type = self.machine_types.get(machine_type)?;
        Some(Resources { cpus: machine_type.cpus, gpus: machine_type.gpus, ram_gb: machine_type.ram })
    }

    /// The machine of this name, new with these properties if it was unknown.
    fn insert(
        &mut self,
        name: &MachineName,
        address: Arc<str>,
        pool: Pool,
        rented_at: Duration,
        now: Duration,
    ) -> &mut Machine {
        let is_returned = self.returns_inherited.contains(name);
        self.machines.entry(name.clone()).or_insert_with(|| Machine {
            removal: is_returned.then_some(RemovalReason::ReturnInherited),
            ..Machine::new(name.clone(), address, pool, rented_at, now)
        })
    }

    /// A machine that attempts are on, although no heartbeat or inventory has shown it yet.
    pub fn expect_machine(&mut self, name: &MachineName, now: Duration) {
        let pool = Pool { machine_type: String::new(), zone: String::new(), spot: false };
        if !self.removed.contains(name) {
            let machine = self.insert(name, "".into(), pool, now, now);
            machine.inventory.is_expected = true;
            machine.inventory.known_up = true;
        }
    }

    /// Machines whose return may be carried out at any time: nothing is placed there.
    pub fn returns_inherited(&mut self, names: &[MachineName]) {
        for name in names.iter().filter(|name| !self.removed.contains(name)) {
            self.returns_inherited.insert(name.clone());
            if let Some(machine) = self.machines.get_mut(name) {
                machine.removal.get_or_insert(RemovalReason::ReturnInherited);
            }
        }
    }

    /// Whether the cloud has confirmed the machine's release.
    pub fn is_removed(&self, name: &MachineName) -> bool {
        self.removed.contains(name)
    }

    /// Takes in a heartbeat that came at `now` to a node whose fencing token, or shard's epoch, is
    /// `own_token`.
    pub fn observe_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        own_token: u64,
        now: Duration,
    ) -> HeartbeatNews {
        if self.removed.contains(&heartbeat.machine) {
            return HeartbeatNews::Stale;
        }
        if !self.machines.contains_key(&heartbeat.machine) {
            self.insert(&heartbeat.machine, heartbeat.address.clone(), Pool::of(heartbeat), now, now);
        }
        match self.machines.get_mut(&heartbeat.machine) {
            Some(machine) => machine.observe_heartbeat(heartbeat, own_token, now),
            None => HeartbeatNews::Stale,
        }
    }

    /// Takes in a heartbeat that answers a direct command of this node, so that it is no copy.
    pub fn observe_command_reply(
        &mut self,
        heartbeat: &Heartbeat,
        own_token: u64,
        now: Duration,
    ) -> HeartbeatNews {
        if let Some(machine) = self.machines.get_mut(&heartbeat.machine) {
            machine.confirmed = true;
            machine.commands.unanswered = 0;
            // The response to its last heartbeat may still be under way.
            machine.responses.expect_nothing();
        }
        self.observe_heartbeat(heartbeat, own_token, now)
    }

    /// The cloud rented these machines out of `asked` that it was asked for.
    pub fn rented(&mut self, names: &[MachineName], pool: &Pool, asked: u32, now: Duration) {
        for name in names {
            if !self.removed.contains(name) {
                self.insert(name, "".into(), pool.clone(), now, now);
            }
        }
        if (names.len() as u32) < asked {
            self.capacity_refused(pool, now);
        }
    }

    /// The pool had fewer machines left than it was asked for.
    pub fn capacity_refused(&mut self, pool: &Pool, now: Duration) {
        let held = self.machines_held(pool);
        self.capacity_backoffs.refused(pool, held, now);
    }

    fn machines_held(&self, pool: &Pool) -> u32 {
        self.machines.values().filter(|machine| machine.pool == *pool).count() as u32
    }

    /// Whether the pool may be asked for machines: it has not refused lately.
    pub fn may_rent_from(&self, pool: &Pool, now: Duration) -> bool {
        self.capacity_backoffs.may_rent_from(pool, now)
    }

    /// The machines of this type that the cloud is known to have at most, if
    /// every pool of the type has refused lately.
    pub fn known_capacity(&self, machine_type: &str, now: Duration) -> Option<u32> {
        let mut sum = 0;
        for pool in self.pools(machine_type) {
            let limit = self.capacity_backoffs.limit(&pool, now)?;
            sum += limit.max(self.machines_held(&pool));
        }
        Some(sum)
    }

    /// The pools of this machine type: each of its zones, spot and not.
    pub fn pools(&self, machine_type: &str) -> Vec<Pool> {
        let Some(found) = self.machine_types.get(machine_type) else { return Vec::new() };
        let spot_and_regular = |zone: &String| {
            [true, false].map(|spot| Pool {
                machine_type: machine_type.to_string(),
                zone: zone.clone(),
                spot,
            })
        };
        found.zones.iter().flat_map(spot_and_regular).collect()
    }

    /// Machines of the type that are not on their way out.
    pub fn machines_of_type(&self, machine_type: &str) -> u32 {
        let stays = |machine: &&Machine| {
            machine.pool.machine_type == machine_type
                && machine.removal.is_none()
                && !machine.has_preemption_notice
        };
        self.machines.values().filter(stays).count() as u32
    }

    /// Machines of the pool that are not on their way out.
    pub fn machines_staying(&self, pool: &Pool) -> u32 {
        let stays = |machine: &&Machine| machine.pool == *pool && machine.removal.is_none();
        self.machines.values().filter(stays).count() as u32
    }

    /// Silence up to now was not the machines' fault.
    pub fn reset_silence(&mut self, now: Duration) {
        for machine in self.machines.values_mut() {
            machine.heartbeat_times.reset_silence(now);
            machine.commands.unanswered = 0;
        }
    }

    /// The machine's worker has to find another node through no fault of its own: it is given
    /// the time, once for every time that it is heard.
    pub fn extend_for_reroute(&mut self, name: &str, now: Duration) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.heartbeat_times.extend_for_reroute(now);
        }
    }

    /// The holder of a machine's shard heard it at that time, with nothing new.
    pub fn observe_alive(&mut self, name: &str, at: Duration) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        if machine.confirmed {
            machine.heartbeat_times.observe_alive(at);
            machine.commands.unanswered = 0;
            machine.is_relayed = false;
        }
    }

    /// The cloud confirmed the release.
    pub fn instance_released(&mut self, name: &MachineName) {
        self.machines.remove(name);
        self.returns_inherited.remove(name);
        self.removed.insert(name);
    }

    /// Remembers that the machine has the image or fetches it.
    pub fn record_image(&mut self, name: &str, image: u32, index: &PlacementIndex) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let machine_type = self.machine_types.get(&machine.pool.machine_type);
        let cache_gb = machine_type.map_or(0.0, |found| found.image_cache_gb);
        machine.record_image(image, cache_gb, index);
    }
}
