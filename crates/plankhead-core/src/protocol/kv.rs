//! The state service, a consensus-backed key-value store: requests and replies.

use std::time::Duration;

/// Why a call to the state service or the cloud failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The request was refused and certainly not carried out.
    Refused,
    /// The request exceeded the rate limit and was certainly not carried out.
    RateLimited,
    /// The request may have been carried out, or may still be.
    OutcomeUnknown,
    /// The request exceeded the size limit in force and was certainly not carried out.
    TooLarge,
}

/// A request to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum KvRequest {
    /// Reads one key.
    Get {
        key: String,
    },
    /// Reads a page of the keys with a prefix: those that follow `after`, or the first ones.
    List {
        prefix: String,
        after: Option<String>,
    },
    /// Applies all changes if all conditions hold, otherwise none (compare-and-swap).
    Txn {
        conditions: Vec<Condition>,
        changes: Vec<KvChange>,
    },
    /// Requests a lease that expires when it has not been renewed for `ttl`.
    GrantLease {
        ttl: Duration,
    },
    RenewLease {
        lease: u64,
    },
    /// Ends a lease, which deletes the keys attached to it.
    RevokeLease {
        lease: u64,
    },
    /// Waits for up to `wait` for changes of keys with a prefix after the revision `after`.
    Watch {
        prefix: String,
        after: u64,
        wait: Duration,
    },
}

/// A condition of a transaction: the key's latest change was at this revision or, if the revision is 0, the
/// key does not exist.
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
        /// The lease to which the key is attached: the key is deleted when the lease ends.
        lease: Option<u64>,
    },
    /// Deletes a key.
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

/// A reply of the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum KvReply {
    /// Answers [`KvRequest::Get`] with the key, if it exists.
    Value(Option<KeyValue>),
    /// Answers [`KvRequest::List`] with some of the keys.
    Page {
        rows: Vec<KeyValue>,
        /// Whether more keys follow these.
        truncated: bool,
        /// The store's revision at which the page was read.
        revision: u64,
    },
    /// Answers a transaction that was applied at this revision.
    Committed { revision: u64 },
    /// Answers a transaction that was not applied because the conditions on these keys did not hold.
    Conflict { failed: Vec<String> },
    /// Answers a write or a renewal that names a lease which has ended.
    NoSuchLease,
    /// Answers [`KvRequest::GrantLease`] with the new lease.
    LeaseGranted { lease: u64 },
    /// Answers [`KvRequest::RenewLease`] and [`KvRequest::RevokeLease`].
    LeaseRenewed,
    /// Answers [`KvRequest::Watch`] with the changes up to `revision`, or with none after a time-out.
    Events { revision: u64, events: Vec<WatchEvent> },
    /// Answers a watch whose starting revision is no longer in the store's history: the keys must be listed
    /// again.
    Compacted,
}

/// A change that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key was written and has this value.
    Put(KeyValue),
    /// The key was deleted at this revision.
    Delete { key: String, revision: u64 },
}
