//! Machines whose release the cloud confirmed, so that late messages of theirs are known as such.

use crate::protocol::MachineName;
use std::collections::{BTreeSet, VecDeque};

/// Names of machines that are gone are remembered up to this number: a fleet of
/// two thousand that loses some to the spot market for hours.
const MAX_REMOVED: usize = 16_384;

/// The names of removed machines, the latest ones up to a limit.
#[derive(Debug, Clone, Default)]
pub(super) struct RemovedMachines {
    names: BTreeSet<MachineName>,
    /// The same names, the oldest first.
    order: VecDeque<MachineName>,
}

impl RemovedMachines {
    pub(super) fn contains(&self, machine: &MachineName) -> bool {
        self.names.contains(machine)
    }

    pub(super) fn insert(&mut self, machine: &MachineName) {
        if self.names.insert(machine.clone()) {
            self.order.push_back(machine.clone());
        }
        while self.order.len() > MAX_REMOVED {
            if let Some(oldest) = self.order.pop_front() {
                self.names.remove(&oldest);
            }
        }
    }
}
