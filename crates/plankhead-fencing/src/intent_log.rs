//! The intents of one leader's term, its own and those that it adopted, and when which record
//! of them is to be written. All decisions about the state service are made here; the caller
//! carries them out.

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

/// Bytes of a return's record beside its machines.
const RETURN_OVERHEAD: usize = 200;
/// Bytes that a machine's name takes in a record, beside the name.
const MACHINE_OVERHEAD: usize = 3;

/// Whether an intent was new.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IntentAdmission {
    /// It was taken into the log.
    New,
    /// The same action is or was in the log under this key.
    Repeat,
}

/// How many intents are in which state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IntentSummary {
    /// Open, and not known to be durable.
    pub intended: usize,
    /// Durable, and not issued.
    pub recorded: usize,
    /// Left by former leaders, and not issued since.
    pub adopted: usize,
    /// Issued, without a certain outcome.
    pub issued: usize,
    /// Confirmed in this term.
    pub confirmed: u64,
    /// Abandoned in this term.
    pub abandoned: u64,
    /// Pages that are or may be stored.
    pub pages: usize,
    /// Those of them that can't be decoded, or not wholly.
    pub unreadable_pages: usize,
}

/// An open intent.
#[derive(Debug)]
struct TrackedIntent {
    intent: Intent,
    page: PageId,
    /// Why it may be issued; `None`: it may not yet.
    basis: Option<Basis>,
    /// The state service failed the latest attempt to record it.
    recording_failed: bool,
}

/// The intents of one leader's term.
#[derive(Debug)]
pub struct IntentLog {
    token: u64,
    limits: StoreLimits,
    /// The number of the latest key that was made.
    sequence: u64,
    open: BTreeMap<IdempotencyKey, TrackedIntent>,
    pages: PageTable,
    ended: EndedIntents,
}

impl IntentLog {
    /// The empty log of the leader under this fencing token.
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

    /// A key that no other intent has: tokens are unique, and so is the number.
    pub fn next_key(&mut self) -> IdempotencyKey {
        self.sequence += 1;
        IdempotencyKey::new(&format!("{}.{}", self.token, self.sequence))
    }

    /// The return of as many of these machines as fit into one record.
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

    /// Admits an intent, as of `now_ms` by the wall clock. It may be issued once it is durable.
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

    /// Forgets what was adopted, since the stored pages are about to be read again.
    pub fn discard_former_pages(&mut self) {
        self.pages.discard_former_pages();
        let (token, pages) = (self.token, &self.pages);
        self.open.retain(|_, tracked| tracked.intent.token == token && pages.contains(tracked.page));
    }

    /// Adopts the intents of a former leader's stored page; returns what can't be decoded.
    pub fn load_former_page(&mut self, key: &str, value: &str, revision: u64) -> Vec<RecordError> {
        let Some(id) = PageId::parse(key) else {
            return vec![RecordError::Key { key: key.into() }];
        };
        if id.token == self.token {
            // Written by this leader before it had read everything.
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

    /// The open intents that former leaders left.
    pub fn adopted(&self) -> impl Iterator<Item = &Intent> {
        self.open_intents().filter(|intent| intent.token != self.token)
    }

    /// All open intents, by key.
    pub fn open_intents(&self) -> impl Iterator<Item = &Intent> {
        self.open.values().map(|tracked| &tracked.intent)
    }

    /// The open intent under this key.
    pub fn intent(&self, key: &IdempotencyKey) -> Option<&Intent> {
        self.open.get(key).map(|tracked| &tracked.intent)
    }

    /// Whether an intent waits to be recorded.
    pub fn has_unrecorded(&self) -> bool {
        self.pages.has_unrecorded()
    }

    /// Whether stored pages hold intents that have ended and could be removed.
    pub fn needs_compaction(&self) -> bool {
        self.pages.needs_compaction()
    }

    /// Whether a write of pages is under way.
    pub fn is_writing(&self) -> bool {
        self.pages.is_writing()
    }

    /// The page writes that make the log durable, at most `max_pages` in one transaction;
    /// `compact`: also those that only remove ended intents. `None` while a write is under way.
    pub fn begin_write(&mut self, max_pages: usize, compact: bool) -> Option<Vec<IntentPageWrite>> {
        let open = &self.open;
        self.pages.begin_write(WriteScope { max_pages, compact }, |keys| {
            record::encode(keys.iter().filter_map(|key| open.get(key)).map(|tracked| &tracked.intent))
        })
    }

    /// Takes in how the write under way ended; returns the intents that may be issued now.
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

    /// The pages whose revisions are to be read before they are written again.
    pub fn uncertain_pages(&self) -> Vec<PageId> {
        self.pages.uncertain()
    }

    /// A page's key was read and has this revision; 0: it does not exist.
    pub fn page_revision_read(&mut self, id: PageId, revision: u64) {
        self.pages.revision_read(id, revision);
    }

    /// A page's revision could not be read: the state service fails this leader.
    pub fn page_revision_read_failed(&mut self) {
        self.mark_recording_failed();
    }

    /// Forgets failures to record, which compel nothing from now on: each counts in the step
    /// in which it is known or not at all, so that a leader that was paused after one starts
    /// over with a new attempt.
    pub fn clear_recording_failures(&mut self) {
        for tracked in self.open.values_mut() {
            tracked.recording_failed = false;
        }
    }

    /// Issues an intent that is durable: its action is to be sent now.
    pub fn issue(&mut self, key: &IdempotencyKey) -> Result<(CloudAction, IssueProof), IssueError> {
        let token = self.token;
        let tracked = self.open.get_mut(key).ok_or_else(|| IssueError::Unknown(key.clone()))?;
        let basis = tracked.basis.ok_or_else(|| IssueError::NotDurable(key.clone()))?;
        tracked.intent.transition_to(IntentState::Issued)?;
        let proof = IssueProof { token, key: key.clone(), digest: tracked.intent.digest, basis };
        Ok((tracked.intent.action.clone(), proof))
    }

    /// Allows an intent to be issued without its record if it reclaims machines and the state
    /// service has failed the attempt to record it; returns whether it may be. Neither elapsed
    /// time nor a lease that has expired by the own clock is a reason.
    pub fn force_issue(&mut self, key: &IdempotencyKey) -> bool {
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

    /// Ends an intent whose effect, or that it has none, is certain.
    pub fn confirm(&mut self, key: &IdempotencyKey) -> Result<(), InvalidTransition> {
        self.end_intent(key, IntentOutcome::Confirmed)
    }

    /// Ends an intent without a certain effect.
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

    /// How many intents are in which state.
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
