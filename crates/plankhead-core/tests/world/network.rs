//! Who reaches whom.

use super::deployment::zone_of;
use super::World;

impl World {
    /// Whether the node and the machine reach each other.
    pub(super) fn zones_connected(&self, node: usize, machine: &str) -> bool {
        let odd = machine.ends_with(['1', '3', '5', '7', '9']);
        let apart = self.now < self.partitioned_until[node] && odd == self.other_half[node];
        !apart && (self.zone_mates(node, machine) || !self.zone_apart(node, machine))
    }

    pub(super) fn zone_mates(&self, node: usize, machine: &str) -> bool {
        self.workers.get(machine).is_some_and(|w| w.zone == zone_of(node))
    }

    pub(super) fn zone_apart(&self, node: usize, machine: &str) -> bool {
        let cut = |zone: &str| self.zone_cut.get(zone).is_some_and(|until| self.now < *until);
        cut(zone_of(node)) || self.workers.get(machine).is_some_and(|w| cut(&w.zone))
    }

    /// Whether what passes between them stays inside of a zone that is cut off.
    pub(super) fn inside(&self, node: usize, machine: &str) -> bool {
        self.zone_apart(node, machine) && self.zone_mates(node, machine)
    }
}
