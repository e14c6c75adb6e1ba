//! The state service, a consensus-backed key-value store: requests and replies.

use std::time::Duration;

/// Why a call to the state service or the cloud brought no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// Certainly not carried out.
    Refused,
    /// Certainly not carried out: too many requests at the moment.
    RateLimited,
    /// May have been carried out, or may be later.
    OutcomeUnknown,
    /// Certainly not carried out: larger than is allowed by now.
    TooLarge,
}

/// A request to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum KvRequest {
    /// Reads one key.
    Get {
        key: String,
    },
    /// Reads a page of the keys with a prefix, those after the given one.
    List {
        prefix: String,
        after: Option<String>,
    },
    /// Carries out all changes if all conditions hold, else none (compare-and-swap).
    Txn {
        conditions: Vec<Condition>,
        changes: Vec<KvChange>,
    },
    /// Asks for a lease that expires this long after its latest renewal.
    GrantLease {
        ttl: Duration,
    },
    RenewLease {
        lease: u64,
    },
    /// Ends a lease, with the keys written under it.
    RevokeLease {
        lease: u64,
    },
    /// Waits up to this time for changes of keys with a prefix after a revision.
    Watch {
        prefix: String,
        after: u64,
        wait: Duration,
    },
}

/// A condition of a transaction: the key's latest change was at this revision; 0: the key
/// does not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    pub key: String,
    pub mod_revision: u64,
}

/// A change in a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KvChange {
    /// Writes a key.
    Put {
        key: String,
        /// JSON text.
        value: String,
        /// The lease with whose end the key goes.
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete { key: String },
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    pub key: String,
    /// JSON text.
    pub value: String,
    /// The revision of the key's latest change.
    pub mod_revision: u64,
}

/// The state service's reply.
#[derive(Debug, Clone, PartialEq)]
pub enum KvReply {
    /// To a read: the key, if it exists.
    Value(Option<KeyValue>),
    /// To a list: some of the keys.
    Page {
        rows: Vec<KeyValue>,
        /// There are more keys after these.
        truncated: bool,
        /// The store's revision as of which this is the state.
        revision: u64,
    },
    /// To a transaction: carried out, at this revision.
    Committed { revision: u64 },
    /// To a transaction: not carried out, since the conditions on these keys did not hold.
    Conflict { failed: Vec<String> },
    /// The lease that a write or a renewal names is over.
    NoSuchLease,
    /// To a grant: the new lease.
    LeaseGranted { lease: u64 },
    /// To a renewal.
    LeaseRenewed,
    /// To a watch: the changes up to a revision, none if its time ran out.
    Events { revision: u64, events: Vec<WatchEvent> },
    /// To a watch: the history that it asks for is gone, so that the keys must be listed anew.
    Compacted,
}

/// A change that a watch saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key was written, and is this now.
    Put(KeyValue),
    /// The key was removed, at this revision.
    Delete { key: String, revision: u64 },
}
