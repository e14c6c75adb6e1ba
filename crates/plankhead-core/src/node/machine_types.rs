//! The cloud's list of machine types, which is read periodically.

use crate::calls::CallPurpose;
use crate::effects::EffectSink;
use crate::protocol::{CallError, CloudReply, CloudRequest, MachineType};
use std::collections::BTreeMap;
use std::time::Duration;

/// The time between two reads of the list.
const REFRESH_INTERVAL: Duration = Duration::from_secs(300);
/// The delay before the list is read again after a failed read.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The machine types known to this node.
#[derive(Debug, Default)]
pub(super) struct MachineTypeList {
    by_name: BTreeMap<String, MachineType>,
    next_list_at: Duration,
    list_in_flight: bool,
}

impl MachineTypeList {
    /// The machine types by name; empty until the first successful read.
    pub fn by_name(&self) -> &BTreeMap<String, MachineType> {
        &self.by_name
    }

    /// Returns when the list is to be read next; `None` while a read is in flight.
    pub fn next_due(&self) -> Option<Duration> {
        (!self.list_in_flight).then_some(self.next_list_at)
    }

    /// Requests the list if a read is due.
    pub fn tick(&mut self, now: Duration, effects: &mut EffectSink) {
        if now >= self.next_list_at && !self.list_in_flight {
            self.list_in_flight = true;
            effects.call_cloud(CallPurpose::MachineTypes, CloudRequest::ListMachineTypes);
        }
    }

    /// Handles the reply to a read and returns whether it contained a list. An empty list counts as a
    /// failed read.
    pub fn handle_reply(&mut self, now: Duration, reply: Result<CloudReply, CallError>) -> bool {
        self.list_in_flight = false;
        match reply {
            Ok(CloudReply::MachineTypes(machine_types)) if !machine_types.is_empty() => {
                self.by_name =
                    machine_types.into_iter().map(|listed| (listed.name.clone(), listed)).collect();
                self.next_list_at = now + REFRESH_INTERVAL;
                true
            }
            _ => {
                self.next_list_at = now + RETRY_INTERVAL;
                false
            }
        }
    }
}
