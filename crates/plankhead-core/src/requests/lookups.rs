//! Lookups: reads of a job's record for a user, first under the key of active jobs and then under the
//! key of archived ones.

use super::{respond_unavailable, RequestHandler, TaskCounts};
use crate::calls::{CallPurpose, Cancellation, Lookup, LookupReason, UserRequestCall};
use crate::effects::{EffectSink, StepTime};
use crate::jobs::job::{JobId, JobPhase, JobRecord};
use crate::protocol::{CallError, JobStatus, KvReply, KvRequest, RequestId, Response};
use std::time::Duration;

impl RequestHandler {
    /// Reads a job's record under the key of active jobs.
    pub(super) fn lookup(
        &mut self,
        now: Duration,
        request: RequestId,
        id: JobId,
        reason: LookupReason,
        effects: &mut EffectSink,
    ) {
        self.send_lookup(now, Lookup { request, id, reason, archived: false }, effects);
    }

    fn send_lookup(&mut self, now: Duration, lookup: Lookup, effects: &mut EffectSink) {
        if !self.read_budget.take(now, 1) {
            return respond_unavailable(lookup.request, effects);
        }
        self.requests_in_flight += 1;
        let key = if lookup.archived { lookup.id.archive_key() } else { lookup.id.key() };
        effects.call_kv(CallPurpose::UserRequest(UserRequestCall::Lookup(lookup)), KvRequest::Get { key });
    }

    /// Handles the reply to a lookup.
    pub(super) fn lookup_reply(
        &mut self,
        times: StepTime,
        lookup: Lookup,
        reply: Result<KvReply, CallError>,
        progress: &dyn Fn(&JobId) -> Option<TaskCounts>,
        effects: &mut EffectSink,
    ) {
        let Ok(KvReply::Value(row)) = reply else {
            return respond_unavailable(lookup.request, effects);
        };
        // The job may have ended since its record was read.
        if self.answer_if_ended(lookup.request, &lookup.id, effects) {
            return;
        }
        let Some(row) = row else {
            return self.record_missing(times.now, lookup, effects);
        };
        let Lookup { request, id, reason, .. } = lookup;
        let Ok(record) = serde_json::from_str::<JobRecord>(&row.value) else {
            return respond_unavailable(request, effects);
        };
        match record.phase {
            JobPhase::Done => self.record_ended(&id, JobStatus::Done, record.tasks),
            JobPhase::Cancelled => self.record_ended(&id, JobStatus::Cancelled, 0),
            JobPhase::Active => {
                if let LookupReason::Cancel { attempts } = reason {
                    let cancellation = Cancellation { request, id, record, attempts };
                    return self.write_cancellation(times, cancellation, row.mod_revision, effects);
                }
                let known = progress(&id).or_else(|| self.leader_progress.get(&id).copied());
                let TaskCounts { done, running } = known.unwrap_or_default();
                let status = JobStatus::of(JobPhase::Active, running);
                return effects.respond(request, Response::Job { created: false, id, status, done, running });
            }
        }
        self.answer_if_ended(request, &id, effects);
    }

    /// Handles a lookup whose key does not exist.
    fn record_missing(&mut self, now: Duration, lookup: Lookup, effects: &mut EffectSink) {
        // The job may have been archived. One transaction moves its record, so the archive key exists
        // as soon as the key of active jobs does not.
        if !lookup.archived {
            return self.send_lookup(now, Lookup { archived: true, ..lookup }, effects);
        }
        match lookup.reason {
            LookupReason::Status | LookupReason::Cancel { .. } => {
                effects.respond(lookup.request, Response::NotFound)
            }
            LookupReason::RepeatedSubmission => respond_unavailable(lookup.request, effects),
            LookupReason::RejectUnlessKnown(response) => effects.respond(lookup.request, response),
        }
    }
}
