//! Who reaches whom.

use super::deployment::zone_of;
use super::World;

impl World {
    /// Whether the node and the machine reach each other.
    pub(super) fn zones_connected(&self, node: usize, host: &str) -> bool {
        let odd = host.ends_with(['1', '3', '5', '7', '9']);
        let apart = self.now < self.partitioned_until[node] && odd == self.other_half[node];
        !apart && (self.zone_mates(node, host) || !self.zone_apart(node, host))
    }

    pub(super) fn zone_mates(&self, node: usize, host: &str) -> bool {
        self.workers.get(host).is_some_and(|w| w.zone == zone_of(node))
    }

    pub(super) fn zone_apart(&self, node: usize, host: &str) -> bool {
        let cut = |zone: &str| self.zone_cut.get(zone).is_some_and(|until| self.now < *until);
        cut(zone_of(node)) || self.workers.get(host).is_some_and(|w| cut(&w.zone))
    }

    /// Whether what passes between them stays inside of a zone that is cut off.
    pub(super) fn inside(&self, node: usize, host: &str) -> bool {
        self.zone_apart(node, host) && self.zone_mates(node, host)
    }
}
