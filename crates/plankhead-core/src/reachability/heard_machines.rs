//! Machines whose heartbeats reached this node directly.

use crate::protocol::MachineName;
use std::collections::HashMap;
use std::time::Duration;

/// Machines that are remembered at the same time.
const MAX_HEARD_MACHINES: usize = 16_384;

/// When each machine was last heard.
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

    /// Forgets machines that were last heard this long ago, or longer.
    pub fn forget_silent(&mut self, timeout: Duration, now: Duration) {
        self.last_heard_at.retain(|_, at| now.saturating_sub(*at) < timeout);
    }
}
