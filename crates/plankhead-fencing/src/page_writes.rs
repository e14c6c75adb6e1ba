//! Writes of pages of intents to the state service, and their outcomes.

use crate::record::PageId;

/// The limits of the state service.
#[derive(Debug, Clone, Copy)]
pub struct StoreLimits {
    /// The maximum size of a value, in bytes.
    pub value_bytes: usize,
    /// The maximum number of changes in a transaction.
    pub changes: usize,
    /// The maximum size of a transaction, in bytes.
    pub transaction_bytes: usize,
}

/// A write of one page, conditional on the revision of the page's key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IntentPageWrite {
    /// The page to write.
    pub page: PageId,
    /// The revision that the page's key must have, or 0 if the key must not exist.
    pub expected: u64,
    /// The new value, or `None` to delete the page.
    pub value: Option<String>,
}

/// The outcome of a write of pages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All pages were written.
    Committed {
        /// The revision of the transaction.
        revision: u64,
    },
    /// A page had another revision, and nothing was changed.
    Conflict,
    /// The write was not carried out because of the state service's rate limit. It may be retried
    /// soon.
    Busy,
    /// The state service refused the write, which was not carried out.
    Refused,
    /// There was no definite reply. The write may have been carried out, or may still be.
    Unknown,
}
