//! Whether every node has this version. Each writes a small key once, which older
//! versions never look at: what they can't read may be stored only when the keys of
//! all nodes in the settings are there. A node that has shown its version once comes
//! back with it, so that the barrier, once open, stays open, whoever is cut off or
//! starts again.

use crate::calls::{CallPurpose, VersionBarrierCall};
use crate::effects::EffectSink;
use crate::protocol::{CallError, Condition, KeyValue, KvChange, KvReply, KvRequest, LogLevel};
use crate::settings::Settings;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// What this version can read: 1 adds gangs, and chunks laid anew.
const FORMAT: u32 = 1;
const PREFIX: &str = "node/";
/// Time between looks, and after a failure.
const PAUSE: Duration = Duration::from_secs(1);

/// The value of a `node/<host>` key.
#[derive(Debug, Serialize, Deserialize)]
struct Shown {
    format: u32,
}

#[derive(Debug)]
pub struct VersionBarrier {
    host: String,
    nodes: BTreeSet<String>,
    version_written: bool,
    is_open: bool,
    call_in_flight: bool,
    next_call_at: Duration,
}

impl VersionBarrier {
    pub fn new(settings: &Settings) -> Self {
        let all = settings.peers.iter().chain([&settings.host]).cloned().collect();
        let host = settings.host.clone();
        Self {
            host,
            nodes: all,
            version_written: false,
            is_open: false,
            call_in_flight: false,
            next_call_at: Duration::ZERO,
        }
    }

    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// When [`VersionBarrier::tick`] has something to do next, unless a reply comes before.
    pub fn next_due(&self) -> Option<Duration> {
        (!self.is_open && !self.call_in_flight).then_some(self.next_call_at)
    }

    pub fn tick(&mut self, now: Duration, effects: &mut EffectSink) {
        if self.is_open || self.call_in_flight || now < self.next_call_at {
            return;
        }
        self.call_in_flight = true;
        self.next_call_at = now + PAUSE;
        let key = format!("{PREFIX}{}", self.host);
        let (step, op) = match (self.version_written, serde_json::to_string(&Shown { format: FORMAT })) {
            (false, Ok(value)) => {
                let conditions = vec![Condition { key: key.clone(), mod_revision: 0 }];
                let changes = vec![KvChange::Put { key, value, lease: None }];
                (VersionBarrierCall::WriteVersion, KvRequest::Txn { conditions, changes })
            }
            _ => (VersionBarrierCall::ListVersions, KvRequest::List { prefix: PREFIX.into(), after: None }),
        };
        effects.call_kv(CallPurpose::VersionBarrier(step), op);
    }

    /// Handles a reply; true if the barrier has opened by it.
    pub fn reply(
        &mut self,
        step: VersionBarrierCall,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) -> bool {
        self.call_in_flight = false;
        match (step, reply) {
            // A conflict: an earlier life of this node has written it.
            (VersionBarrierCall::WriteVersion, Ok(KvReply::Committed { .. } | KvReply::Conflict { .. })) => {
                self.version_written = true;
                self.next_call_at = Duration::ZERO;
                false
            }
            (VersionBarrierCall::ListVersions, Ok(KvReply::Page { rows, .. })) => {
                let shown: BTreeSet<String> = rows.iter().filter_map(shown).collect();
                self.nodes.is_subset(&shown) && self.open(effects)
            }
            _ => false,
        }
    }

    /// The state service has lowered its limits, which it does after the upgrade only.
    pub fn open(&mut self, effects: &mut EffectSink) -> bool {
        if !std::mem::replace(&mut self.is_open, true) {
            effects.log(
                LogLevel::Info,
                "every node has this version: takes gangs, keeps to the later limits".into(),
            );
            return true;
        }
        false
    }
}

/// The node that the row stands for, if it reads all that this one writes.
fn shown(row: &KeyValue) -> Option<String> {
    let shown: Shown = serde_json::from_str(&row.value).ok()?;
    let host = row.key.strip_prefix(PREFIX)?;
    (shown.format >= FORMAT).then(|| host.to_string())
}
