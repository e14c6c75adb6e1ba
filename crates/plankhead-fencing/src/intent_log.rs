//! The intents of one lease holder, its own and those that it inherited, and when which
//! record of them is to be written. Everything about the state service is decided here
//! and carried out by the caller.

use crate::action::{ActionDigest, CloudAction, InstanceReturn, ReturnReason, MAX_RETURN_MACHINES};
use crate::gate::{Basis, IssueProof};
use crate::intent::{IdempotencyKey, Intent, IntentState, InvalidTransition};
use crate::pages::PageState;
use crate::record::{self, PageId, RecordError, PAGE_OVERHEAD};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use thiserror::Error;

/// Open intents at most: the cloud's rate allows a few a second.
pub const MAX_OPEN_INTENTS: usize = 1_000;
/// Keys of intents that are over which are remembered, to refuse their reuse.
const MAX_REMEMBERED: usize = 4_096;
/// Bytes of a return's record beside its machines.
const RETURN_OVERHEAD: usize = 200;
/// Bytes of a machine's name in a record, beside the name.
const HOST_OVERHEAD: usize = 3;

/// What the state service takes.
#[derive(Debug, Clone, Copy)]
pub struct StoreLimits {
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Changes of a transaction.
    pub changes: usize,
    /// Bytes of a transaction.
    pub transaction_bytes: usize,
}

/// Whether an intention was new.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IntentAdmission {
    New,
    /// The same action stands under this key already, or stood there.
    Repeat,
}

/// Why an intention is not taken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IntentError {
    #[error("the key {key} was used for another action")]
    KeyReused { key: IdempotencyKey },
    #[error("the record of {key} takes {bytes} bytes, more than a value holds")]
    TooLarge { key: IdempotencyKey, bytes: usize },
    #[error("{MAX_OPEN_INTENTS} intents are open")]
    TooMany,
}

/// Why a intent may not be issued.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IssueError {
    #[error("there is no open intent {0}")]
    Unknown(IdempotencyKey),
    #[error("the record of {0} is not durable")]
    NotDurable(IdempotencyKey),
    #[error(transparent)]
    State(#[from] InvalidTransition),
}

/// A change of one page, under the condition that its key has the expected revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IntentPageWrite {
    pub page: PageId,
    pub expected: u64,
    /// The new value; none: the page goes.
    pub value: Option<String>,
}

/// What came of a write of pages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    Committed {
        revision: u64,
    },
    /// A page had another revision: nothing was changed.
    Conflict,
    /// Certainly not carried out, and may be asked again soon.
    Busy,
    /// Certainly not carried out: the state service fails this holder.
    Refused,
    /// No answer: it may have been carried out, or may be later.
    Lost,
}

/// How many intents are in which state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IntentSummary {
    pub intended: usize,
    pub recorded: usize,
    pub adopted: usize,
    pub issued: usize,
    pub confirmed: u64,
    pub abandoned: u64,
    pub pages: usize,
    pub unreadable_pages: usize,
}

#[derive(Debug)]
struct TrackedIntent {
    intent: Intent,
    page: PageId,
    /// Why it may be issued; none: it may not yet.
    basis: Option<Basis>,
    /// An attempt to record it failed for good.
    unrecordable: bool,
}

/// The pages of a write under way, with what stands in each.
#[derive(Debug)]
struct Writing(Vec<(PageId, BTreeSet<IdempotencyKey>)>);

/// The intents of one lease holder.
#[derive(Debug)]
pub struct IntentLog {
    token: u64,
    limits: StoreLimits,
    sequence: u64,
    entries: BTreeMap<IdempotencyKey, TrackedIntent>,
    pages: BTreeMap<PageId, PageState>,
    writing: Option<Writing>,
    over: BTreeMap<IdempotencyKey, ActionDigest>,
    over_order: VecDeque<IdempotencyKey>,
    confirmed: u64,
    abandoned: u64,
}

impl IntentLog {
    pub fn new(token: u64, limits: StoreLimits) -> Self {
        Self {
            token,
            limits,
            sequence: 0,
            entries: BTreeMap::new(),
            pages: BTreeMap::new(),
            writing: None,
            over: BTreeMap::new(),
            over_order: VecDeque::new(),
            confirmed: 0,
            abandoned: 0,
        }
    }

    /// A key that no other intent has: tokens are unique, and so is the number.
    pub fn next_key(&mut self) -> IdempotencyKey {
        self.sequence += 1;
        IdempotencyKey::new(&format!("{}.{}", self.token, self.sequence))
    }

    /// The most of these machines whose return fits into one record.
    pub fn machines_per_return(&self, hosts: &[Arc<str>], reason: ReturnReason) -> InstanceReturn {
        let mut room = self.limits.value_bytes.saturating_sub(PAGE_OVERHEAD + RETURN_OVERHEAD);
        let fits = |host: &&Arc<str>| {
            let bytes = host.len() + HOST_OVERHEAD;
            let fits = bytes <= room;
            room = room.saturating_sub(bytes);
            fits
        };
        let hosts = hosts.iter().take(MAX_RETURN_MACHINES).take_while(fits).cloned().collect();
        InstanceReturn { machines: hosts, reason }
    }

    /// Takes in an intention. It may be issued once it is durable.
    pub fn intend(
        &mut self,
        key: IdempotencyKey,
        action: CloudAction,
        now_ms: u64,
    ) -> Result<IntentAdmission, IntentError> {
        let known = self.entries.get(&key).map(|entry| entry.intent.digest).or(self.over.get(&key).copied());
        if let Some(known) = known {
            let same = known == action.digest();
            return if same { Ok(IntentAdmission::Repeat) } else { Err(IntentError::KeyReused { key }) };
        }
        if self.entries.len() >= MAX_OPEN_INTENTS {
            return Err(IntentError::TooMany);
        }
        let intent = Intent::intended(key.clone(), self.token, action, now_ms);
        let bytes = record::stored_bytes(&intent);
        if bytes.saturating_add(PAGE_OVERHEAD) > self.limits.value_bytes {
            return Err(IntentError::TooLarge { key, bytes });
        }
        let id = self.page_with_room(bytes);
        let page = self.pages.entry(id).or_default();
        page.bytes += bytes;
        page.open.insert(key.clone());
        self.entries.insert(key, TrackedIntent { intent, page: id, basis: None, unrecordable: false });
        Ok(IntentAdmission::New)
    }

    fn page_with_room(&self, bytes: usize) -> PageId {
        let own = |(id, page): &(&PageId, &PageState)| id.token == self.token && !page.inherited;
        let room = |page: &PageState| PAGE_OVERHEAD + page.bytes + bytes <= self.limits.value_bytes;
        let found = self.pages.iter().filter(own).find(|(_, page)| room(page)).map(|(id, _)| *id);
        let last = self.pages.iter().filter(own).map(|(id, _)| id.number + 1).max();
        found.unwrap_or(PageId { token: self.token, number: last.unwrap_or(0) })
    }

    /// Forgets what was inherited, since it is read again.
    pub fn begin_reading(&mut self) {
        self.pages.retain(|_, page| !page.inherited);
        let (token, pages) = (self.token, &self.pages);
        self.entries.retain(|_, entry| entry.intent.token == token && pages.contains_key(&entry.page));
    }

    /// Takes in a stored page of a former holder; returns what can't be read of it.
    pub fn inherit(&mut self, key: &str, value: &str, revision: u64) -> Vec<RecordError> {
        let Some(id) = PageId::parse(key) else {
            return vec![RecordError::Key { key: key.into() }];
        };
        if id.token == self.token {
            // Written by this holder before it had read everything.
            return Vec::new();
        }
        if id.token > self.token {
            return vec![RecordError::LaterToken { key: key.into() }];
        }
        let (intents, mut faults) = record::decode(key, value);
        let mut page = PageState { revision, inherited: true, ..PageState::default() };
        for intent in intents {
            let known = self.entries.get(&intent.key).map(|entry| entry.intent.digest);
            if known.is_some() {
                faults.push(RecordError::ReusedKey { key: key.into(), intent: intent.key });
                continue;
            }
            page.open.insert(intent.key.clone());
            page.stored.insert(intent.key.clone());
            let basis = Some(Basis::Recorded { revision });
            self.entries
                .insert(intent.key.clone(), TrackedIntent { intent, page: id, basis, unrecordable: false });
        }
        page.unreadable = !faults.is_empty();
        self.pages.insert(id, page);
        faults
    }

    /// The intents that a former holder left open.
    pub fn adopted(&self) -> impl Iterator<Item = &Intent> {
        self.entries.values().map(|entry| &entry.intent).filter(|intent| intent.token != self.token)
    }

    pub fn open_intents(&self) -> impl Iterator<Item = &Intent> {
        self.entries.values().map(|entry| &entry.intent)
    }

    pub fn intent(&self, key: &IdempotencyKey) -> Option<&Intent> {
        self.entries.get(key).map(|entry| &entry.intent)
    }

    /// Whether a intent waits for its record.
    pub fn has_unrecorded(&self) -> bool {
        self.pages.values().any(PageState::has_unrecorded)
    }

    /// Whether records of intents that are over could go.
    pub fn needs_compaction(&self) -> bool {
        self.pages.values().any(PageState::needs_compaction)
    }

    pub fn is_writing(&self) -> bool {
        self.writing.is_some()
    }

    /// The changes that make the log durable, as many as fit into `most` changes of one
    /// transaction; `tidy`: also those that only remove what is over. None while a write
    /// is under way.
    pub fn begin_write(&mut self, most: usize, tidy: bool) -> Option<Vec<IntentPageWrite>> {
        if self.writing.is_some() {
            return None;
        }
        let most = most.min(self.limits.changes);
        let mut room = self.limits.transaction_bytes;
        let (mut changes, mut writing) = (Vec::new(), Vec::new());
        let due =
            |page: &&PageState| !page.in_doubt && (page.has_unrecorded() || tidy && page.needs_compaction());
        // What lacks a record comes before what is only to be tidied up.
        let mut pages: Vec<(&PageId, &PageState)> = self.pages.iter().filter(|(_, page)| due(page)).collect();
        pages.sort_by_key(|(id, page)| (!page.has_unrecorded(), **id));
        for (id, page) in pages.into_iter().take(most) {
            if page.bytes + PAGE_OVERHEAD > room {
                break;
            }
            room -= page.bytes + PAGE_OVERHEAD;
            let intents = page.open.iter().filter_map(|key| self.entries.get(key)).map(|entry| &entry.intent);
            let value = (!page.open.is_empty()).then(|| record::encode(intents));
            changes.push(IntentPageWrite { page: *id, expected: page.revision, value });
            writing.push((*id, page.open.clone()));
        }
        if changes.is_empty() {
            return None;
        }
        self.writing = Some(Writing(writing));
        Some(changes)
    }

    /// Takes in what came of the write; returns the intents that may be issued now.
    pub fn end_write(&mut self, outcome: WriteOutcome) -> Vec<IdempotencyKey> {
        let Some(Writing(pages)) = self.writing.take() else { return Vec::new() };
        match outcome {
            WriteOutcome::Committed { revision } => return self.committed(pages, revision),
            WriteOutcome::Busy => {}
            WriteOutcome::Conflict => self.mark_uncertain(&pages),
            WriteOutcome::Refused => self.unrecordable(),
            WriteOutcome::Lost => {
                self.mark_uncertain(&pages);
                self.unrecordable();
            }
        }
        Vec::new()
    }

    fn committed(
        &mut self,
        pages: Vec<(PageId, BTreeSet<IdempotencyKey>)>,
        revision: u64,
    ) -> Vec<IdempotencyKey> {
        let mut durable = Vec::new();
        for (id, stored) in pages {
            let Some(page) = self.pages.get_mut(&id) else { continue };
            if stored.is_empty() && page.open.is_empty() {
                self.pages.remove(&id);
                continue;
            }
            page.revision = if stored.is_empty() { 0 } else { revision };
            page.stored = stored;
            for key in &page.stored {
                let Some(entry) = self.entries.get_mut(key) else { continue };
                entry.basis = Some(Basis::Recorded { revision });
                if entry.intent.transition_to(IntentState::Recorded).is_ok() {
                    durable.push(key.clone());
                }
            }
        }
        durable
    }

    /// The transaction may be carried out later, or was by another way: what stands there
    /// is read before the next write.
    fn mark_uncertain(&mut self, pages: &[(PageId, BTreeSet<IdempotencyKey>)]) {
        for (id, _) in pages {
            if let Some(page) = self.pages.get_mut(id) {
                page.in_doubt = true;
                page.stored.clear();
            }
        }
    }

    fn unrecordable(&mut self) {
        for entry in self.entries.values_mut().filter(|entry| entry.intent.state() == IntentState::Intended) {
            entry.unrecordable = true;
        }
    }

    /// The pages whose revisions are to be read before they are written again.
    pub fn uncertain_pages(&self) -> Vec<PageId> {
        self.pages.iter().filter(|(_, page)| page.in_doubt).map(|(id, _)| *id).collect()
    }

    /// A page's key has this revision; 0: it is not there.
    pub fn reread(&mut self, id: PageId, revision: u64) {
        let Some(page) = self.pages.get_mut(&id) else { return };
        page.in_doubt = false;
        page.revision = revision;
        if revision == 0 && page.open.is_empty() {
            self.pages.remove(&id);
        }
    }

    /// A page's revision could not be read: the state service fails this holder.
    pub fn reread_failed(&mut self) {
        self.unrecordable();
    }

    /// Failures to record compel nobody any more: each counts at once or not at all, so
    /// that a holder which was paused after one starts over with a new attempt.
    pub fn forget_failures(&mut self) {
        for entry in self.entries.values_mut() {
            entry.unrecordable = false;
        }
    }

    /// Takes up a intent that is durable, to be sent now.
    pub fn issue(&mut self, key: &IdempotencyKey) -> Result<(CloudAction, IssueProof), IssueError> {
        let token = self.token;
        let entry = self.entries.get_mut(key).ok_or_else(|| IssueError::Unknown(key.clone()))?;
        let basis = entry.basis.ok_or_else(|| IssueError::NotDurable(key.clone()))?;
        entry.intent.transition_to(IntentState::Issued)?;
        let proof = IssueProof { token, key: key.clone(), digest: entry.intent.digest, basis };
        Ok((entry.intent.action.clone(), proof))
    }

    /// Lets a intent be issued without its record: a rule forces the return of machines,
    /// and the state service has failed the attempt to record it. Time alone, or a lease
    /// that has run out by the own clock, is no ground.
    pub fn force_issue(&mut self, key: &IdempotencyKey) -> bool {
        let Some(entry) = self.entries.get_mut(key) else { return false };
        let reclaim = matches!(
            entry.intent.action,
            CloudAction::Return(InstanceReturn { reason: ReturnReason::Reclaim, .. })
        );
        if entry.basis.is_none() && entry.unrecordable && reclaim {
            entry.basis = Some(Basis::Compelled);
        }
        entry.basis == Some(Basis::Compelled)
    }

    /// The effect of a intent is certain.
    pub fn confirm(&mut self, key: &IdempotencyKey) -> Result<(), InvalidTransition> {
        self.end(key, IntentState::Confirmed)
    }

    /// Gives a intent up.
    pub fn abandon(&mut self, key: &IdempotencyKey) -> Result<(), InvalidTransition> {
        self.end(key, IntentState::Abandoned)
    }

    fn end(&mut self, key: &IdempotencyKey, last: IntentState) -> Result<(), InvalidTransition> {
        let Some(entry) = self.entries.get_mut(key) else { return Ok(()) };
        entry.intent.transition_to(last)?;
        match last {
            IntentState::Confirmed => self.confirmed += 1,
            _ => self.abandoned += 1,
        }
        let bytes = record::stored_bytes(&entry.intent);
        if let Some(page) = self.pages.get_mut(&entry.page) {
            page.open.remove(key);
            page.bytes = page.bytes.saturating_sub(bytes);
        }
        if let Some(entry) = self.entries.remove(key) {
            self.over.insert(key.clone(), entry.intent.digest);
            self.over_order.push_back(key.clone());
        }
        if self.over_order.len() > MAX_REMEMBERED {
            if let Some(oldest) = self.over_order.pop_front() {
                self.over.remove(&oldest);
            }
        }
        Ok(())
    }

    pub fn summary(&self) -> IntentSummary {
        let count = |state| self.entries.values().filter(|entry| entry.intent.state() == state).count();
        IntentSummary {
            intended: count(IntentState::Intended),
            recorded: count(IntentState::Recorded),
            adopted: count(IntentState::Adopted),
            issued: count(IntentState::Issued),
            confirmed: self.confirmed,
            abandoned: self.abandoned,
            pages: self.pages.len(),
            unreadable_pages: self.pages.values().filter(|page| page.unreadable).count(),
        }
    }
}
