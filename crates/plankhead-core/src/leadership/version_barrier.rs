//! The version barrier: whether every node has this version. Each node writes a small key
//! once, which older versions never read: values that they can't read may be stored only
//! when the keys of all nodes in the settings are there. A node that has shown its version
//! comes back with it, so that the barrier, once open, stays open, whichever node is cut off
//! or starts again.

use crate::calls::{CallPurpose, VersionBarrierCall};
use crate::effects::EffectSink;
use crate::protocol::{CallError, Condition, KeyValue, KvChange, KvReply, KvRequest, LogLevel};
use crate::settings::Settings;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// What this version can read: 1 adds gangs, and rechunked jobs.
const FORMAT: u32 = 1;
const PREFIX: &str = "node/";
/// Time between two calls, also after one that failed.
const CALL_INTERVAL: Duration = Duration::from_secs(1);

/// The value of a `node/<host>` key.
#[derive(Debug, Serialize, Deserialize)]
struct NodeVersion {
    format: u32,
}

/// What this node is to do next until the barrier is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// It writes its own key.
    WritingVersion,
    /// It lists the keys of all nodes.
    ListingVersions,
    Open,
}

/// The version barrier as one node sees it.
#[derive(Debug)]
pub struct VersionBarrier {
    host: String,
    /// All nodes in the settings, this one included.
    nodes: BTreeSet<String>,
    stage: Stage,
    call_in_flight: bool,
    next_call_at: Duration,
}

impl VersionBarrier {
    /// A closed barrier for the nodes that the settings name.
    pub fn new(settings: &Settings) -> Self {
        Self {
            host: settings.host.clone(),
            nodes: settings.peers.iter().chain([&settings.host]).cloned().collect(),
            stage: Stage::WritingVersion,
            call_in_flight: false,
            next_call_at: Duration::ZERO,
        }
    }

    /// Whether every node has this version.
    pub fn is_open(&self) -> bool {
        self.stage == Stage::Open
    }

    /// When [`VersionBarrier::tick`] has something to do next, unless a reply comes before.
    pub fn next_due(&self) -> Option<Duration> {
        (!self.is_open() && !self.call_in_flight).then_some(self.next_call_at)
    }

    /// Makes the next call, if one is due.
    pub fn tick(&mut self, now: Duration, effects: &mut EffectSink) {
        if self.is_open() || self.call_in_flight || now < self.next_call_at {
            return;
        }
        self.call_in_flight = true;
        self.next_call_at = now + CALL_INTERVAL;
        let key = format!("{PREFIX}{}", self.host);
        let value = serde_json::to_string(&NodeVersion { format: FORMAT });
        let (call, request) = match (self.stage, value) {
            (Stage::WritingVersion, Ok(value)) => {
                let conditions = vec![Condition { key: key.clone(), mod_revision: 0 }];
                let changes = vec![KvChange::Put { key, value, lease: None }];
                (VersionBarrierCall::WriteVersion, KvRequest::Txn { conditions, changes })
            }
            _ => (VersionBarrierCall::ListVersions, KvRequest::List { prefix: PREFIX.into(), after: None }),
        };
        effects.call_kv(CallPurpose::VersionBarrier(call), request);
    }

    /// Handles a reply; true if it has opened the barrier.
    pub fn reply(
        &mut self,
        call: VersionBarrierCall,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) -> bool {
        self.call_in_flight = false;
        match (call, reply) {
            // A conflict: an earlier start of this node has written it.
            (VersionBarrierCall::WriteVersion, Ok(KvReply::Committed { .. } | KvReply::Conflict { .. })) => {
                if self.stage == Stage::WritingVersion {
                    self.stage = Stage::ListingVersions;
                }
                self.next_call_at = Duration::ZERO;
                false
            }
            (VersionBarrierCall::ListVersions, Ok(KvReply::Page { rows, .. })) => {
                let upgraded: BTreeSet<String> = rows.iter().filter_map(upgraded_node).collect();
                self.nodes.is_subset(&upgraded) && self.open(effects)
            }
            _ => false,
        }
    }

    /// Opens the barrier; false if it was open. Without all keys, this is right where the
    /// state service has lowered its limits, which it does after the upgrade only.
    pub fn open(&mut self, effects: &mut EffectSink) -> bool {
        if self.is_open() {
            return false;
        }
        self.stage = Stage::Open;
        effects.log(LogLevel::Info, "version barrier opened: reason=all_nodes_upgraded".into());
        true
    }
}

/// The node whose key this is, if it reads all that this one writes.
fn upgraded_node(row: &KeyValue) -> Option<String> {
    let version: NodeVersion = serde_json::from_str(&row.value).ok()?;
    let host = row.key.strip_prefix(PREFIX)?;
    (version.format >= FORMAT).then(|| host.to_string())
}
