//! The machines whose heartbeats reach this node directly.

use crate::protocol::MachineName;
use std::collections::HashMap;
use std::time::Duration;

/// The maximum number of machines in the set. Further ones are not recorded.
const MAX_REPORTING_MACHINES: usize = 16_384;

/// The machines from which this node has received heartbeats, with the time of the latest one.
#[derive(Debug, Default)]
pub(super) struct ReportingMachines {
    last_heartbeat_at: HashMap<MachineName, Duration>,
}

impl ReportingMachines {
    pub fn is_empty(&self) -> bool {
        self.last_heartbeat_at.is_empty()
    }

    pub fn len(&self) -> usize {
        self.last_heartbeat_at.len()
    }

    pub fn names(&self) -> impl Iterator<Item = &MachineName> {
        self.last_heartbeat_at.keys()
    }

    pub fn record(&mut self, machine: &MachineName, now: Duration) {
        let has_room = self.last_heartbeat_at.len() < MAX_REPORTING_MACHINES;
        if let Some(at) = self.last_heartbeat_at.get_mut(machine) {
            *at = now;
        } else if has_room {
            self.last_heartbeat_at.insert(machine.clone(), now);
        }
    }

    /// Removes the machines whose latest heartbeat is at least `timeout` old.
    pub fn remove_silent(&mut self, timeout: Duration, now: Duration) {
        self.last_heartbeat_at.retain(|_, at| now.saturating_sub(*at) < timeout);
    }
}
