//! The network between nodes and machines.

use super::deployment::zone_of;
use super::World;

impl World {
    /// Returns whether the node and the machine can reach each other.
    pub(super) fn machine_reachable(&self, node: usize, machine: &str) -> bool {
        let odd = machine.ends_with(['1', '3', '5', '7', '9']);
        let apart = self.now < self.partitioned_until[node] && odd == self.partitions_odd_machines[node];
        !apart && (self.same_zone(node, machine) || !self.either_zone_cut(node, machine))
    }

    pub(super) fn same_zone(&self, node: usize, machine: &str) -> bool {
        self.workers.get(machine).is_some_and(|w| w.zone == zone_of(node))
    }

    pub(super) fn either_zone_cut(&self, node: usize, machine: &str) -> bool {
        let cut = |zone: &str| self.zone_cut_until.get(zone).is_some_and(|until| self.now < *until);
        cut(zone_of(node)) || self.workers.get(machine).is_some_and(|w| cut(&w.zone))
    }

    /// Returns whether messages between them stay within a zone that is cut off.
    pub(super) fn within_cut_zone(&self, node: usize, machine: &str) -> bool {
        self.either_zone_cut(node, machine) && self.same_zone(node, machine)
    }
}
