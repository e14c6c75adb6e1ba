//! The fleet: the rented machines, their state, and recent refusals of the cloud.

mod capacity_backoff;
mod command_tracking;
mod heartbeat_times;
mod images;
mod inventory;
mod machine;
mod removal;
mod removed_machines;
mod response_tracking;

pub use command_tracking::{AcknowledgementWait, CommandTracking};
pub use heartbeat_times::HeartbeatTimes;
pub use machine::{HeartbeatChange, HeartbeatId, InventoryTracking, Machine, RemovalReason};
pub use response_tracking::ResponseTracking;

use crate::jobs::job::Resources;
use crate::placement::index::PlacementIndex;
use crate::protocol::{Heartbeat, MachineName, MachineType, Pool};
use capacity_backoff::CapacityBackoffs;
use removed_machines::RemovedMachines;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Every machine that is or may be rented, as known to a node.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// The machine types that the cloud offers, by name.
    pub machine_types: BTreeMap<String, MachineType>,
    /// The machines by name, including those being returned until the cloud confirms the release.
    pub machines: BTreeMap<MachineName, Machine>,
    removed: RemovedMachines,
    /// Machines whose return a previous leader had begun, including machines not in `machines`.
    returns_inherited: BTreeSet<MachineName>,
    capacity_backoffs: CapacityBackoffs,
}

impl Fleet {
    /// Returns the resources of a machine of this type, or `None` if the type is unknown.
    pub fn resources(&self, machine_type: &str) -> Option<Resources> {
        let machine_type = self.machine_types.get(machine_type)?;
        Some(Resources { cpus: machine_type.cpus, gpus: machine_type.gpus, ram_gb: machine_type.ram })
    }

    /// Returns the machine of this name, after adding it with these properties if it is unknown.
    fn get_or_insert(
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

    /// Adds a machine that has attempts, unless it has been removed. The machine is expected to be
    /// up even if no heartbeat or inventory has shown it.
    pub fn add_placed_machine(&mut self, name: &MachineName, now: Duration) {
        let pool = Pool { machine_type: String::new(), zone: String::new(), spot: false };
        if !self.removed.contains(name) {
            let machine = self.get_or_insert(name, "".into(), pool, now, now);
            machine.inventory.is_expected = true;
            machine.inventory.known_up = true;
        }
    }

    /// Marks machines whose return a previous leader had begun. The cloud may carry the return out
    /// at any time, so nothing is placed on them.
    pub fn mark_inherited_returns(&mut self, names: &[MachineName]) {
        for name in names.iter().filter(|name| !self.removed.contains(name)) {
            self.returns_inherited.insert(name.clone());
            if let Some(machine) = self.machines.get_mut(name) {
                machine.removal.get_or_insert(RemovalReason::ReturnInherited);
            }
        }
    }

    /// Returns whether the cloud has confirmed the machine's release.
    pub fn is_removed(&self, name: &MachineName) -> bool {
        self.removed.contains(name)
    }

    /// Applies a heartbeat received at `now` by a node whose fencing token, or shard epoch, is
    /// `own_token`.
    pub fn observe_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        own_token: u64,
        now: Duration,
    ) -> HeartbeatChange {
        if self.removed.contains(&heartbeat.machine) {
            return HeartbeatChange::Stale;
        }
        if !self.machines.contains_key(&heartbeat.machine) {
            self.get_or_insert(&heartbeat.machine, heartbeat.address.clone(), Pool::of(heartbeat), now, now);
        }
        match self.machines.get_mut(&heartbeat.machine) {
            Some(machine) => machine.observe_heartbeat(heartbeat, own_token, now),
            None => HeartbeatChange::Stale,
        }
    }

    /// Applies a heartbeat that answers a direct command of this node. Unlike other heartbeats, it
    /// cannot be a late copy, so it confirms that the machine is up.
    pub fn observe_command_reply(
        &mut self,
        heartbeat: &Heartbeat,
        own_token: u64,
        now: Duration,
    ) -> HeartbeatChange {
        if let Some(machine) = self.machines.get_mut(&heartbeat.machine) {
            machine.confirmed = true;
            machine.commands.unanswered = 0;
            // The worker may have sent this reply before the response to its last heartbeat arrived, so the
            // reply need not show the effects of that response.
            machine.responses.clear_expected_effects();
        }
        self.observe_heartbeat(heartbeat, own_token, now)
    }

    /// Adds the machines that the cloud provided for a request of `asked` machines. If they are fewer,
    /// this counts as a refusal by the pool.
    pub fn record_rental(&mut self, names: &[MachineName], pool: &Pool, asked: u32, now: Duration) {
        for name in names {
            if !self.removed.contains(name) {
                self.get_or_insert(name, "".into(), pool.clone(), now, now);
            }
        }
        if (names.len() as u32) < asked {
            self.record_capacity_refusal(pool, now);
        }
    }

    /// Records that the pool had fewer machines left than were requested.
    pub fn record_capacity_refusal(&mut self, pool: &Pool, now: Duration) {
        let held = self.machines_held(pool);
        self.capacity_backoffs.record_refusal(pool, held, now);
    }

    fn machines_held(&self, pool: &Pool) -> u32 {
        self.machines.values().filter(|machine| machine.pool == *pool).count() as u32
    }

    /// Returns whether machines may be requested from the pool: it has not refused recently.
    pub fn may_rent_from(&self, pool: &Pool, now: Duration) -> bool {
        self.capacity_backoffs.may_rent_from(pool, now)
    }

    /// Returns the largest number of machines of this type that the cloud is known to provide. This is
    /// known only if every pool of the type has refused a request recently; otherwise returns `None`.
    pub fn known_capacity(&self, machine_type: &str, now: Duration) -> Option<u32> {
        let mut sum = 0;
        for pool in self.pools(machine_type) {
            let limit = self.capacity_backoffs.limit(&pool, now)?;
            sum += limit.max(self.machines_held(&pool));
        }
        Some(sum)
    }

    /// Returns the pools of this machine type: a spot and an ordinary one for each of its zones.
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

    /// Returns the number of machines of the type, without those being removed or with a preemption
    /// notice.
    pub fn machines_of_type(&self, machine_type: &str) -> u32 {
        let stays = |machine: &&Machine| {
            machine.pool.machine_type == machine_type
                && machine.removal.is_none()
                && !machine.has_preemption_notice
        };
        self.machines.values().filter(stays).count() as u32
    }

    /// Returns the number of machines of the pool, without those being removed.
    pub fn machines_staying(&self, pool: &Pool) -> u32 {
        let stays = |machine: &&Machine| machine.pool == *pool && machine.removal.is_none();
        self.machines.values().filter(stays).count() as u32
    }

    /// Counts the silence of all machines from `now` on, because the machines did not cause it so far.
    pub fn reset_silence(&mut self, now: Duration) {
        for machine in self.machines.values_mut() {
            machine.heartbeat_times.reset_silence(now);
            machine.commands.unanswered = 0;
        }
    }

    /// Counts the silence of a machine from `now` on, because its worker needs time to find another node
    /// through no fault of its own. Such an extension has no effect unless the machine has sent a new
    /// heartbeat since the previous extension.
    pub fn extend_for_reroute(&mut self, name: &str, now: Duration) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.heartbeat_times.extend_for_reroute(now);
        }
    }

    /// Returns for `GET /view` on how many machines ends wait to be acknowledged, by what they wait for.
    pub fn acknowledgements_view(&self) -> serde_json::Value {
        let waiting = |wait| {
            let waits = self.machines.values().filter_map(|machine| machine.commands.acknowledgement_wait);
            waits.filter(|found| *found == wait).count()
        };
        serde_json::json!({
            "commandInFlight": waiting(AcknowledgementWait::CommandInFlight),
            "laterToken": waiting(AcknowledgementWait::LaterToken),
        })
    }

    /// Records that the holder of the machine's shard received an unchanged heartbeat at `at`. Has no
    /// effect on a machine that is not confirmed.
    pub fn observe_alive(&mut self, name: &str, at: Duration) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        if machine.confirmed {
            machine.heartbeat_times.observe_alive(at);
            machine.commands.unanswered = 0;
            machine.is_relayed = false;
        }
    }

    /// Removes a machine whose release the cloud has confirmed.
    pub fn remove_released(&mut self, name: &MachineName) {
        self.machines.remove(name);
        self.returns_inherited.remove(name);
        self.removed.insert(name);
    }

    /// Records that the machine has or is fetching the image.
    pub fn record_image(&mut self, name: &str, image: u32, index: &PlacementIndex) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let machine_type = self.machine_types.get(&machine.pool.machine_type);
        let cache_gb = machine_type.map_or(0.0, |found| found.image_cache_gb);
        machine.record_image(image, cache_gb, index);
    }
}
