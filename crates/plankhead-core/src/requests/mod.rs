//! User requests: submitting a job, reading its status and cancelling it. Every node handles them by
//! reading and writing the state service itself, without the leader.

mod cancellation;
mod ended_jobs;
mod lookups;
mod submission;
mod validation;

use crate::calls::{JobCreation, LookupReason, UserRequestCall};
use crate::effects::{EffectSink, StepTime};
use crate::jobs::job::JobId;
use crate::protocol::{CallError, JobProgress, JobStatus, KeyValue, KvReply, RequestId, Response};
use crate::reachability::UserPermissions;
use crate::settings::Settings;
use crate::token_bucket::TokenBucket;
use ended_jobs::{EndedJob, EndedJobs};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
pub use submission::{Submission, SubmissionContext};

/// The maximum number of requests in flight; further ones are refused at once.
const MAX_REQUESTS_IN_FLIGHT: usize = 250;
/// The minimum interval between requests that are passed on to the state service while it is failing.
const KV_PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// The time after which a user whose request can't be handled now should retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The shares of the state service's limits per second that the user requests of all nodes may use; the
/// leader's own calls need the rest. A burst of writes may be as large as the whole limit per second.
const READ_RATE_SHARE: f64 = 0.7;
const READ_BURST_SHARE: f64 = 0.5;
const WRITE_RATE_SHARE: f64 = 0.4;

/// The numbers of a job's tasks that have completed and that are running.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TaskCounts {
    pub done: u32,
    pub running: u32,
}

/// Handles the user requests that arrive at one node.
#[derive(Debug)]
pub struct RequestHandler {
    settings: Arc<Settings>,
    /// New jobs that are waiting for the write budget.
    queued: VecDeque<JobCreation>,
    batches_in_flight: usize,
    requests_in_flight: usize,
    read_budget: TokenBucket,
    write_budget: TokenBucket,
    writes_paused_until: Duration,
    ended_jobs: EndedJobs,
    /// The progress of jobs from the leader's latest peer heartbeat.
    leader_progress: HashMap<JobId, TaskCounts>,
    /// Whether the latest reply to a call on behalf of a user was a failure of the state service.
    kv_failing: bool,
    last_admitted_at: Duration,
    permissions: UserPermissions,
}

/// Returns the budget of one node for changes on behalf of its users.
fn write_budget(changes_per_s: f64, nodes: usize) -> TokenBucket {
    let nodes = nodes.max(1) as f64;
    TokenBucket::new(changes_per_s * WRITE_RATE_SHARE / nodes, changes_per_s / nodes)
}

/// Returns the budget of one node for reads on behalf of its users.
fn read_budget(requests_per_s: f64, nodes: usize) -> TokenBucket {
    let nodes = nodes.max(1) as f64;
    TokenBucket::new(requests_per_s * READ_RATE_SHARE / nodes, requests_per_s * READ_BURST_SHARE / nodes)
}

fn respond_unavailable(request: RequestId, effects: &mut EffectSink) {
    effects.respond(request, Response::Unavailable { retry_after: RETRY_AFTER });
}

impl RequestHandler {
    /// Creates a handler with no requests in flight and no known jobs.
    pub fn new(settings: Arc<Settings>) -> Self {
        Self {
            queued: VecDeque::new(),
            batches_in_flight: 0,
            requests_in_flight: 0,
            read_budget: read_budget(settings.kv_requests_per_s, settings.nodes),
            write_budget: write_budget(settings.kv_changes_per_s, settings.nodes),
            settings,
            writes_paused_until: Duration::ZERO,
            ended_jobs: EndedJobs::default(),
            leader_progress: HashMap::new(),
            kv_failing: false,
            last_admitted_at: Duration::ZERO,
            permissions: UserPermissions::ALL,
        }
    }

    /// Sets what this node may currently do for users.
    pub fn set_permissions(&mut self, permissions: UserPermissions) {
        self.permissions = permissions;
    }

    /// Records that all nodes run this version. From then on, the state service may allow fewer changes,
    /// so the write budget is reduced to the next limit in the settings.
    pub fn set_all_nodes_upgraded(&mut self) {
        let (current, next) = (self.settings.kv_changes_per_s, self.settings.next_kv_changes_per_s);
        if next < current {
            self.write_budget = write_budget(next, self.settings.nodes);
        }
    }

    /// Records that a job has ended, with its final status and the number of its completed tasks.
    pub fn record_ended(&mut self, id: &JobId, status: JobStatus, done: u32) {
        self.leader_progress.remove(id);
        self.ended_jobs.record(id, EndedJob { status, done });
    }

    /// Whether the job is remembered as ended.
    pub fn is_ended(&self, id: &JobId) -> bool {
        self.ended_jobs.contains(id)
    }

    /// Replaces the progress of jobs by that from a leader's peer heartbeat.
    pub fn set_leader_progress(&mut self, progress: &[JobProgress]) {
        self.leader_progress.clear();
        for JobProgress { id, done, running } in progress {
            if let Ok(id) = JobId::parse(id) {
                self.leader_progress.insert(id, TaskCounts { done: *done, running: *running });
            }
        }
    }

    /// Returns whether a request may be passed on to the state service. If not, responds to it that the
    /// service is unavailable.
    fn admit(&mut self, now: Duration, request: RequestId, effects: &mut EffectSink) -> bool {
        let may_try = !self.kv_failing || now.saturating_sub(self.last_admitted_at) >= KV_PROBE_INTERVAL;
        if !may_try || self.requests_in_flight >= MAX_REQUESTS_IN_FLIGHT {
            respond_unavailable(request, effects);
            return false;
        }
        self.last_admitted_at = now;
        true
    }

    /// Answers a request about a job that is remembered as ended. Returns false, without an answer, if
    /// the job is not remembered or this node may currently not answer from memory.
    fn answer_if_ended(&self, request: RequestId, id: &JobId, effects: &mut EffectSink) -> bool {
        if !self.permissions.answer_from_memory {
            return false;
        }
        let Some(EndedJob { status, done }) = self.ended_jobs.get(id) else { return false };
        let response = Response::Job { created: false, id: id.clone(), status, done, running: 0 };
        effects.respond(request, response);
        true
    }

    /// Handles a user's request for a job's status.
    pub fn status_requested(
        &mut self,
        now: Duration,
        request: RequestId,
        id: JobId,
        effects: &mut EffectSink,
    ) {
        if !self.answer_if_ended(request, &id, effects) && self.admit(now, request, effects) {
            self.lookup(now, request, id, LookupReason::Status, effects);
        }
    }

    /// Handles a reply of the state service. Returns the rows of job records that were written, so that a
    /// leader on this node learns of them.
    pub fn handle_reply(
        &mut self,
        times: StepTime,
        request: UserRequestCall,
        reply: Result<KvReply, CallError>,
        progress: &dyn Fn(&JobId) -> Option<TaskCounts>,
        effects: &mut EffectSink,
    ) -> Vec<KeyValue> {
        self.kv_failing = matches!(reply, Err(CallError::Refused | CallError::OutcomeUnknown));
        match request {
            UserRequestCall::Create(batch) => {
                self.batches_in_flight -= 1;
                self.requests_in_flight = self.requests_in_flight.saturating_sub(batch.len());
                self.creation_reply(times.now, batch, reply, effects)
            }
            UserRequestCall::Lookup(lookup) => {
                self.requests_in_flight -= 1;
                self.lookup_reply(times, lookup, reply, progress, effects);
                Vec::new()
            }
            UserRequestCall::Cancel(cancellation) => {
                self.requests_in_flight -= 1;
                self.cancellation_reply(times.now, *cancellation, reply, effects).into_iter().collect()
            }
        }
    }
}
