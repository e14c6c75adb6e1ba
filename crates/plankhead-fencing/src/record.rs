//! The stored form of intents. A page holds several of them, under the key `duty/<token>/<page>`.
//!
//! Pages and intents that cannot be decoded are reported and left unchanged, because a later version
//! may have written them.

use crate::action::{
    CloudAction, InstanceReturn, Rental, ReturnReason, MAX_RENTAL_COUNT, MAX_RETURN_MACHINES,
};
use crate::intent::{IdempotencyKey, Intent};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::sync::Arc;
use thiserror::Error;

/// The key prefix of all pages.
pub const PREFIX: &str = "duty/";
/// The format that this version writes and reads.
const FORMAT: u32 = 1;
/// The maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// The number of bytes reserved in a page for everything but its intents. The empty page
/// `{"format":1,"duties":[]}` has 24 bytes.
pub const PAGE_OVERHEAD: usize = 40;

/// The identity of a page, which determines its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PageId {
    /// The fencing token of the leader that wrote it.
    pub token: u64,
    /// The number of the page under that token, starting at 0.
    pub number: u32,
}

impl PageId {
    /// Returns the key of the page in the state service.
    pub fn key(&self) -> String {
        format!("{PREFIX}{}/{}", self.token, self.number)
    }

    /// Parses a key. Only keys in the exact form of [`PageId::key`] are accepted.
    pub fn parse(key: &str) -> Option<Self> {
        let (token, number) = key.strip_prefix(PREFIX)?.split_once('/')?;
        let id = Self { token: token.parse().ok()?, number: number.parse().ok()? };
        (id.key() == key).then_some(id)
    }
}

/// The reasons why a stored page, or an intent in it, cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The key is not that of a page.
    #[error("{key} is not the key of a page of intents")]
    Key {
        /// The key.
        key: String,
    },
    /// The page was written under a later fencing token than that of the reading leader.
    #[error("{key} was written under a later fencing token than this leader's")]
    LaterToken {
        /// The page's key.
        key: String,
    },
    /// The page is not valid JSON or does not have the expected form.
    #[error("{key} can't be read: {reason}")]
    Page {
        /// The page's key.
        key: String,
        /// The error of the JSON parser.
        reason: String,
    },
    /// The page has a format that this version does not know.
    #[error("{key} has format {format}")]
    Format {
        /// The page's key.
        key: String,
        /// The format found.
        format: u32,
    },
    /// One intent of the page is invalid.
    #[error("intent {number} of {key} can't be read: {reason}")]
    Intent {
        /// The page's key.
        key: String,
        /// The position of the intent in the page, starting at 0.
        number: usize,
        /// The reason why the intent is invalid.
        reason: String,
    },
    /// The stored digest does not match the stored action.
    #[error("intent {intent} of {key} does not match its digest")]
    DigestMismatch {
        /// The page's key.
        key: String,
        /// The intent's key.
        intent: IdempotencyKey,
    },
    /// An intent that was loaded before has the same idempotency key.
    #[error("intent {intent} of {key} has the idempotency key of another stored intent")]
    ReusedKey {
        /// The page's key.
        key: String,
        /// The intent's key.
        intent: IdempotencyKey,
    },
}

#[derive(Serialize)]
struct StoredPage {
    format: u32,
    duties: Vec<StoredIntent>,
}

#[derive(Deserialize)]
struct StoredPageEnvelope {
    format: u32,
    #[serde(default)]
    duties: Vec<Value>,
}

#[derive(Serialize, Deserialize)]
struct StoredIntent {
    key: String,
    intended_ms: u64,
    digest: String,
    #[serde(flatten)]
    action: StoredAction,
}

#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
enum StoredAction {
    Rent { name: String, machine_type: String, zone: String, spot: bool, count: u32 },
    Return { hosts: Vec<String> },
    Reclaim { hosts: Vec<String> },
}

impl StoredIntent {
    fn new(intent: &Intent) -> Self {
        let action = match intent.action.clone() {
            CloudAction::Rent(Rental { name, machine_type, zone, spot, count }) => {
                StoredAction::Rent { name, machine_type, zone, spot, count }
            }
            CloudAction::Return(instances) => {
                let hosts = instances.machines.iter().map(|machine| machine.to_string()).collect();
                match instances.reason {
                    ReturnReason::Surplus => StoredAction::Return { hosts },
                    ReturnReason::Reclaim => StoredAction::Reclaim { hosts },
                }
            }
        };
        let (key, digest) = (intent.key.to_string(), intent.digest.to_string());
        Self { key, intended_ms: intent.intended_ms, digest, action }
    }
}

impl StoredAction {
    fn into_cloud_action(self) -> Result<CloudAction, &'static str> {
        let instance_return = |hosts: Vec<String>, reason| {
            if hosts.is_empty() || hosts.len() > MAX_RETURN_MACHINES {
                return Err("the number of machines to return is out of range");
            }
            if !hosts.iter().all(|machine| is_valid_name(machine)) {
                return Err("a machine's name is empty or too long");
            }
            let hosts = hosts.into_iter().map(Arc::from).collect();
            Ok(CloudAction::Return(InstanceReturn { machines: hosts, reason }))
        };
        match self {
            StoredAction::Return { hosts } => instance_return(hosts, ReturnReason::Surplus),
            StoredAction::Reclaim { hosts } => instance_return(hosts, ReturnReason::Reclaim),
            StoredAction::Rent { name, machine_type, zone, spot, count } => {
                if count == 0 || count > MAX_RENTAL_COUNT {
                    return Err("the number of machines to rent is out of range");
                }
                if ![&name, &machine_type, &zone].into_iter().all(|text| is_valid_name(text)) {
                    return Err("a name is empty or too long");
                }
                Ok(CloudAction::Rent(Rental { name, machine_type, zone, spot, count }))
            }
        }
    }
}

fn is_valid_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_NAME_BYTES
}

/// Returns the number of bytes that an intent takes in a page, including the comma after it.
pub fn stored_bytes(intent: &Intent) -> usize {
    serde_json::to_string(&StoredIntent::new(intent)).map_or(usize::MAX, |text| text.len() + 1)
}

/// Encodes a page for the state service.
pub fn encode<'a>(intents: impl Iterator<Item = &'a Intent>) -> String {
    let page = StoredPage { format: FORMAT, duties: intents.map(StoredIntent::new).collect() };
    // Serialization cannot fail: the page consists of strings and numbers under fixed field names.
    serde_json::to_string(&page).unwrap_or_default()
}

/// Decodes a page. Returns its intents, in the state `Adopted`, and an error for each part that
/// cannot be decoded.
pub fn decode(key: &str, value: &str) -> (Vec<Intent>, Vec<RecordError>) {
    let Some(id) = PageId::parse(key) else {
        return (Vec::new(), vec![RecordError::Key { key: key.into() }]);
    };
    let page = match serde_json::from_str::<StoredPageEnvelope>(value) {
        Ok(page) => page,
        Err(error) => {
            return (Vec::new(), vec![RecordError::Page { key: key.into(), reason: error.to_string() }])
        }
    };
    if page.format != FORMAT {
        return (Vec::new(), vec![RecordError::Format { key: key.into(), format: page.format }]);
    }
    let (mut intents, mut errors) = (Vec::new(), Vec::new());
    for (number, value) in page.duties.into_iter().enumerate() {
        match decode_intent(id.token, key, number, value) {
            Ok(intent) => intents.push(intent),
            Err(error) => errors.push(error),
        }
    }
    (intents, errors)
}

fn decode_intent(token: u64, key: &str, number: usize, value: Value) -> Result<Intent, RecordError> {
    let invalid = |reason: String| RecordError::Intent { key: key.into(), number, reason };
    let stored: StoredIntent = serde_json::from_value(value).map_err(|error| invalid(error.to_string()))?;
    if !is_valid_name(&stored.key) {
        return Err(invalid("the idempotency key is empty or too long".into()));
    }
    let idempotency_key = IdempotencyKey::new(&stored.key);
    let action = stored.action.into_cloud_action().map_err(|reason| invalid(reason.into()))?;
    let intent = Intent::adopted(idempotency_key.clone(), token, action, stored.intended_ms);
    if intent.digest.to_string() != stored.digest {
        return Err(RecordError::DigestMismatch { key: key.into(), intent: idempotency_key });
    }
    Ok(intent)
}
