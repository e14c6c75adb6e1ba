//! The cloud's list of machine types, as this node last read it.

use crate::calls::CallPurpose;
use crate::effects::EffectSink;
use crate::protocol::{CallError, CloudReply, CloudRequest, MachineType};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two reads of the list, and after a read that failed.
const REFRESH_INTERVAL: Duration = Duration::from_secs(300);
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
pub(super) struct MachineTypeList {
    by_name: BTreeMap<String, MachineType>,
    next_list_at: Duration,
    list_in_flight: bool,
}

impl MachineTypeList {
    /// The machine types by name; empty until the list was read once.
    pub fn by_name(&self) -> &BTreeMap<String, MachineType> {
        &self.by_name
    }

    /// When the list is to be read next, unless a read is in flight.
    pub fn next_due(&self) -> Option<Duration> {
        (!self.list_in_flight).then_some(self.next_list_at)
    }

    /// Asks for the list, if it is time.
    pub fn tick(&mut self, now: Duration, effects: &mut EffectSink) {
        if now >= self.next_list_at && !self.list_in_flight {
            self.list_in_flight = true;
            effects.call_cloud(CallPurpose::MachineTypes, CloudRequest::ListMachineTypes);
        }
    }

    /// Handles a reply; true if it brought a list.
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
