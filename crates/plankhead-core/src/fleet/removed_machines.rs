//! Machines whose release the cloud has confirmed, kept to recognize their late messages.

use crate::protocol::MachineName;
use std::collections::{BTreeSet, VecDeque};

/// The number of removed machines remembered: enough for a fleet of 2,000 machines that loses spot
/// instances for hours.
const MAX_REMOVED: usize = 16_384;

/// The names of the most recently removed machines, up to [`MAX_REMOVED`].
#[derive(Debug, Clone, Default)]
pub(super) struct RemovedMachines {
    names: BTreeSet<MachineName>,
    /// The same names in the order of removal, the oldest first.
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
