//! Compares the cloud's inventory with the known machines.

use crate::fleet::machine::RemovalReason;
use crate::fleet::Fleet;
use crate::protocol::{Instance, InstanceStatus, MachineName, Pool};
use std::collections::BTreeSet;
use std::time::Duration;

impl Fleet {
    /// Applies a complete inventory. The inventory may be out of date, so a machine that is missing from
    /// it is not removed here; only the consecutive inventories without it are counted.
    pub fn observe_inventory(&mut self, instances: &[Instance], now: Duration) {
        let mut listed: BTreeSet<&MachineName> = BTreeSet::new();
        for instance in instances {
            listed.insert(&instance.name);
            if !self.removed.contains(&instance.name) {
                self.observe_instance(instance, now);
            }
        }
        for machine in self.machines.values_mut() {
            if machine.inventory.is_expected && !listed.contains(&machine.name) {
                machine.inventory.missed_in_a_row += 1;
            }
        }
    }

    /// Applies one instance of the inventory.
    fn observe_instance(&mut self, instance: &Instance, now: Duration) {
        let pool = Pool {
            machine_type: instance.machine_type.clone(),
            zone: instance.zone.clone(),
            spot: instance.spot,
        };
        let rented_at = now.saturating_sub(instance.age);
        let machine =
            self.get_or_insert(&instance.name, instance.address.clone(), pool.clone(), rented_at, now);
        machine.rented_at = rented_at;
        machine.pool = pool;
        machine.inventory.is_expected = true;
        // The machine is known to be up from now on, so its silence is measured from now.
        if instance.status == InstanceStatus::Running
            && !std::mem::replace(&mut machine.inventory.known_up, true)
        {
            machine.heartbeat_times.last_heard_at = machine.heartbeat_times.last_heard_at.max(now);
        }
        machine.inventory.missed_in_a_row = 0;
        if machine.address.is_empty() {
            machine.address = instance.address.clone();
        }
        if instance.status == InstanceStatus::Failed {
            machine.removal.get_or_insert(RemovalReason::InstanceFailed);
        }
    }
}
