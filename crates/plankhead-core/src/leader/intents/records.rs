//! The stored records of intents: writing them, reading uncertain revisions again, and loading and
//! adopting the intents of former leaders.

use super::state::ReturnRetry;
use crate::calls::LeaderCall;
use crate::effects::{EffectSink, StepTime};
use crate::leader::{Leader, LeaderEvidence, TermStatus};
use crate::leadership::election;
use crate::protocol::{CallError, Condition, KvChange, KvReply, KvRequest, LogLevel};
use plankhead_fencing::action::CloudAction;
use plankhead_fencing::intent::IdempotencyKey;
use plankhead_fencing::page_writes::{IntentPageWrite, WriteOutcome};
use plankhead_fencing::record::{self, PageId};
use std::time::Duration;

/// The age, counted from the sending of the call, up to which a failure to record an intent permits a
/// forced return. If the process was paused for longer before it handled the failure, the leader must try
/// to record the intent again. Elapsed time alone never permits a forced return.
const MAX_FAILURE_AGE: Duration = Duration::from_secs(3);

impl Leader {
    /// Reads the revisions of pages for which the outcome of a write is unknown.
    pub(super) fn read_uncertain_pages(&mut self, now: Duration, effects: &mut EffectSink) {
        if self.persistence.is_paused(now) {
            return;
        }
        for page in self.intents.log.uncertain_pages() {
            if self.intents.pages_being_read.insert(page) {
                self.call_kv(
                    LeaderCall::ReadIntents { page, sent: now },
                    KvRequest::Get { key: page.key() },
                    effects,
                );
            }
        }
    }

    /// Writes the pages of intents that are due, within the write budget.
    pub(super) fn write_intents(
        &mut self,
        now: Duration,
        evidence: LeaderEvidence,
        effects: &mut EffectSink,
    ) {
        let urgent = !self.intents.forced.is_empty();
        // Without a valid lease the write would only fail, so it is attempted only if a forced return
        // depends on that failure.
        if !evidence.lease_valid && !urgent || self.persistence.is_paused(now) {
            return;
        }
        let may_compact = evidence.lease_valid && now >= self.intents.next_compaction_at;
        let has_unrecorded = self.intents.log.has_unrecorded();
        let due = has_unrecorded && (urgent || now >= self.intents.next_write_at);
        if !(due || may_compact && self.intents.log.needs_compaction()) {
            return;
        }
        let max_changes = self.persistence.available(now).min(self.settings.max_txn_changes);
        let Some(pages) = (max_changes > 0)
            .then(|| self.intents.log.begin_write(max_changes, may_compact || !urgent && has_unrecorded))
            .flatten()
        else {
            return;
        };
        self.persistence.take(now, pages.len());
        self.intents.next_write_at = now + self.intents.settings.write_interval;
        self.intents.next_compaction_at = now + self.intents.settings.compaction_interval;
        let (conditions, changes) = self.intent_transaction(pages);
        self.call_kv(LeaderCall::WriteIntents { sent: now }, KvRequest::Txn { conditions, changes }, effects);
    }

    /// Returns the conditions and changes of a transaction that writes these pages.
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

    /// Handles the reply to a write of intents that was sent at `sent`.
    pub(in crate::leader) fn intents_written(
        &mut self,
        now: Duration,
        sent: Duration,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) -> TermStatus {
        let is_recent = now.saturating_sub(sent) < MAX_FAILURE_AGE;
        let outcome = match reply {
            Ok(KvReply::Committed { revision }) => WriteOutcome::Committed { revision },
            Ok(KvReply::Conflict { failed }) if failed.iter().any(|key| key == election::KEY) => {
                return TermStatus::Over;
            }
            Ok(KvReply::Conflict { .. }) => WriteOutcome::Conflict,
            Err(CallError::RateLimited) => WriteOutcome::Busy,
            Err(CallError::Refused | CallError::TooLarge) => WriteOutcome::Refused,
            _ => WriteOutcome::Unknown,
        };
        if matches!(outcome, WriteOutcome::Busy | WriteOutcome::Refused | WriteOutcome::Unknown) {
            self.persistence.pause(now);
        }
        let durable = self.intents.log.end_write(outcome);
        if !is_recent {
            self.intents.log.clear_recording_failures();
        }
        self.intents.ready.extend(durable);
        self.send_ready(effects);
        TermStatus::Continues
    }

    /// Handles the reply to a read of a page's revision that was sent at `sent`.
    pub(in crate::leader) fn intents_reread(
        &mut self,
        now: Duration,
        page: PageId,
        sent: Duration,
        reply: Result<KvReply, CallError>,
    ) {
        self.intents.pages_being_read.remove(&page);
        match reply {
            Ok(KvReply::Value(row)) => {
                self.intents.log.page_revision_read(page, row.map_or(0, |row| row.mod_revision))
            }
            Err(CallError::RateLimited) => self.persistence.pause(now),
            _ => {
                self.persistence.pause(now);
                if now.saturating_sub(sent) < MAX_FAILURE_AGE {
                    self.intents.log.page_revision_read_failed();
                }
            }
        }
    }

    /// Requests the next part of the list of stored intent pages.
    pub(in crate::leader) fn list_intents(&mut self, effects: &mut EffectSink) {
        let after = self.loading.after_key();
        if after.is_none() {
            self.intents.log.discard_former_pages();
        }
        self.call_kv(
            LeaderCall::ListIntents,
            KvRequest::List { prefix: record::PREFIX.into(), after },
            effects,
        );
    }

    /// Handles one part of the list of stored intent pages, and requests the next if there is more.
    pub(in crate::leader) fn intents_page_loaded(
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
            for fault in self.intents.log.load_former_page(&row.key, &row.value, row.mod_revision) {
                effects.log(LogLevel::Error, format!("intent record unreadable: reason={fault}"));
            }
        }
        if truncated {
            return self.list_intents(effects);
        }
        self.loading.list_completed();
        self.read_target(effects);
    }

    /// Adopts the intents that former leaders left open, before any task is placed. The machines of their
    /// returns count as leaving the fleet. Their rentals are requested again under the same names, so
    /// that a rental that was already carried out rents no further machines.
    pub(in crate::leader) fn adopt_intents(&mut self, now: Duration, effects: &mut EffectSink) {
        let adopted: Vec<(IdempotencyKey, CloudAction)> =
            self.intents.log.adopted().map(|intent| (intent.key.clone(), intent.action.clone())).collect();
        for (key, action) in &adopted {
            match action {
                CloudAction::Rent(rental) => self.scaling.retry_rental(now, rental.clone().into()),
                CloudAction::Return(request) => {
                    self.fleet.mark_inherited_returns(&request.machines);
                    self.scaling.release_requested(request.machines.iter().cloned());
                    self.intents.return_retries.push(ReturnRetry { due: now, key: key.clone() });
                }
            }
        }
        if !adopted.is_empty() {
            effects
                .log(LogLevel::Info, format!("intents adopted from former leaders: count={}", adopted.len()));
        }
    }
}
