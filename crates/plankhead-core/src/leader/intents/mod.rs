//! The leader's intents: its rentals and returns of machines.
//!
//! An intent is recorded in the state service before its request is sent to the cloud, and intents that
//! former leaders left open are completed. The decisions are made in `plankhead-fencing`; this module
//! carries them out.

mod records;
mod state;

use super::{Leader, LeaderEvidence};
use crate::calls::{CallPurpose, LeaderCall, PendingRental};
use crate::effects::{EffectSink, StepTime};
use crate::fleet::RemovalReason;
use crate::protocol::{CloudRequest, LogLevel, MachineName};
use plankhead_fencing::action::{CloudAction, ReturnReason};
use plankhead_fencing::gate::{IssueProof, PermittedAction};
use plankhead_fencing::intent::{IdempotencyKey, Intent, IntentState};
use plankhead_fencing::intent_log::IntentAdmission;
pub(super) use state::{Intents, LeavingMachine, ReturnForce};
use state::{RefusedRental, ReturnRetry};
use std::time::Duration;

/// The pause before a failed return is requested again.
const RETURN_RETRY_INTERVAL: Duration = Duration::from_millis(500);

impl Leader {
    /// Requests an action of the cloud that can't be undone. All such actions go through this method.
    /// Without fencing the action is sent at once, otherwise once its intent is durable. An action that was
    /// requested before under the same key is sent again. Returns false if the intent was not accepted.
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
        match self.intents.log.intend(key.clone(), action, self.intents.wall_ms) {
            Ok(IntentAdmission::New) => true,
            Ok(IntentAdmission::Repeat) => {
                self.intents.ready.push_back(key);
                true
            }
            Err(error) => {
                effects.log(LogLevel::Error, format!("intent not recorded: intent={key} reason={error}"));
                false
            }
        }
    }

    /// Sends an action if the fencing gate permits it.
    fn pass_gate(
        &mut self,
        key: &IdempotencyKey,
        action: CloudAction,
        proof: Option<IssueProof>,
        effects: &mut EffectSink,
    ) {
        match self.intents.gate.permit(action, proof) {
            Ok(permitted) => self.send_action(key, permitted, effects),
            Err(refusal) => {
                effects.log(LogLevel::Error, format!("fencing gate refused: intent={key} reason={refusal}"))
            }
        }
    }

    fn send_action(&self, key: &IdempotencyKey, permitted: PermittedAction, effects: &mut EffectSink) {
        let leader_call = match permitted.action() {
            CloudAction::Rent(rental) => LeaderCall::Rent(rental.clone().into()),
            CloudAction::Return(request) => {
                LeaderCall::Release { machines: request.machines.clone(), intent: key.clone() }
            }
        };
        effects.call_cloud(CallPurpose::Leader(self.token, leader_call), CloudRequest::Execute(permitted));
    }

    /// Sends the actions of all intents that are ready.
    fn send_ready(&mut self, effects: &mut EffectSink) {
        for _ in 0..self.intents.ready.len() {
            let Some(key) = self.intents.ready.pop_front() else { return };
            match self.intents.log.issue(&key) {
                Ok((action, proof)) => self.pass_gate(&key, action, Some(proof), effects),
                Err(error) => {
                    effects.log(LogLevel::Debug, format!("intent not issued: intent={key} reason={error}"))
                }
            }
        }
    }

    /// Writes intents to the state service, and sends the actions of those that may be issued.
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

    /// Issues forced returns without their records if the state service has just failed to record them.
    /// A cancelled task must be gone in time even while the state service fails.
    fn force_unrecorded_returns(
        &mut self,
        now: Duration,
        evidence: LeaderEvidence,
        effects: &mut EffectSink,
    ) {
        let forced: Vec<(IdempotencyKey, ReturnForce)> =
            self.intents.forced.iter().map(|(key, force)| (key.clone(), *force)).collect();
        for (key, force) in forced {
            let state = self.intents.log.intent(&key).map(Intent::state);
            if state != Some(IntentState::Intended) {
                self.intents.forced.remove(&key);
                continue;
            }
            let is_due = force == ReturnForce::CancellationDue;
            let allowed = (is_due || evidence.no_peer_leads) && self.is_cloud_reachable(now);
            if allowed && self.intents.log.allow_unrecorded_issue(&key) {
                effects.log(
                    LogLevel::Info,
                    format!("intent issued unrecorded: intent={key} reason=state_service_fails"),
                );
                self.intents.forced.remove(&key);
                self.intents.ready.push_back(key);
            }
        }
        self.intents.log.clear_recording_failures();
    }

    /// Makes failed and adopted returns ready to be sent again, once they are due and within the request
    /// budget.
    fn retry_returns(&mut self, now: Duration, evidence: LeaderEvidence) {
        if !evidence.lease_valid && !self.is_cloud_reachable(now) {
            return;
        }
        for retry in std::mem::take(&mut self.intents.return_retries) {
            if retry.due <= now && self.scaling.take_request(now) {
                self.intents.ready.push_back(retry.key);
            } else {
                self.intents.return_retries.push(retry);
            }
        }
    }

    /// Retries refused rentals that are due, or abandons them once this leader's term has lasted for
    /// `abandon_rental_after`.
    ///
    /// An earlier copy of a refused request may still be carried out. The cloud carries out at most one
    /// request with a given name, so no copy can rent machines after one has succeeded. After a refusal,
    /// a copy still can.
    fn retry_refused_rentals(&mut self, now: Duration, effects: &mut EffectSink) {
        for refused in std::mem::take(&mut self.intents.refused_rentals) {
            let key = IdempotencyKey::new(&refused.rental.name);
            if refused.due > now {
                self.intents.refused_rentals.push(refused);
            } else if now.saturating_sub(self.started_at) > self.intents.settings.abandon_rental_after {
                effects.log(LogLevel::Info, format!("rental abandoned: intent={key} reason=no_capacity"));
                self.end_intent(&key, IntentState::Abandoned, effects);
            } else {
                self.scaling.retry_rental(now, refused.rental);
            }
        }
    }

    /// Records that an intent is confirmed or abandoned.
    fn end_intent(&mut self, key: &IdempotencyKey, final_state: IntentState, effects: &mut EffectSink) {
        let ended = match final_state {
            IntentState::Abandoned => self.intents.log.abandon(key),
            _ => self.intents.log.confirm(key),
        };
        if let Err(error) = ended {
            effects.log(LogLevel::Error, format!("intent not ended: intent={key} reason={error}"));
        }
    }

    /// Confirms an intent that the cloud has carried out, or that it will certainly never carry out.
    pub(super) fn confirm_intent(&mut self, key: &IdempotencyKey, effects: &mut EffectSink) {
        if self.intents.is_fenced() {
            self.end_intent(key, IntentState::Confirmed, effects);
        }
    }

    /// Handles the cloud's reply that it has no machines for a rental. The intent stays open, and the
    /// rental is retried, if another copy of the request may still be under way.
    pub(super) fn rental_refused(&mut self, now: Duration, rental: PendingRental, effects: &mut EffectSink) {
        let key = IdempotencyKey::new(&rental.name);
        let Some(intent) = self.intents.log.intent(&key) else { return };
        if intent.token == self.token && intent.attempts <= 1 {
            return self.confirm_intent(&key, effects);
        }
        let due = now + self.intents.settings.refused_rental_retry;
        self.intents.refused_rentals.push(RefusedRental { due, rental });
    }

    /// Schedules a failed or unanswered return to be requested again under the same key.
    pub(super) fn return_failed(&mut self, now: Duration, key: IdempotencyKey) {
        self.intents.return_retries.push(ReturnRetry { due: now + RETURN_RETRY_INTERVAL, key });
    }

    /// Returns machines to the cloud, as many as one request may contain; the others stay marked for
    /// removal. `force` states why the return may be issued without its record.
    pub(super) fn return_machines(
        &mut self,
        leaving: &[LeavingMachine],
        force: Option<ReturnForce>,
        effects: &mut EffectSink,
    ) {
        let is_surplus = leaving.iter().all(|machine| machine.reason == RemovalReason::Surplus);
        let reason = if is_surplus { ReturnReason::Surplus } else { ReturnReason::Reclaim };
        let machines: Vec<MachineName> = leaving.iter().map(|machine| machine.name.clone()).collect();
        let request = self.intents.machines_per_return(&machines, reason);
        let named = leaving.iter().take(request.machines.len());
        for LeavingMachine { name, reason } in named.filter(|m| m.reason != RemovalReason::Surplus) {
            effects.log(LogLevel::Info, format!("machine scale-in: machine={name} reason={reason}"));
        }
        let key = self.intents.log.next_key();
        let machines = request.machines.clone();
        if machines.is_empty()
            || !self.request_cloud_action(key.clone(), CloudAction::Return(request), effects)
        {
            return;
        }
        self.scaling.release_requested(machines);
        if let Some(force) = force.filter(|_| self.intents.is_fenced()) {
            self.intents.forced.insert(key, force);
        }
    }
}
