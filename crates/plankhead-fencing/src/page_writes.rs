//! Writes of pages to the state service: what the log asks for, and how it ended.

use crate::record::PageId;

/// The limits of the state service.
#[derive(Debug, Clone, Copy)]
pub struct StoreLimits {
    /// The size of a value, in bytes.
    pub value_bytes: usize,
    /// The number of changes of a transaction.
    pub changes: usize,
    /// The size of a transaction, in bytes.
    pub transaction_bytes: usize,
}

/// A change of one page, on the condition that its key has the expected revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IntentPageWrite {
    /// The page to change.
    pub page: PageId,
    /// The revision that the page's key must have; 0: it must not exist.
    pub expected: u64,
    /// The new value; `None`: the page is deleted.
    pub value: Option<String>,
}

/// How a write of pages ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All pages were written.
    Committed {
        /// The revision of the transaction.
        revision: u64,
    },
    /// A page had another revision: nothing was changed.
    Conflict,
    /// Certainly not carried out, and may be tried again soon.
    Busy,
    /// Certainly not carried out: the state service refuses this leader's writes.
    Refused,
    /// No answer: it may have been carried out, or may be later.
    Unknown,
}
