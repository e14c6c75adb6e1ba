//! Cancellation of jobs: reads a job's record and writes it as cancelled, on the condition that it has
//! not changed in between.

use super::{respond_unavailable, RequestHandler};
use crate::calls::{CallPurpose, Cancellation, LookupReason, UserRequestCall};
use crate::effects::{EffectSink, StepTime};
use crate::jobs::job::{JobId, JobPhase};
use crate::protocol::{CallError, Condition, JobStatus, KeyValue, KvChange, KvReply, KvRequest, RequestId};
use std::time::Duration;

/// The maximum number of attempts to cancel a job whose record keeps changing.
const MAX_CANCEL_ATTEMPTS: u32 = 6;

impl RequestHandler {
    /// Handles a user's request to cancel a job.
    pub fn cancel_requested(
        &mut self,
        now: Duration,
        request: RequestId,
        id: JobId,
        effects: &mut EffectSink,
    ) {
        if self.answer_if_ended(request, &id, effects) {
            return;
        }
        if !self.permissions.cancel {
            return respond_unavailable(request, effects);
        }
        if self.admit(now, request, effects) {
            self.lookup(now, request, id, LookupReason::Cancel { attempts: 0 }, effects);
        }
    }

    /// Writes the record as cancelled, on the condition that its mod revision is still `mod_revision`.
    pub(super) fn write_cancellation(
        &mut self,
        times: StepTime,
        mut cancellation: Cancellation,
        mod_revision: u64,
        effects: &mut EffectSink,
    ) {
        if cancellation.attempts >= MAX_CANCEL_ATTEMPTS || !self.write_budget.take(times.now, 1) {
            return respond_unavailable(cancellation.request, effects);
        }
        cancellation.record.phase = JobPhase::Cancelled;
        cancellation.record.cancelled_ms = Some(times.wall_ms());
        let Some(value) = cancellation.record.encode(self.settings.max_value_bytes) else {
            return respond_unavailable(cancellation.request, effects);
        };
        self.requests_in_flight += 1;
        let key = cancellation.id.key();
        effects.call_kv(
            CallPurpose::UserRequest(UserRequestCall::Cancel(Box::new(cancellation))),
            KvRequest::Txn {
                conditions: vec![Condition { key: key.clone(), mod_revision }],
                changes: vec![KvChange::Put { key, value, lease: None }],
            },
        );
    }

    /// Handles the reply to the write of a cancelled record. Returns the row if it was written.
    pub(super) fn cancellation_reply(
        &mut self,
        now: Duration,
        cancellation: Cancellation,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) -> Option<KeyValue> {
        let Cancellation { request, id, record, attempts } = cancellation;
        match reply {
            Ok(KvReply::Committed { revision }) => {
                self.record_ended(&id, JobStatus::Cancelled, 0);
                self.answer_if_ended(request, &id, effects);
                let value = record.encode(self.settings.max_value_bytes)?;
                return Some(KeyValue { key: id.key(), value, mod_revision: revision });
            }
            Err(CallError::Refused | CallError::RateLimited | CallError::TooLarge) => {
                respond_unavailable(request, effects)
            }
            // The record has changed, or the outcome is unknown: start over by reading the record.
            _ => self.lookup(now, request, id, LookupReason::Cancel { attempts: attempts + 1 }, effects),
        }
        None
    }
}
