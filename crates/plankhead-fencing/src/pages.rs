//! The pages of intents as the log knows them, and the selection of the pages to write.

use crate::intent::IdempotencyKey;
use crate::page_writes::{IntentPageWrite, StoreLimits};
use crate::record::{PageId, PAGE_OVERHEAD};
use std::collections::{BTreeMap, BTreeSet};

/// The state of one page.
#[derive(Debug, Clone, Default)]
pub(crate) struct PageState {
    /// The revision of the page's key, or 0 if the page is not stored.
    pub revision: u64,
    /// The open intents of the page.
    pub open: BTreeSet<IdempotencyKey>,
    /// The intents that the stored value is known to hold.
    pub stored: BTreeSet<IdempotencyKey>,
    /// The size of the records of [`open`](Self::open), in bytes. It is not kept for pages of former
    /// leaders, which are never rewritten.
    pub bytes: usize,
    /// Whether a write of the page had an unknown outcome or conflicted, so that the page's revision
    /// must be read before the next write.
    pub uncertain: bool,
    /// Whether a former leader wrote the page. Such a page is never rewritten. It is deleted once all of
    /// its intents have ended.
    pub from_former_leader: bool,
    /// Whether a part of the page could not be loaded. A later version may have written it, so the
    /// page is never deleted.
    pub unreadable: bool,
}

impl PageState {
    /// Returns whether the stored value holds ended intents and may be rewritten or deleted.
    fn needs_compaction(&self) -> bool {
        let ended = if self.open.is_empty() { self.revision > 0 } else { !self.stored.is_subset(&self.open) };
        ended && !self.unreadable && (!self.from_former_leader || self.open.is_empty())
    }

    /// Returns whether the stored value lacks an open intent.
    fn has_unrecorded(&self) -> bool {
        !self.from_former_leader && !self.open.is_subset(&self.stored)
    }
}

/// A page of the write in flight, with the intents that its new value holds.
#[derive(Debug)]
struct PendingPage {
    id: PageId,
    intents: BTreeSet<IdempotencyKey>,
}

/// The pages that a write may include.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WriteScope {
    /// The maximum number of pages in one transaction.
    pub max_pages: usize,
    /// Whether pages that only need compaction are included.
    pub compact: bool,
}

/// All pages, and the write in flight.
#[derive(Debug)]
pub(crate) struct PageTable {
    token: u64,
    limits: StoreLimits,
    pages: BTreeMap<PageId, PageState>,
    in_flight: Option<Vec<PendingPage>>,
}

impl PageTable {
    pub fn new(token: u64, limits: StoreLimits) -> Self {
        Self { token, limits, pages: BTreeMap::new(), in_flight: None }
    }

    /// Assigns a new intent to a page of this leader that has room for it, and returns the page.
    pub fn assign(&mut self, key: IdempotencyKey, bytes: usize) -> PageId {
        let id = self.page_with_room(bytes);
        let page = self.pages.entry(id).or_default();
        page.bytes += bytes;
        page.open.insert(key);
        id
    }

    fn page_with_room(&self, bytes: usize) -> PageId {
        let is_own = |(id, page): &(&PageId, &PageState)| id.token == self.token && !page.from_former_leader;
        let has_room = |page: &PageState| PAGE_OVERHEAD + page.bytes + bytes <= self.limits.value_bytes;
        let found = self.pages.iter().filter(is_own).find(|(_, page)| has_room(page)).map(|(id, _)| *id);
        let next = self.pages.iter().filter(is_own).map(|(id, _)| id.number + 1).max();
        found.unwrap_or(PageId { token: self.token, number: next.unwrap_or(0) })
    }

    /// Removes an ended intent from the open intents of its page.
    pub fn remove_intent(&mut self, id: PageId, key: &IdempotencyKey, bytes: usize) {
        if let Some(page) = self.pages.get_mut(&id) {
            page.open.remove(key);
            page.bytes = page.bytes.saturating_sub(bytes);
        }
    }

    pub fn contains(&self, id: PageId) -> bool {
        self.pages.contains_key(&id)
    }

    pub fn insert(&mut self, id: PageId, page: PageState) {
        self.pages.insert(id, page);
    }

    pub fn discard_former_pages(&mut self) {
        self.pages.retain(|_, page| !page.from_former_leader);
    }

    pub fn len(&self) -> usize {
        self.pages.len()
    }

    pub fn unreadable_count(&self) -> usize {
        self.pages.values().filter(|page| page.unreadable).count()
    }

    pub fn has_unrecorded(&self) -> bool {
        self.pages.values().any(PageState::has_unrecorded)
    }

    pub fn needs_compaction(&self) -> bool {
        self.pages.values().any(PageState::needs_compaction)
    }

    pub fn is_writing(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns the pages to write now, at most as many as fit into one transaction. `encode` creates
    /// the value of a page from the keys of its intents. Returns `None` while a write is in flight or
    /// if there is nothing to write.
    pub fn begin_write(
        &mut self,
        scope: WriteScope,
        encode: impl Fn(&BTreeSet<IdempotencyKey>) -> String,
    ) -> Option<Vec<IntentPageWrite>> {
        if self.in_flight.is_some() {
            return None;
        }
        let max_pages = scope.max_pages.min(self.limits.changes);
        let mut remaining_bytes = self.limits.transaction_bytes;
        let (mut writes, mut pending) = (Vec::new(), Vec::new());
        for (id, page) in self.pages_to_write(scope.compact).into_iter().take(max_pages) {
            let bytes = page.bytes + PAGE_OVERHEAD;
            if bytes > remaining_bytes {
                break;
            }
            remaining_bytes -= bytes;
            let value = (!page.open.is_empty()).then(|| encode(&page.open));
            writes.push(IntentPageWrite { page: id, expected: page.revision, value });
            pending.push(PendingPage { id, intents: page.open.clone() });
        }
        if writes.is_empty() {
            return None;
        }
        self.in_flight = Some(pending);
        Some(writes)
    }

    /// Returns the pages that may be written: first those with unrecorded intents, then those that
    /// only need compaction.
    fn pages_to_write(&self, compact: bool) -> Vec<(PageId, &PageState)> {
        let is_due = |page: &PageState| {
            !page.uncertain && (page.has_unrecorded() || compact && page.needs_compaction())
        };
        let due = self.pages.iter().filter(|(_, page)| is_due(page));
        let mut pages: Vec<(PageId, &PageState)> = due.map(|(id, page)| (*id, page)).collect();
        pages.sort_by_key(|(id, page)| (!page.has_unrecorded(), *id));
        pages
    }

    /// Handles the commit of the write in flight. Returns the intents that it has stored.
    pub fn write_committed(&mut self, revision: u64) -> Vec<IdempotencyKey> {
        let mut recorded = Vec::new();
        for PendingPage { id, intents } in self.in_flight.take().unwrap_or_default() {
            let Some(page) = self.pages.get_mut(&id) else { continue };
            if intents.is_empty() && page.open.is_empty() {
                self.pages.remove(&id);
                continue;
            }
            page.revision = if intents.is_empty() { 0 } else { revision };
            recorded.extend(intents.iter().cloned());
            page.stored = intents;
        }
        recorded
    }

    /// Handles the failure of the write in flight, which was certainly not carried out.
    pub fn write_failed(&mut self) {
        self.in_flight = None;
    }

    /// Handles an unknown outcome or a conflict of the write in flight. The revisions of its pages are
    /// not known any more and must be read before the pages are written again.
    pub fn write_uncertain(&mut self) {
        for PendingPage { id, .. } in self.in_flight.take().unwrap_or_default() {
            if let Some(page) = self.pages.get_mut(&id) {
                page.uncertain = true;
                page.stored.clear();
            }
        }
    }

    /// Returns the pages whose revisions must be read before they are written again.
    pub fn uncertain(&self) -> Vec<PageId> {
        self.pages.iter().filter(|(_, page)| page.uncertain).map(|(id, _)| *id).collect()
    }

    /// Sets the revision that was read for a page's key, or 0 if the key does not exist.
    pub fn revision_read(&mut self, id: PageId, revision: u64) {
        let Some(page) = self.pages.get_mut(&id) else { return };
        page.uncertain = false;
        page.revision = revision;
        if revision == 0 && page.open.is_empty() {
            self.pages.remove(&id);
        }
    }
}
