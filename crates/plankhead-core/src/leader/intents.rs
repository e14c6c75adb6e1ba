//! The leader's duties: what it asks of the cloud becomes durable first, and what a
//! former leader left open is finished. `plankhead-fencing` decides; this carries its
//! decisions to the state service and the cloud.

use super::persistence::MAX_TXN_BYTES;
use super::{Leader, LeaderEvidence};
use crate::calls::{CallPurpose, LeaderCall, PendingRental};
use crate::effects::{EffectSink, StepTime};
use crate::fleet::RemovalReason;
use crate::leadership::election;
use crate::protocol::{
    CallError, CloudRequest, Condition, KvChange, KvReply, KvRequest, LogLevel, MachineName,
};
use crate::settings::{Fencing, Settings};
use plankhead_fencing::action::{CloudAction, InstanceReturn, ReturnReason, MAX_RETURN_MACHINES};
use plankhead_fencing::gate::{FencingGate, IssueProof, PermittedAction};
use plankhead_fencing::intent::{IdempotencyKey, Intent, IntentState};
use plankhead_fencing::intent_log::IntentLog;
use plankhead_fencing::page_writes::{IntentPageWrite, StoreLimits, WriteOutcome};
use plankhead_fencing::record::{self, PageId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// A failure to record a duty compels only while it is so fresh: a process that was
/// paused after it asks again. The clock can only forbid here, never allow.
const FRESH_FAILURE: Duration = Duration::from_secs(3);
/// The pause before a return that failed is asked for again.
const RETURN_RETRY: Duration = Duration::from_millis(500);
/// Open duties that the operators' view lists.
const MAX_SHOWN: usize = 100;

/// A rental that the cloud refused, while an earlier copy of the request may still come.
#[derive(Debug)]
struct RefusedRental {
    due: Duration,
    rental: PendingRental,
}

/// The duties of one term.
#[derive(Debug)]
pub(super) struct Intents {
    settings: Fencing,
    gate: FencingGate,
    log: IntentLog,
    /// Durable duties to be sent at once.
    ready: VecDeque<IdempotencyKey>,
    /// Returns to be sent, or sent again, at these times.
    returns_due: Vec<(Duration, IdempotencyKey)>,
    refused_rentals: Vec<RefusedRental>,
    /// Returns that a cancellation or this leader's blindness forces, with whether only
    /// blindness does.
    forced: BTreeMap<IdempotencyKey, bool>,
    reading: BTreeSet<PageId>,
    write_due: Duration,
    tidy_due: Duration,
    /// The time of day, for the records' readers.
    pub(super) wall_ms: u64,
}

impl Intents {
    pub(super) fn new(settings: &Settings, token: u64, now: Duration) -> Self {
        let fencing = settings.fencing;
        let limits = StoreLimits {
            value_bytes: settings.max_value_bytes,
            changes: settings.max_txn_changes,
            transaction_bytes: MAX_TXN_BYTES,
        };
        Self {
            settings: fencing,
            gate: if fencing.enabled { FencingGate::fenced(token) } else { FencingGate::open(token) },
            log: IntentLog::new(token, limits),
            ready: VecDeque::new(),
            returns_due: Vec::new(),
            refused_rentals: Vec::new(),
            forced: BTreeMap::new(),
            reading: BTreeSet::new(),
            write_due: now,
            tidy_due: now,
            wall_ms: 0,
        }
    }

    pub(super) fn is_fenced(&self) -> bool {
        self.gate.is_fenced()
    }

    /// Whether something waits for the state service or for the cloud's rate.
    pub(super) fn has_pending_work(&self) -> bool {
        !self.ready.is_empty() || !self.log.uncertain_pages().is_empty() || self.log.has_unrecorded()
    }

    /// How many machines one return names.
    pub(super) fn machines_per_return(&self, hosts: &[MachineName], reason: ReturnReason) -> InstanceReturn {
        if self.is_fenced() {
            return self.log.machines_per_return(hosts, reason);
        }
        InstanceReturn { machines: hosts.iter().take(MAX_RETURN_MACHINES).cloned().collect(), reason }
    }

    /// What operators see of the duties.
    pub(super) fn view(&self) -> serde_json::Value {
        let counts = self.gate.counts();
        let summary = self.log.summary();
        let shown = |intent: &Intent| {
            serde_json::json!({"key": intent.key.to_string(), "kind": intent.action.kind(),
                "subject": intent.action.subject(), "holder": intent.token, "state": intent.state().name(),
                "attempts": intent.attempts, "ageS": self.wall_ms.saturating_sub(intent.intended_ms) as f64 / 1e3})
        };
        let open: Vec<_> = self.log.open_intents().take(MAX_SHOWN).map(shown).collect();
        serde_json::json!({
            "enabled": self.is_fenced(),
            "passed": {"recorded": counts.recorded, "compelled": counts.compelled,
                "unfenced": counts.unfenced, "refused": counts.refused},
            "intended": summary.intended, "recorded": summary.recorded, "adopted": summary.adopted,
            "issued": summary.issued, "confirmed": summary.confirmed, "abandoned": summary.abandoned,
            "pages": summary.pages, "unreadablePages": summary.unreadable_pages,
            "open": open,
        })
    }
}

impl Leader {
    /// The one way to the cloud for whatever can't be taken back there. A repeat under the
    /// same key with the same action is sent again.
    pub(super) fn request_cloud_action(
        &mut self,
        key: IdempotencyKey,
        action: CloudAction,
        effects: &mut EffectSink,
    ) -> bool {
        if !self.intents.is_fenced() {
            self.pass_gate(&key, action, None, effects);
            return true;
        }
        use plankhead_fencing::intent_log::IntentAdmission;
        match self.intents.log.intend(key.clone(), action, self.intents.wall_ms) {
            Ok(IntentAdmission::New) => true,
            Ok(IntentAdmission::Repeat) => {
                self.intents.ready.push_back(key);
                true
            }
            Err(error) => {
                effects.log(LogLevel::Error, format!("a duty was not taken: {error}"));
                false
            }
        }
    }

    fn pass_gate(
        &mut self,
        key: &IdempotencyKey,
        action: CloudAction,
        proof: Option<IssueProof>,
        effects: &mut EffectSink,
    ) {
        match self.intents.gate.pass(action, proof) {
            Ok(permitted) => self.send_action(key, permitted, effects),
            Err(refusal) => effects.log(LogLevel::Error, format!("the gate refused {key}: {refusal}")),
        }
    }

    fn send_action(&self, key: &IdempotencyKey, permitted: PermittedAction, effects: &mut EffectSink) {
        let leader_call = match permitted.action() {
            CloudAction::Rent(rental) => LeaderCall::Rent(rental.clone().into()),
            CloudAction::Return(back) => {
                LeaderCall::Release { machines: back.machines.clone(), intent: key.clone() }
            }
        };
        effects.call_cloud(CallPurpose::Leader(self.token, leader_call), CloudRequest::Execute(permitted));
    }

    /// Sends the duties that may go now.
    fn send_ready(&mut self, effects: &mut EffectSink) {
        for _ in 0..self.intents.ready.len() {
            let Some(key) = self.intents.ready.pop_front() else { return };
            match self.intents.log.issue(&key) {
                Ok((action, proof)) => self.pass_gate(&key, action, Some(proof), effects),
                Err(error) => effects.log(LogLevel::Debug, format!("not sent: {error}")),
            }
        }
    }

    /// Makes duties durable, and sends those that are.
    pub(super) fn advance_intents(
        &mut self,
        times: StepTime,
        evidence: LeaderEvidence,
        effects: &mut EffectSink,
    ) {
        if !self.intents.is_fenced() {
            return;
        }
        let now = times.now;
        self.force_unrecorded_returns(now, evidence, effects);
        self.retry_returns(now, evidence);
        self.retry_refused_rentals(now, effects);
        self.send_ready(effects);
        self.read_uncertain_pages(now, effects);
        self.write_intents(now, evidence, effects);
    }

    /// A rule can't wait for a state service that fails: a cancelled task must be gone in
    /// time. What was tried to be recorded in this very step, and failed, goes without.
    fn force_unrecorded_returns(
        &mut self,
        now: Duration,
        evidence: LeaderEvidence,
        effects: &mut EffectSink,
    ) {
        let forced: Vec<(IdempotencyKey, bool)> =
            self.intents.forced.iter().map(|(k, b)| (k.clone(), *b)).collect();
        for (key, blind) in forced {
            let state = self.intents.log.intent(&key).map(Intent::state);
            if state != Some(IntentState::Intended) {
                self.intents.forced.remove(&key);
                continue;
            }
            let allowed = (!blind || evidence.no_peer_leads) && self.is_cloud_reachable(now);
            if allowed && self.intents.log.force_issue(&key) {
                effects.log(
                    LogLevel::Info,
                    format!("duty {key} goes without its record: the state service fails"),
                );
                self.intents.forced.remove(&key);
                self.intents.ready.push_back(key);
            }
        }
        self.intents.log.forget_failures();
    }

    fn retry_returns(&mut self, now: Duration, evidence: LeaderEvidence) {
        if !evidence.lease_valid && !self.is_cloud_reachable(now) {
            return;
        }
        let due: Vec<(Duration, IdempotencyKey)> = std::mem::take(&mut self.intents.returns_due);
        for (at, key) in due {
            if at <= now && self.scaling.take_request(now) {
                self.intents.ready.push_back(key);
            } else {
                self.intents.returns_due.push((at, key));
            }
        }
    }

    /// A rental that was refused may still be carried out from an earlier copy of its
    /// request: only its name's success makes sure that no more machines come of it.
    fn retry_refused_rentals(&mut self, now: Duration, effects: &mut EffectSink) {
        let all = std::mem::take(&mut self.intents.refused_rentals);
        for refused in all {
            let key = IdempotencyKey::new(&refused.rental.name);
            if refused.due > now {
                self.intents.refused_rentals.push(refused);
            } else if now.saturating_sub(self.started_at) > self.intents.settings.abandon_rental_after {
                effects
                    .log(LogLevel::Info, format!("rental {key} is given up: the cloud has no room for it"));
                self.end_intent(&key, IntentState::Abandoned, effects);
            } else {
                self.scaling.retry_rental(now, refused.rental);
            }
        }
    }

    fn read_uncertain_pages(&mut self, now: Duration, effects: &mut EffectSink) {
        if self.persistence.is_paused(now) {
            return;
        }
        for page in self.intents.log.uncertain_pages() {
            if self.intents.reading.insert(page) {
                self.call_kv(
                    LeaderCall::ReadIntents { page, sent: now },
                    KvRequest::Get { key: page.key() },
                    effects,
                );
            }
        }
    }

    fn write_intents(&mut self, now: Duration, evidence: LeaderEvidence, effects: &mut EffectSink) {
        let urgent = !self.intents.forced.is_empty();
        // Without the lease a write would only fail, which a forced return must know.
        if !evidence.lease_valid && !urgent || self.persistence.is_paused(now) {
            return;
        }
        let tidy = evidence.lease_valid && now >= self.intents.tidy_due;
        let lacks = self.intents.log.has_unrecorded();
        let due = lacks && (urgent || now >= self.intents.write_due);
        if !(due || tidy && self.intents.log.needs_compaction()) {
            return;
        }
        let most = self.persistence.available(now).min(self.settings.max_txn_changes);
        let Some(changes) =
            (most > 0).then(|| self.intents.log.begin_write(most, tidy || !urgent && lacks)).flatten()
        else {
            return;
        };
        self.persistence.take(now, changes.len());
        self.intents.write_due = now + self.intents.settings.write_interval;
        self.intents.tidy_due = now + self.intents.settings.compaction_interval;
        let (conditions, changes) = self.intent_transaction(changes);
        self.call_kv(LeaderCall::WriteIntents { sent: now }, KvRequest::Txn { conditions, changes }, effects);
    }

    fn intent_transaction(&self, pages: Vec<IntentPageWrite>) -> (Vec<Condition>, Vec<KvChange>) {
        let mut conditions = vec![self.leader_condition()];
        let mut changes = Vec::new();
        for IntentPageWrite { page, expected, value } in pages {
            let key = page.key();
            conditions.push(Condition { key: key.clone(), mod_revision: expected });
            changes.push(match value {
                Some(value) => KvChange::Put { key, value, lease: None },
                None => KvChange::Delete { key },
            });
        }
        (conditions, changes)
    }

    /// The reply to a write of duties; false: somebody else leads.
    pub(super) fn intents_written(
        &mut self,
        now: Duration,
        sent: Duration,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) -> bool {
        let fresh = now.saturating_sub(sent) < FRESH_FAILURE;
        let outcome = match reply {
            Ok(KvReply::Committed { revision: epoch }) => WriteOutcome::Committed { revision: epoch },
            Ok(KvReply::Conflict { failed }) if failed.iter().any(|key| key == election::KEY) => {
                return false;
            }
            Ok(KvReply::Conflict { .. }) => WriteOutcome::Conflict,
            Err(CallError::RateLimited) => WriteOutcome::Busy,
            Err(CallError::Refused | CallError::TooLarge) => WriteOutcome::Refused,
            _ => WriteOutcome::Lost,
        };
        if matches!(outcome, WriteOutcome::Busy | WriteOutcome::Refused | WriteOutcome::Lost) {
            self.persistence.pause(now);
        }
        let durable = self.intents.log.end_write(outcome);
        if !fresh {
            self.intents.log.forget_failures();
        }
        self.intents.ready.extend(durable);
        self.send_ready(effects);
        true
    }

    /// The reply to a question after a page's revision.
    pub(super) fn intents_reread(
        &mut self,
        now: Duration,
        page: PageId,
        sent: Duration,
        reply: Result<KvReply, CallError>,
    ) {
        self.intents.reading.remove(&page);
        match reply {
            Ok(KvReply::Value(row)) => self.intents.log.reread(page, row.map_or(0, |row| row.mod_revision)),
            Err(CallError::RateLimited) => self.persistence.pause(now),
            _ => {
                self.persistence.pause(now);
                if now.saturating_sub(sent) < FRESH_FAILURE {
                    self.intents.log.reread_failed();
                }
            }
        }
    }

    pub(super) fn list_intents(&mut self, effects: &mut EffectSink) {
        let after = self.loading.after_key();
        if after.is_none() {
            self.intents.log.begin_reading();
        }
        self.call_kv(
            LeaderCall::ListIntents,
            KvRequest::List { prefix: record::PREFIX.into(), after },
            effects,
        );
    }

    pub(super) fn intents_page_loaded(
        &mut self,
        times: StepTime,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) {
        let Ok(KvReply::Page { rows, truncated, .. }) = reply else {
            return self.retry_loading(times.now);
        };
        self.loading.page_loaded(&rows);
        for row in &rows {
            for fault in self.intents.log.inherit(&row.key, &row.value, row.mod_revision) {
                effects.log(LogLevel::Error, format!("left alone: {fault}"));
            }
        }
        if truncated {
            return self.list_intents(effects);
        }
        self.loading.list_completed();
        self.read_target(effects);
    }

    /// Takes up what former leaders left open, before anything is placed: their machines
    /// are on their way out, and their rentals are asked for again under their names, which
    /// rents nothing anew where they were carried out.
    pub(super) fn adopt_intents(&mut self, now: Duration, effects: &mut EffectSink) {
        let adopted: Vec<(IdempotencyKey, CloudAction)> =
            self.intents.log.adopted().map(|intent| (intent.key.clone(), intent.action.clone())).collect();
        for (key, action) in &adopted {
            match action {
                CloudAction::Rent(rental) => self.scaling.retry_rental(now, rental.clone().into()),
                CloudAction::Return(back) => {
                    self.fleet.returns_inherited(&back.machines);
                    self.scaling.release_requested(back.machines.iter().cloned());
                    self.intents.returns_due.push((now, key.clone()));
                }
            }
        }
        if !adopted.is_empty() {
            effects.log(LogLevel::Info, format!("adopts {} duties of former leaders", adopted.len()));
        }
    }

    /// A duty is over.
    fn end_intent(&mut self, key: &IdempotencyKey, last: IntentState, effects: &mut EffectSink) {
        let ended = match last {
            IntentState::Abandoned => self.intents.log.abandon(key),
            _ => self.intents.log.confirm(key),
        };
        if let Err(error) = ended {
            effects.log(LogLevel::Error, error.to_string());
        }
    }

    /// The cloud has carried a duty out, or said that it never will.
    pub(super) fn confirm_intent(&mut self, key: &IdempotencyKey, effects: &mut EffectSink) {
        if self.intents.is_fenced() {
            self.end_intent(key, IntentState::Confirmed, effects);
        }
    }

    /// The cloud had no machines for a rental. Where another copy of the request may be
    /// under way, it stays open.
    pub(super) fn rental_refused(&mut self, now: Duration, rental: PendingRental, effects: &mut EffectSink) {
        let key = IdempotencyKey::new(&rental.name);
        let Some(intent) = self.intents.log.intent(&key) else { return };
        if intent.token == self.token && intent.attempts <= 1 {
            return self.confirm_intent(&key, effects);
        }
        let due = now + self.intents.settings.refused_rental_retry;
        self.intents.refused_rentals.push(RefusedRental { due, rental });
    }

    /// A return got no answer: it is asked for again, under the same key.
    pub(super) fn return_failed(&mut self, now: Duration, key: IdempotencyKey) {
        self.intents.returns_due.push((now + RETURN_RETRY, key));
    }

    /// Has machines returned; `forced`: a rule asks for it whatever the state service
    /// does, `blind`: only since this leader can't see what was cancelled.
    pub(super) fn return_machines(
        &mut self,
        leaving: &[(MachineName, RemovalReason)],
        (forced, blind): (bool, bool),
        effects: &mut EffectSink,
    ) {
        let surplus = leaving.iter().all(|(_, why)| *why == RemovalReason::Surplus);
        let cause = if surplus { ReturnReason::Surplus } else { ReturnReason::Reclaim };
        let hosts: Vec<MachineName> = leaving.iter().map(|(host, _)| host.clone()).collect();
        let back = self.intents.machines_per_return(&hosts, cause);
        for (host, why) in
            leaving.iter().take(back.machines.len()).filter(|(_, why)| *why != RemovalReason::Surplus)
        {
            effects.log(LogLevel::Info, format!("gives back {host}: {why:?}"));
        }
        let key = self.intents.log.next_key();
        let hosts = back.machines.clone();
        if !hosts.is_empty() && self.request_cloud_action(key.clone(), CloudAction::Return(back), effects) {
            self.scaling.release_requested(hosts);
            if forced && self.intents.is_fenced() {
                self.intents.forced.insert(key, blind);
            }
        }
    }
}
