//! The fleet's target sizes: the stored value, and its way to the state service.

use super::Leader;
use crate::calls::LeaderCall;
use crate::effects::EffectSink;
use crate::protocol::{CallError, KvChange, KvReply, KvRequest, LogLevel};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The key of the stored target.
const TARGET_KEY: &str = "target";

/// What a sizing round decided, as the state service keeps it.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Target {
    /// The number of the round.
    pub round: u64,
    /// When it ended, in wall-clock milliseconds since 1970.
    pub at_ms: u64,
    /// The size for each machine type.
    #[serde(rename = "rigs")]
    pub sizes: BTreeMap<String, Size>,
}

/// How many machines of a type there should be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Size {
    /// Machines of the type.
    pub machines: u32,
    /// How many of them must not be spot.
    pub ordinary: u32,
}

/// The target in force, and what of it is still to be written.
#[derive(Debug, Default)]
pub(super) struct TargetState {
    current: Target,
    /// It has changed since it was last written.
    dirty: bool,
    write_in_flight: bool,
    /// Where a gang that waits for machines will have most of its room.
    pub(super) preferred_zone: Option<String>,
}

impl TargetState {
    /// The target in force.
    pub(super) fn current(&self) -> &Target {
        &self.current
    }

    /// Takes in the stored target of a former leader.
    pub(super) fn loaded(&mut self, target: Target) {
        self.current = target;
    }

    /// Replaces the target by a new decision.
    pub(super) fn set(&mut self, target: Target) {
        self.current = target;
        self.dirty = true;
    }

    /// Raises a type's size to so many machines, and to so many ordinary ones among them.
    pub(super) fn raise(&mut self, machine_type: &str, machines: Option<u32>, ordinary: Option<u32>) {
        let size = self.current.sizes.entry(machine_type.to_owned()).or_default();
        if let Some(machines) = machines {
            size.machines = machines;
            self.dirty = true;
        }
        if let Some(ordinary) = ordinary {
            size.ordinary = ordinary;
            self.dirty = true;
        }
    }

    /// Whether the target is still to be written.
    pub(super) fn is_dirty(&self) -> bool {
        self.dirty
    }

    /// Whether the target is to be written, and no write of it is under way.
    pub(super) fn may_write(&self) -> bool {
        self.dirty && !self.write_in_flight
    }
}

impl Leader {
    /// Asks for the stored target, the last that is loaded.
    pub(super) fn read_target(&self, effects: &mut EffectSink) {
        self.call_kv(LeaderCall::ReadTarget, KvRequest::Get { key: TARGET_KEY.into() }, effects);
    }

    /// Writes the target, if the budget allows.
    pub(super) fn write_target(&mut self, now: Duration, effects: &mut EffectSink) {
        let Ok(value) = serde_json::to_string(&self.target.current) else { return };
        if value.len() > self.settings.max_value_bytes {
            self.target.dirty = false;
            let text = format!("target not stored: bytes={} reason=too_large", value.len());
            return effects.log(LogLevel::Error, text);
        }
        if !self.persistence.take(now, 1) {
            return;
        }
        self.target.dirty = false;
        self.target.write_in_flight = true;
        let changes = vec![KvChange::Put { key: TARGET_KEY.into(), value, lease: None }];
        self.call_kv(
            LeaderCall::WriteTarget,
            KvRequest::Txn { conditions: vec![self.leader_condition()], changes },
            effects,
        );
    }

    /// Takes in the reply to a write of the target; false: another node leads.
    pub(super) fn target_written(&mut self, reply: Result<KvReply, CallError>) -> bool {
        self.target.write_in_flight = false;
        match reply {
            Ok(KvReply::Committed { .. }) => {}
            Ok(KvReply::Conflict { .. }) => return false,
            _ => self.target.dirty = true,
        }
        true
    }
}
