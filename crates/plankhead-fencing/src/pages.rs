//! One stored page of intents, as the log knows it.

use crate::intent::IdempotencyKey;
use std::collections::BTreeSet;

#[derive(Debug, Clone, Default)]
pub(crate) struct PageState {
    /// The revision of its key; 0: not stored.
    pub revision: u64,
    /// The intents that should stand in it.
    pub open: BTreeSet<IdempotencyKey>,
    /// The intents that may stand in it.
    pub stored: BTreeSet<IdempotencyKey>,
    /// What [`open`](Self::open) takes as a record.
    pub bytes: usize,
    /// A write of it got no answer: its revision is to be read.
    pub in_doubt: bool,
    /// A former holder wrote it: it is never written again, only dropped.
    pub inherited: bool,
    /// Some of it can't be read and may be of a later version: it is never dropped.
    pub unreadable: bool,
}

impl PageState {
    /// Whether it holds records of intents that are over.
    pub fn needs_compaction(&self) -> bool {
        let over = if self.open.is_empty() { self.revision > 0 } else { !self.stored.is_subset(&self.open) };
        over && !self.unreadable && (!self.inherited || self.open.is_empty())
    }

    /// Whether it lacks a intent.
    pub fn has_unrecorded(&self) -> bool {
        !self.inherited && !self.open.is_subset(&self.stored)
    }
}
