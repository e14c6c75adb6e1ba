//! The version barrier, which opens once every node runs this version.
//!
//! Each node writes a small key once; older versions never read these keys. Values that older
//! versions can't read may be stored only after the keys of all nodes in the settings exist. A node
//! that has written its key restarts with the same version, so an open barrier stays open even if
//! nodes are disconnected or restart.

use crate::calls::{CallPurpose, VersionBarrierCall};
use crate::effects::EffectSink;
use crate::protocol::{CallError, Condition, KeyValue, KvChange, KvReply, KvRequest, LogLevel};
use crate::settings::Settings;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// The latest format of stored values that this version can read. Format 1 adds gangs and rechunked jobs.
const FORMAT: u32 = 1;
const PREFIX: &str = "node/";
/// The time between two calls, whether or not they succeed. Only the first list follows the write of this
/// node's key at once.
const CALL_INTERVAL: Duration = Duration::from_secs(1);

/// The value of a `node/<host>` key.
#[derive(Debug, Serialize, Deserialize)]
struct NodeVersion {
    /// The latest format that the node can read.
    format: u32,
}

/// The progress of this node towards an open barrier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The node writes its own key.
    WritingVersion,
    /// The node lists the keys of all nodes until none is missing.
    ListingVersions,
    /// The barrier is open.
    Open,
}

/// The version barrier as seen by one node.
#[derive(Debug)]
pub struct VersionBarrier {
    host: String,
    /// All nodes in the settings, including this one.
    nodes: BTreeSet<String>,
    stage: Stage,
    call_in_flight: bool,
    next_call_at: Duration,
}

impl VersionBarrier {
    /// Creates a closed barrier for the nodes in the settings.
    pub fn new(settings: &Settings) -> Self {
        Self {
            host: settings.host.clone(),
            nodes: settings.peers.iter().chain([&settings.host]).cloned().collect(),
            stage: Stage::WritingVersion,
            call_in_flight: false,
            next_call_at: Duration::ZERO,
        }
    }

    /// Whether every node runs this version.
    pub fn is_open(&self) -> bool {
        self.stage == Stage::Open
    }

    /// Returns when [`VersionBarrier::tick`] must be called next, if no reply arrives before.
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

    /// Handles a reply and returns whether it opened the barrier.
    pub fn handle_reply(
        &mut self,
        call: VersionBarrierCall,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) -> bool {
        self.call_in_flight = false;
        match (call, reply) {
            // On a conflict, an earlier start of this node has already written the key.
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

    /// Opens the barrier and returns whether it was closed before. The caller may do so before all keys
    /// have been seen if the state service has lowered its limits, which happens only after every node
    /// is upgraded.
    pub fn open(&mut self, effects: &mut EffectSink) -> bool {
        if self.is_open() {
            return false;
        }
        self.stage = Stage::Open;
        effects.log(LogLevel::Info, "version barrier opened: reason=all_nodes_upgraded".into());
        true
    }
}

/// Returns the node that wrote the key, if it can read everything that this node writes.
fn upgraded_node(row: &KeyValue) -> Option<String> {
    let version: NodeVersion = serde_json::from_str(&row.value).ok()?;
    let host = row.key.strip_prefix(PREFIX)?;
    (version.format >= FORMAT).then(|| host.to_string())
}
