//! Submission of jobs: decides which jobs are accepted, and writes their records in batches.

use super::validation::check_satisfiable;
use super::{respond_unavailable, RequestHandler, RETRY_AFTER};
use crate::calls::{CallPurpose, JobCreation, LookupReason, UserRequestCall};
use crate::effects::{EffectSink, StepTime};
use crate::jobs::job::{JobId, JobPhase, JobRecord, JobSpec};
use crate::jobs::job_table::tasks_per_chunk;
use crate::protocol::{
    CallError, Condition, JobStatus, KeyValue, KvChange, KvReply, KvRequest, MachineType, RequestId,
    Response, SpecRejection,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of transactions with new jobs in flight.
const MAX_BATCHES_IN_FLIGHT: usize = 4;
/// The maximum time for which a new job waits for the write budget.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(700);
/// The pause in writes after the state service has refused one because of its rate limit.
const RATE_LIMIT_PAUSE: Duration = Duration::from_millis(100);
/// The maximum size of a transaction, with a margin below the state service's limit of 64 KiB.
const MAX_TXN_BYTES: usize = 56 * 1024;
/// The bytes that a job takes in a transaction in addition to its value.
const CREATION_OVERHEAD_BYTES: usize = 300;
/// The bytes that a new job's record leaves free below the maximum size of values, for the fields that
/// are added to the record later.
const RECORD_HEADROOM_BYTES: usize = 200;

/// A user's request to run a job.
#[derive(Debug)]
pub struct Submission {
    pub request: RequestId,
    pub id: JobId,
    pub job: Result<JobSpec, SpecRejection>,
}

/// What the acceptance of a submission depends on, in addition to the settings.
#[derive(Debug, Clone, Copy)]
pub struct SubmissionContext<'a> {
    /// The machine types by name; empty until the list has been read once.
    pub machine_types: &'a BTreeMap<String, MachineType>,
    /// Whether all nodes support gangs; a node that does not would treat a gang as a job array.
    pub gangs_allowed: bool,
}

/// The decision about a submitted job.
enum Decision {
    Accepted(JobSpec),
    /// The request is answered with this response, unless a job with its id already exists.
    Rejected(Response),
}

impl RequestHandler {
    /// Handles a user's submission of a job.
    pub fn submit(
        &mut self,
        times: StepTime,
        submission: Submission,
        context: SubmissionContext<'_>,
        effects: &mut EffectSink,
    ) {
        let Submission { request, id, job } = submission;
        if self.answer_if_ended(request, &id, effects) {
            return;
        }
        if !self.permissions.accept {
            return respond_unavailable(request, effects);
        }
        if !self.admit(times.now, request, effects) {
            return;
        }
        let spec = match self.decide(job, context) {
            Decision::Accepted(spec) => spec,
            Decision::Rejected(response) => {
                return self.reject_unless_known(times.now, request, id, response, effects);
            }
        };
        if let Some(queued) = self.queued.iter_mut().find(|creation| creation.id == id) {
            queued.requests.push(request);
            return;
        }
        match self.encode_new_record(spec, times) {
            Ok(value) => {
                self.requests_in_flight += 1;
                let requests = vec![request];
                self.queued.push_back(JobCreation { requests, id, value, queued_at: times.now });
            }
            Err(reason) => {
                let response = Response::BadRequest(reason);
                self.reject_unless_known(times.now, request, id, response, effects);
            }
        }
    }

    /// Decides whether a submitted job can be accepted now.
    fn decide(&self, job: Result<JobSpec, SpecRejection>, context: SubmissionContext<'_>) -> Decision {
        let spec = match job {
            Ok(spec) => spec,
            Err(reason) => return Decision::Rejected(Response::BadRequest(reason)),
        };
        if context.machine_types.is_empty() {
            return Decision::Rejected(Response::Unavailable { retry_after: RETRY_AFTER });
        }
        if let Err(reason) = check_satisfiable(&spec, &self.settings, context.machine_types) {
            return Decision::Rejected(Response::Unprocessable(reason));
        }
        if spec.gang && !context.gangs_allowed {
            return Decision::Rejected(Response::Unavailable { retry_after: RETRY_AFTER });
        }
        Decision::Accepted(spec)
    }

    /// Responds with `response`, unless a job with this id exists. In that case the response is the
    /// status of the existing job, whatever the submission contains.
    fn reject_unless_known(
        &mut self,
        now: Duration,
        request: RequestId,
        id: JobId,
        response: Response,
        effects: &mut EffectSink,
    ) {
        self.lookup(now, request, id, LookupReason::RejectUnlessKnown(response), effects);
    }

    fn encode_new_record(&self, spec: JobSpec, times: StepTime) -> Result<String, SpecRejection> {
        let record = JobRecord {
            phase: JobPhase::Active,
            tasks: spec.tasks,
            per_chunk: tasks_per_chunk(self.settings.max_value_bytes),
            spec: Some(spec),
            accepted_ms: times.wall_ms(),
            cancelled_ms: None,
        };
        match serde_json::to_string(&record) {
            Ok(value) if value.len() + RECORD_HEADROOM_BYTES <= self.settings.max_value_bytes => Ok(value),
            _ => Err(SpecRejection::TooLong),
        }
    }

    /// Whether new jobs are waiting for the write budget.
    pub fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    /// Refuses the jobs that have waited too long, and writes the others as far as the write budget
    /// allows.
    pub fn tick(&mut self, times: StepTime, effects: &mut EffectSink) {
        let now = times.now;
        self.refuse_expired(now, effects);
        while !self.queued.is_empty()
            && self.batches_in_flight < MAX_BATCHES_IN_FLIGHT
            && now >= self.writes_paused_until
        {
            let batch = self.take_batch(now);
            if batch.is_empty() || !self.write_budget.take(now, batch.len()) {
                self.queued.extend(batch);
                return;
            }
            self.batches_in_flight += 1;
            write_batch(batch, effects);
        }
    }

    fn refuse_expired(&mut self, now: Duration, effects: &mut EffectSink) {
        let is_expired = |creation: &JobCreation| now.saturating_sub(creation.queued_at) > QUEUE_TIMEOUT;
        while self.queued.front().is_some_and(is_expired) {
            if let Some(creation) = self.queued.pop_front() {
                self.requests_in_flight = self.requests_in_flight.saturating_sub(1);
                for request in creation.requests {
                    respond_unavailable(request, effects);
                }
            }
        }
    }

    fn take_batch(&mut self, now: Duration) -> Vec<JobCreation> {
        let max_changes = self.settings.max_txn_changes.min(self.write_budget.available(now));
        let mut bytes = 0;
        let mut batch = Vec::new();
        while let Some(creation) = self.queued.front() {
            bytes += creation.value.len() + CREATION_OVERHEAD_BYTES;
            if batch.len() >= max_changes || bytes > MAX_TXN_BYTES {
                break;
            }
            batch.extend(self.queued.pop_front());
        }
        batch
    }

    /// Handles the reply to a batch. Returns the rows that the batch has written.
    pub(super) fn creation_reply(
        &mut self,
        now: Duration,
        batch: Vec<JobCreation>,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) -> Vec<KeyValue> {
        match reply {
            Ok(KvReply::Committed { revision }) => {
                return self.batch_committed(batch, revision, effects);
            }
            Ok(KvReply::Conflict { failed }) => self.batch_conflicted(now, batch, &failed, effects),
            Err(CallError::Refused | CallError::TooLarge) => {
                for request in batch.into_iter().flat_map(|creation| creation.requests) {
                    respond_unavailable(request, effects);
                }
            }
            // Other clients have used up the rate limit; writes are possible again within
            // `QUEUE_TIMEOUT`.
            Err(CallError::RateLimited) => {
                self.requests_in_flight += batch.len();
                self.writes_paused_until = now + RATE_LIMIT_PAUSE;
                for creation in batch.into_iter().rev() {
                    self.queued.push_front(creation);
                }
            }
            // The batch may have been committed, which only the jobs' keys show.
            _ => {
                for creation in batch {
                    self.lookup_for_all(now, creation, effects);
                }
            }
        }
        Vec::new()
    }

    fn batch_committed(
        &mut self,
        batch: Vec<JobCreation>,
        revision: u64,
        effects: &mut EffectSink,
    ) -> Vec<KeyValue> {
        let mut written = Vec::new();
        for JobCreation { requests, id, value, .. } in batch {
            for request in requests {
                // The job may have been cancelled while the reply was in flight.
                if self.answer_if_ended(request, &id, effects) {
                    continue;
                }
                let (status, done, running) = (JobStatus::Queued, 0, 0);
                let response = Response::Job { created: true, id: id.clone(), status, done, running };
                effects.respond(request, response);
            }
            written.push(KeyValue { key: id.key(), value, mod_revision: revision });
        }
        written
    }

    /// Handles a batch that was not written because some of its jobs exist already. `failed` contains
    /// the keys of these jobs; the other jobs are queued again.
    fn batch_conflicted(
        &mut self,
        now: Duration,
        batch: Vec<JobCreation>,
        failed: &[String],
        effects: &mut EffectSink,
    ) {
        for creation in batch {
            if failed.contains(&creation.id.key()) || failed.contains(&creation.id.archive_key()) {
                self.lookup_for_all(now, creation, effects);
            } else {
                self.requests_in_flight += 1;
                self.queued.push_front(creation);
            }
        }
    }

    /// Reads the job's record once for each request that is waiting for it.
    fn lookup_for_all(&mut self, now: Duration, creation: JobCreation, effects: &mut EffectSink) {
        for request in creation.requests {
            let id = creation.id.clone();
            self.lookup(now, request, id, LookupReason::RepeatedSubmission, effects);
        }
    }
}

/// Creates the jobs in one transaction, on the condition that none of them exists, active or archived.
fn write_batch(batch: Vec<JobCreation>, effects: &mut EffectSink) {
    let keys = batch.iter().flat_map(|creation| [creation.id.key(), creation.id.archive_key()]);
    let conditions = keys.map(|key| Condition { key, mod_revision: 0 }).collect();
    let put = |creation: &JobCreation| KvChange::Put {
        key: creation.id.key(),
        value: creation.value.clone(),
        lease: None,
    };
    let changes = batch.iter().map(put).collect();
    effects.call_kv(
        CallPurpose::UserRequest(UserRequestCall::Create(batch)),
        KvRequest::Txn { conditions, changes },
    );
}
