//! The target sizes of the fleet, and their storage in the state service.

use super::{Leader, TermStatus};
use crate::calls::LeaderCall;
use crate::effects::EffectSink;
use crate::protocol::{CallError, KvChange, KvReply, KvRequest, LogLevel};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The key of the stored target.
const TARGET_KEY: &str = "target";

/// The decision of a sizing round, as stored in the state service.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Target {
    /// The number of the round.
    pub round: u64,
    /// When the round ended, in milliseconds since the Unix epoch by the wall clock.
    pub at_ms: u64,
    /// The size for each machine type.
    #[serde(rename = "rigs")]
    pub sizes: BTreeMap<String, Size>,
}

/// The target size for one machine type.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Size {
    /// The total number of machines of the type.
    pub machines: u32,
    /// The number of them that must be ordinary, that is, not spot.
    pub ordinary: u32,
}

/// The current target, and whether it still has to be written.
#[derive(Debug, Default)]
pub(super) struct TargetState {
    current: Target,
    /// Whether the target has changed since it was last written.
    dirty: bool,
    write_in_flight: bool,
    /// The zone to rent machines in first: the one where the most tasks of a waiting gang fit.
    pub(super) preferred_zone: Option<String>,
}

impl TargetState {
    /// Returns the current target.
    pub(super) fn current(&self) -> &Target {
        &self.current
    }

    /// Adopts the stored target of an earlier leader.
    pub(super) fn loaded(&mut self, target: Target) {
        self.current = target;
    }

    /// Replaces the target, which then has to be written.
    pub(super) fn set(&mut self, target: Target) {
        self.current = target;
        self.dirty = true;
    }

    /// Sets the total number of machines of a type, and the number of ordinary ones among them, where
    /// given. The caller makes sure that neither decreases.
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

    /// Returns whether the target still has to be written.
    pub(super) fn is_dirty(&self) -> bool {
        self.dirty
    }

    /// Returns whether the target has to be written and no write of it is in flight.
    pub(super) fn may_write(&self) -> bool {
        self.dirty && !self.write_in_flight
    }
}

impl Leader {
    /// Requests the stored target, which is the last item that a new leader loads.
    pub(super) fn read_target(&self, effects: &mut EffectSink) {
        self.call_kv(LeaderCall::ReadTarget, KvRequest::Get { key: TARGET_KEY.into() }, effects);
    }

    /// Writes the target if the write budget allows it. If the target exceeds the maximum size of values, an
    /// error is logged, and nothing is written until the target changes again.
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

    /// Handles the reply to a write of the target.
    pub(super) fn target_written(&mut self, reply: Result<KvReply, CallError>) -> TermStatus {
        self.target.write_in_flight = false;
        match reply {
            Ok(KvReply::Committed { .. }) => {}
            Ok(KvReply::Conflict { .. }) => return TermStatus::Over,
            _ => self.target.dirty = true,
        }
        TermStatus::Continues
    }
}
