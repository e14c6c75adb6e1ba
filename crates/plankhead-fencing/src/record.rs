//! How duties are stored: a page holds several, under the key `duty/<token>/<page>`.
//!
//! What can't be read is reported and left alone: it may be of a later version.

use crate::action::{Action, Rental, Return, ReturnReason, MAX_RENTAL_COUNT, MAX_RETURN_HOSTS};
use crate::duty::{IdempotencyKey, Intent};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::sync::Arc;
use thiserror::Error;

/// All records begin with this.
pub const PREFIX: &str = "duty/";
/// The format that is written and read here.
const FORMAT: u32 = 1;
/// Bytes of a name that are believed to be one.
const MAX_NAME_BYTES: usize = 200;
/// Bytes of a page beside its duties: `{"format":1,"duties":[]}` and some room.
pub const PAGE_OVERHEAD: usize = 40;

/// Where a page is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PageId {
    /// The fencing token of the holder who wrote it.
    pub holder: u64,
    pub number: u32,
}

impl PageId {
    pub fn key(&self) -> String {
        format!("{PREFIX}{}/{}", self.holder, self.number)
    }

    /// Reads a key; only what [`PageId::key`] writes is one.
    pub fn parse(key: &str) -> Option<Self> {
        let (holder, number) = key.strip_prefix(PREFIX)?.split_once('/')?;
        let id = Self { holder: holder.parse().ok()?, number: number.parse().ok()? };
        (id.key() == key).then_some(id)
    }
}

/// What is wrong with a record.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RecordError {
    #[error("{key} is no key of duties")]
    Key { key: String },
    #[error("{key} is of a later holder than this one")]
    LaterHolder { key: String },
    #[error("{key} can't be read: {why}")]
    Page { key: String, why: String },
    #[error("{key} has format {format}")]
    Format { key: String, format: u32 },
    #[error("duty {number} of {key} can't be read: {why}")]
    Intent { key: String, number: usize, why: String },
    #[error("duty {duty} of {key} is not what its digest says")]
    ActionDigest { key: String, duty: IdempotencyKey },
    #[error("duty {duty} of {key} stands elsewhere with another action")]
    Reused { key: String, duty: IdempotencyKey },
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
    fn of(duty: &Intent) -> Self {
        let action = match duty.action.clone() {
            Action::Rent(Rental { name, machine_type, zone, spot, count }) => {
                StoredAction::Rent { name, machine_type, zone, spot, count }
            }
            Action::Return(back) => {
                let hosts = back.hosts.iter().map(|host| host.to_string()).collect();
                match back.cause {
                    ReturnReason::Surplus => StoredAction::Return { hosts },
                    ReturnReason::Reclaim => StoredAction::Reclaim { hosts },
                }
            }
        };
        let (key, digest) = (duty.key.to_string(), duty.digest.to_string());
        Self { key, intended_ms: duty.intended_ms, digest, action }
    }
}

impl StoredAction {
    fn action(self) -> Result<Action, &'static str> {
        let back = |hosts: Vec<String>, cause| {
            if hosts.is_empty() || hosts.len() > MAX_RETURN_HOSTS {
                return Err("a return of no machines or of too many");
            }
            if !hosts.iter().all(|host| is_name(host)) {
                return Err("no name of a machine");
            }
            let hosts = hosts.into_iter().map(Arc::from).collect();
            Ok(Action::Return(Return { hosts, cause }))
        };
        match self {
            StoredAction::Return { hosts } => back(hosts, ReturnReason::Surplus),
            StoredAction::Reclaim { hosts } => back(hosts, ReturnReason::Reclaim),
            StoredAction::Rent { name, machine_type, zone, spot, count } => {
                if count == 0 || count > MAX_RENTAL_COUNT {
                    return Err("a rental of no machines or of too many");
                }
                if ![&name, &machine_type, &zone].into_iter().all(|text| is_name(text)) {
                    return Err("no name");
                }
                Ok(Action::Rent(Rental { name, machine_type, zone, spot, count }))
            }
        }
    }
}

fn is_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_NAME_BYTES
}

/// Bytes that a duty takes in a page, with the comma after it.
pub fn stored_bytes(duty: &Intent) -> usize {
    serde_json::to_string(&StoredIntent::of(duty)).map_or(usize::MAX, |text| text.len() + 1)
}

/// A page as it is stored.
pub fn encode<'a>(duties: impl Iterator<Item = &'a Intent>) -> String {
    let page = StoredPage { format: FORMAT, duties: duties.map(StoredIntent::of).collect() };
    // Texts and numbers under fixed names can always be written.
    serde_json::to_string(&page).unwrap_or_default()
}

/// The duties of a page, as adopted ones, and what can't be read of it.
pub fn decode(key: &str, value: &str) -> (Vec<Intent>, Vec<RecordError>) {
    let Some(id) = PageId::parse(key) else {
        return (Vec::new(), vec![RecordError::Key { key: key.into() }]);
    };
    let page = match serde_json::from_str::<StoredPageEnvelope>(value) {
        Ok(page) => page,
        Err(error) => {
            return (Vec::new(), vec![RecordError::Page { key: key.into(), why: error.to_string() }])
        }
    };
    if page.format != FORMAT {
        return (Vec::new(), vec![RecordError::Format { key: key.into(), format: page.format }]);
    }
    let (mut duties, mut faults) = (Vec::new(), Vec::new());
    for (number, value) in page.duties.into_iter().enumerate() {
        match decode_duty(id.holder, key, number, value) {
            Ok(duty) => duties.push(duty),
            Err(fault) => faults.push(fault),
        }
    }
    (duties, faults)
}

fn decode_duty(holder: u64, key: &str, number: usize, value: Value) -> Result<Intent, RecordError> {
    let fault = |why: String| RecordError::Intent { key: key.into(), number, why };
    let stored: StoredIntent = serde_json::from_value(value).map_err(|error| fault(error.to_string()))?;
    if !is_name(&stored.key) {
        return Err(fault("no idempotency key".into()));
    }
    let duty_key = IdempotencyKey::new(&stored.key);
    let action = stored.action.action().map_err(|why| fault(why.into()))?;
    let duty = Intent::adopted(duty_key.clone(), holder, action, stored.intended_ms);
    if duty.digest.to_string() != stored.digest {
        return Err(RecordError::ActionDigest { key: key.into(), duty: duty_key });
    }
    Ok(duty)
}
