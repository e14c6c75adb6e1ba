//! Messages to and from the state service: keys, transactions, leases and watches.

use super::to_json;
use plankhead_core::protocol::{Condition, KeyValue, KvChange, WatchEvent};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::Value;
use std::time::Duration;

/// A key with its value and the revision of its last change.
#[derive(Debug, Deserialize)]
pub struct KeyValueMessage {
    #[serde(rename = "k")]
    key: String,
    value: Box<RawValue>,
    #[serde(rename = "stamp")]
    mod_revision: u64,
}

impl From<KeyValueMessage> for KeyValue {
    fn from(message: KeyValueMessage) -> Self {
        KeyValue { key: message.key, value: message.value.get().into(), mod_revision: message.mod_revision }
    }
}

/// A page of the keys under a prefix.
#[derive(Debug, Deserialize)]
pub struct KeyPage {
    /// The keys and values, in the order of the keys.
    pub rows: Vec<KeyValueMessage>,
    /// Whether further pages follow.
    pub truncated: bool,
    /// The revision of the store.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A response of which only the revision of the store is used.
#[derive(Debug, Deserialize)]
pub struct RevisionMessage {
    /// The revision of the store.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// The response to a transaction whose conditions were not met.
#[derive(Debug, Deserialize)]
pub struct ConflictMessage {
    /// The keys whose conditions were not met.
    pub failed: Vec<String>,
}

/// The response to the request for a lease.
#[derive(Debug, Deserialize)]
pub struct LeaseMessage {
    /// The id of the granted lease.
    #[serde(rename = "hold")]
    pub lease: u64,
}

/// The response to a watch.
#[derive(Debug, Deserialize)]
pub struct WatchMessage {
    /// The revision of the store.
    #[serde(rename = "epoch")]
    pub revision: u64,
    events: Vec<WatchEventMessage>,
}

#[derive(Debug, Deserialize)]
struct WatchEventMessage {
    #[serde(rename = "write")]
    put: Option<String>,
    #[serde(rename = "drop")]
    delete: Option<String>,
    value: Option<Box<RawValue>>,
    #[serde(rename = "stamp")]
    mod_revision: u64,
}

impl WatchEventMessage {
    fn into_event(self) -> Option<WatchEvent> {
        let mod_revision = self.mod_revision;
        match (self.put, self.delete, self.value) {
            (Some(key), None, Some(value)) => {
                Some(WatchEvent::Put(KeyValue { key, value: value.get().into(), mod_revision }))
            }
            (None, Some(key), _) => Some(WatchEvent::Delete { key, revision: mod_revision }),
            _ => None,
        }
    }
}

impl WatchMessage {
    /// Returns the events, or `None` if any of them is neither a put nor a delete.
    pub fn into_events(self) -> Option<Vec<WatchEvent>> {
        self.events.into_iter().map(WatchEventMessage::into_event).collect()
    }
}

#[derive(Debug, Serialize)]
struct TxnMessage<'a> {
    #[serde(rename = "if")]
    conditions: Vec<ConditionMessage<'a>>,
    #[serde(rename = "apply")]
    changes: Vec<ChangeMessage<'a>>,
}

#[derive(Debug, Serialize)]
struct ConditionMessage<'a> {
    #[serde(rename = "k")]
    key: &'a str,
    #[serde(rename = "stamp")]
    mod_revision: u64,
}

#[derive(Debug, Serialize)]
#[serde(untagged)]
enum ChangeMessage<'a> {
    Put {
        #[serde(rename = "write")]
        key: &'a str,
        value: &'a RawValue,
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: &'a str,
    },
}

impl<'a> ChangeMessage<'a> {
    fn new(change: &'a KvChange) -> Option<Self> {
        Some(match change {
            KvChange::Put { key, value, lease } => {
                Self::Put { key, value: serde_json::from_str(value).ok()?, lease: *lease }
            }
            KvChange::Delete { key } => Self::Delete { key },
        })
    }
}

/// Encodes a transaction. Returns `None` if a value is not JSON.
pub fn encode_txn(conditions: &[Condition], changes: &[KvChange]) -> Option<Vec<u8>> {
    let conditions = conditions
        .iter()
        .map(|condition| ConditionMessage { key: &condition.key, mod_revision: condition.mod_revision })
        .collect();
    let changes: Option<Vec<ChangeMessage>> = changes.iter().map(ChangeMessage::new).collect();
    Some(to_json(&TxnMessage { conditions, changes: changes? }))
}

/// Encodes the request for a lease with this time to live.
pub fn encode_lease_request(ttl: Duration) -> Vec<u8> {
    #[derive(Serialize)]
    struct LeaseRequest {
        #[serde(rename = "lifeMs")]
        ttl_ms: u128,
    }
    to_json(&LeaseRequest { ttl_ms: ttl.as_millis() })
}

/// Returns whether the body of an error response says that the lease in the request has expired.
pub fn is_no_such_lease(error: &Value) -> bool {
    error.get("error").and_then(Value::as_str) == Some("no such lease")
}
