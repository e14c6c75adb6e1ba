//! The machines whose heartbeats reach this node directly.

use crate::protocol::MachineName;
use std::collections::HashMap;
use std::time::Duration;

/// The maximum number of machines that are remembered.
const MAX_HEARD_MACHINES: usize = 16_384;

/// The machines from which this node has received heartbeats, with the time of the latest one.
#[derive(Debug, Default)]
pub(super) struct HeardMachines {
    last_heard_at: HashMap<MachineName, Duration>,
}

impl HeardMachines {
    pub fn is_empty(&self) -> bool {
        self.last_heard_at.is_empty()
    }

    pub fn len(&self) -> usize {
        self.last_heard_at.len()
    }

    pub fn names(&self) -> impl Iterator<Item = &MachineName> {
        self.last_heard_at.keys()
    }

    pub fn record(&mut self, machine: &MachineName, now: Duration) {
        let has_room = self.last_heard_at.len() < MAX_HEARD_MACHINES;
        if let Some(at) = self.last_heard_at.get_mut(machine) {
            *at = now;
        } else if has_room {
            self.last_heard_at.insert(machine.clone(), now);
        }
    }

    /// Forgets the machines whose latest heartbeat is at least `timeout` old.
    pub fn forget_silent(&mut self, timeout: Duration, now: Duration) {
        self.last_heard_at.retain(|_, at| now.saturating_sub(*at) < timeout);
    }
}
