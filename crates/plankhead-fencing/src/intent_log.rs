//! The intents of one leader's term, both its own and the adopted ones, and the writes of their
//! records. The log decides what to write to the state service, and the caller performs the writes.

use crate::action::{CloudAction, InstanceReturn, ReturnReason, MAX_RETURN_MACHINES};
use crate::ended_intents::{EndedIntents, IntentOutcome};
use crate::errors::{IntentError, IssueError};
use crate::gate::{Basis, IssueProof};
use crate::intent::{IdempotencyKey, Intent, IntentState, InvalidTransition, MAX_OPEN_INTENTS};
use crate::page_writes::{IntentPageWrite, StoreLimits, WriteOutcome};
use crate::pages::{PageState, PageTable, WriteScope};
use crate::record::{self, PageId, RecordError, PAGE_OVERHEAD};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The number of bytes reserved in the record of a return for everything but its machines.
const RETURN_OVERHEAD: usize = 200;
/// The number of bytes that a machine takes in a record besides its name: two quotes and a comma.
const MACHINE_OVERHEAD: usize = 3;

/// The result of adding an intent to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IntentAdmission {
    /// The intent was added.
    New,
    /// The log holds or held the same action under the same key.
    Repeat,
}

/// The numbers of intents by state, and of pages.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IntentSummary {
    /// The number of intents that are not known to be durable and were not issued.
    pub intended: usize,
    /// The number of intents that are durable and were not issued.
    pub recorded: usize,
    /// The number of former leaders' intents that this leader has not issued.
    pub adopted: usize,
    /// The number of issued intents whose outcome is not certain.
    pub issued: usize,
    /// The number of intents confirmed in this term.
    pub confirmed: u64,
    /// The number of intents abandoned in this term.
    pub abandoned: u64,
    /// The number of pages that are stored, may be stored or wait to be written.
    pub pages: usize,
    /// The number of those pages that could not be loaded completely.
    pub unreadable_pages: usize,
}

/// An open intent and its page.
#[derive(Debug)]
struct TrackedIntent {
    intent: Intent,
    page: PageId,
    /// The reason why the intent may be issued, or `None` while it may not.
    basis: Option<Basis>,
    /// Whether an attempt to record the intent failed, see
    /// [`IntentLog::clear_recording_failures`].
    recording_failed: bool,
}

/// The intents of one leader's term.
#[derive(Debug)]
pub struct IntentLog {
    token: u64,
    limits: StoreLimits,
    /// The number in the latest key from [`IntentLog::next_key`].
    sequence: u64,
    open: BTreeMap<IdempotencyKey, TrackedIntent>,
    pages: PageTable,
    ended: EndedIntents,
}

impl IntentLog {
    /// Creates the empty log of the leader with this fencing token.
    pub fn new(token: u64, limits: StoreLimits) -> Self {
        Self {
            token,
            limits,
            sequence: 0,
            open: BTreeMap::new(),
            pages: PageTable::new(token, limits),
            ended: EndedIntents::default(),
        }
    }

    /// Returns a new key, which is unique because the token is unique and the number is unique within
    /// the term.
    pub fn next_key(&mut self) -> IdempotencyKey {
        self.sequence += 1;
        IdempotencyKey::new(&format!("{}.{}", self.token, self.sequence))
    }

    /// Creates a return of the first of these machines, as many as fit into one record.
    pub fn return_within_limits(&self, machines: &[Arc<str>], reason: ReturnReason) -> InstanceReturn {
        let mut remaining_bytes = self.limits.value_bytes.saturating_sub(PAGE_OVERHEAD + RETURN_OVERHEAD);
        let fits = |machine: &&Arc<str>| {
            let bytes = machine.len() + MACHINE_OVERHEAD;
            let fits = bytes <= remaining_bytes;
            remaining_bytes = remaining_bytes.saturating_sub(bytes);
            fits
        };
        let machines = machines.iter().take(MAX_RETURN_MACHINES).take_while(fits).cloned().collect();
        InstanceReturn { machines, reason }
    }

    /// Adds an intent, created at `now_ms` by the wall clock. It may be issued once it is durable.
    pub fn intend(
        &mut self,
        key: IdempotencyKey,
        action: CloudAction,
        now_ms: u64,
    ) -> Result<IntentAdmission, IntentError> {
        let known = self.open.get(&key).map(|tracked| tracked.intent.digest);
        if let Some(known) = known.or_else(|| self.ended.digest(&key)) {
            let same = known == action.digest();
            return if same { Ok(IntentAdmission::Repeat) } else { Err(IntentError::KeyReused { key }) };
        }
        if self.open.len() >= MAX_OPEN_INTENTS {
            return Err(IntentError::TooMany);
        }
        let intent = Intent::intended(key.clone(), self.token, action, now_ms);
        let bytes = record::stored_bytes(&intent);
        if bytes.saturating_add(PAGE_OVERHEAD) > self.limits.value_bytes {
            return Err(IntentError::TooLarge { key, bytes });
        }
        let page = self.pages.assign(key.clone(), bytes);
        self.open.insert(key, TrackedIntent { intent, page, basis: None, recording_failed: false });
        Ok(IntentAdmission::New)
    }

    /// Discards the pages and intents of former leaders before all stored pages are read again.
    pub fn discard_former_pages(&mut self) {
        self.pages.discard_former_pages();
        let (token, pages) = (self.token, &self.pages);
        self.open.retain(|_, tracked| tracked.intent.token == token && pages.contains(tracked.page));
    }

    /// Adopts the intents of a former leader's stored page. Returns an error for each part of the page
    /// that cannot be used.
    pub fn load_former_page(&mut self, key: &str, value: &str, revision: u64) -> Vec<RecordError> {
        let Some(id) = PageId::parse(key) else {
            return vec![RecordError::Key { key: key.into() }];
        };
        if id.token == self.token {
            // This leader wrote the page before it had loaded all pages.
            return Vec::new();
        }
        if id.token > self.token {
            return vec![RecordError::LaterToken { key: key.into() }];
        }
        let (intents, mut errors) = record::decode(key, value);
        let mut page = PageState { revision, from_former_leader: true, ..PageState::default() };
        for intent in intents {
            if self.open.contains_key(&intent.key) {
                errors.push(RecordError::ReusedKey { key: key.into(), intent: intent.key });
                continue;
            }
            page.open.insert(intent.key.clone());
            page.stored.insert(intent.key.clone());
            let basis = Some(Basis::Recorded { revision });
            let tracked = TrackedIntent { intent, page: id, basis, recording_failed: false };
            self.open.insert(tracked.intent.key.clone(), tracked);
        }
        page.unreadable = !errors.is_empty();
        self.pages.insert(id, page);
        errors
    }

    /// Returns the open intents of former leaders.
    pub fn adopted(&self) -> impl Iterator<Item = &Intent> {
        self.open_intents().filter(|intent| intent.token != self.token)
    }

    /// Returns all open intents in the order of their keys.
    pub fn open_intents(&self) -> impl Iterator<Item = &Intent> {
        self.open.values().map(|tracked| &tracked.intent)
    }

    /// Returns the open intent with this key.
    pub fn intent(&self, key: &IdempotencyKey) -> Option<&Intent> {
        self.open.get(key).map(|tracked| &tracked.intent)
    }

    /// Returns whether an open intent of this leader is not in its stored page.
    pub fn has_unrecorded(&self) -> bool {
        self.pages.has_unrecorded()
    }

    /// Returns whether stored pages hold ended intents that can be removed.
    pub fn needs_compaction(&self) -> bool {
        self.pages.needs_compaction()
    }

    /// Returns whether a write of pages is in flight.
    pub fn is_writing(&self) -> bool {
        self.pages.is_writing()
    }

    /// Returns the page writes for one transaction that records open intents, at most `max_pages` of
    /// them. With `compact`, also includes writes that only remove ended intents. Returns `None` while
    /// a write is in flight or if there is nothing to write.
    pub fn begin_write(&mut self, max_pages: usize, compact: bool) -> Option<Vec<IntentPageWrite>> {
        let open = &self.open;
        self.pages.begin_write(WriteScope { max_pages, compact }, |keys| {
            record::encode(keys.iter().filter_map(|key| open.get(key)).map(|tracked| &tracked.intent))
        })
    }

    /// Handles the outcome of the write in flight. Returns the intents that may be issued now.
    pub fn end_write(&mut self, outcome: WriteOutcome) -> Vec<IdempotencyKey> {
        if !self.pages.is_writing() {
            return Vec::new();
        }
        match outcome {
            WriteOutcome::Committed { revision } => return self.write_committed(revision),
            WriteOutcome::Busy => self.pages.write_failed(),
            WriteOutcome::Conflict => self.pages.write_uncertain(),
            WriteOutcome::Refused => {
                self.pages.write_failed();
                self.mark_recording_failed();
            }
            WriteOutcome::Unknown => {
                self.pages.write_uncertain();
                self.mark_recording_failed();
            }
        }
        Vec::new()
    }

    fn write_committed(&mut self, revision: u64) -> Vec<IdempotencyKey> {
        let mut recorded = self.pages.write_committed(revision);
        recorded.retain(|key| {
            let Some(tracked) = self.open.get_mut(key) else { return false };
            tracked.basis = Some(Basis::Recorded { revision });
            tracked.intent.transition_to(IntentState::Recorded).is_ok()
        });
        recorded
    }

    fn mark_recording_failed(&mut self) {
        let is_intended = |tracked: &&mut TrackedIntent| tracked.intent.state() == IntentState::Intended;
        for tracked in self.open.values_mut().filter(is_intended) {
            tracked.recording_failed = true;
        }
    }

    /// Returns the pages whose revisions must be read before they are written again.
    pub fn uncertain_pages(&self) -> Vec<PageId> {
        self.pages.uncertain()
    }

    /// Handles the read of a page's key, with its revision or 0 if the key does not exist.
    pub fn page_revision_read(&mut self, id: PageId, revision: u64) {
        self.pages.revision_read(id, revision);
    }

    /// Handles a failed read of a page's revision, which counts as a failed attempt to record all
    /// intents that are not recorded.
    pub fn page_revision_read_failed(&mut self) {
        self.mark_recording_failed();
    }

    /// Clears the failed attempts to record intents. The caller does so before a step ends, so that a
    /// failure permits an issue without a record only in the step in which it becomes known. A leader
    /// that was paused after a failure must attempt to record the intent again.
    pub fn clear_recording_failures(&mut self) {
        for tracked in self.open.values_mut() {
            tracked.recording_failed = false;
        }
    }

    /// Marks an intent as issued. Returns its action, which the caller must send now, and the proof
    /// for the gate. Fails if the intent is neither durable nor permitted by
    /// [`allow_unrecorded_issue`](Self::allow_unrecorded_issue).
    pub fn issue(&mut self, key: &IdempotencyKey) -> Result<(CloudAction, IssueProof), IssueError> {
        let token = self.token;
        let tracked = self.open.get_mut(key).ok_or_else(|| IssueError::Unknown(key.clone()))?;
        let basis = tracked.basis.ok_or_else(|| IssueError::NotDurable(key.clone()))?;
        tracked.intent.transition_to(IntentState::Issued)?;
        let proof = IssueProof { token, key: key.clone(), digest: tracked.intent.digest, basis };
        Ok((tracked.intent.action.clone(), proof))
    }

    /// Permits issuing an intent without its record if it reclaims machines and an attempt to record
    /// it failed. Returns whether this is permitted. Elapsed time or a lease that has expired by this
    /// node's clock is not a sufficient reason.
    pub fn allow_unrecorded_issue(&mut self, key: &IdempotencyKey) -> bool {
        let Some(tracked) = self.open.get_mut(key) else { return false };
        let is_reclaim = matches!(
            &tracked.intent.action,
            CloudAction::Return(InstanceReturn { reason: ReturnReason::Reclaim, .. })
        );
        if tracked.basis.is_none() && tracked.recording_failed && is_reclaim {
            tracked.basis = Some(Basis::Compelled);
        }
        tracked.basis == Some(Basis::Compelled)
    }

    /// Ends an intent whose outcome is certain: the action took effect or never will.
    pub fn confirm(&mut self, key: &IdempotencyKey) -> Result<(), InvalidTransition> {
        self.end_intent(key, IntentOutcome::Confirmed)
    }

    /// Ends an intent whose outcome is not certain.
    pub fn abandon(&mut self, key: &IdempotencyKey) -> Result<(), InvalidTransition> {
        self.end_intent(key, IntentOutcome::Abandoned)
    }

    fn end_intent(&mut self, key: &IdempotencyKey, outcome: IntentOutcome) -> Result<(), InvalidTransition> {
        let Some(tracked) = self.open.get_mut(key) else { return Ok(()) };
        tracked.intent.transition_to(match outcome {
            IntentOutcome::Confirmed => IntentState::Confirmed,
            IntentOutcome::Abandoned => IntentState::Abandoned,
        })?;
        self.pages.remove_intent(tracked.page, key, record::stored_bytes(&tracked.intent));
        self.ended.insert(key.clone(), tracked.intent.digest, outcome);
        self.open.remove(key);
        Ok(())
    }

    /// Returns the numbers of intents by state, and of pages.
    pub fn summary(&self) -> IntentSummary {
        let count = |state| self.open_intents().filter(|intent| intent.state() == state).count();
        IntentSummary {
            intended: count(IntentState::Intended),
            recorded: count(IntentState::Recorded),
            adopted: count(IntentState::Adopted),
            issued: count(IntentState::Issued),
            confirmed: self.ended.confirmed(),
            abandoned: self.ended.abandoned(),
            pages: self.pages.len(),
            unreadable_pages: self.pages.unreadable_count(),
        }
    }
}
