//! Requests of users: accepts jobs, tells their state and cancels them, directly in the
//! state service and on any node.

mod cancellation;
mod ended_jobs;
mod lookups;
mod submission;
mod validation;

use crate::calls::{JobCreation, LookupReason, PendingRequest};
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

/// Requests in flight at the same time; more are refused at once.
const MAX_REQUESTS_IN_FLIGHT: usize = 250;
/// While the state service fails, one request in this time tries it.
const KV_PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// When a user who can't be served now should try again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Shares of the state service's limits that users' requests may use; the leader's own calls
/// need the rest.
const READ_RATE_SHARE: f64 = 0.5;
const READ_BURST_SHARE: f64 = 0.7;
const WRITE_BURST_SHARE: f64 = 0.4;

/// How many of a job's tasks completed, and how many run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TaskCounts {
    pub done: u32,
    pub running: u32,
}

/// The requests of one node's users.
#[derive(Debug)]
pub struct RequestHandler {
    settings: Arc<Settings>,
    /// New jobs that wait for the write budget.
    queued: VecDeque<JobCreation>,
    batches_in_flight: usize,
    requests_in_flight: usize,
    read_budget: TokenBucket,
    write_budget: TokenBucket,
    writes_paused_until: Duration,
    ended_jobs: EndedJobs,
    /// The progress of jobs as the leader's latest peer heartbeat told it.
    leader_progress: HashMap<JobId, TaskCounts>,
    /// The latest call to the state service on behalf of a user failed.
    kv_failing: bool,
    last_kv_probe_at: Duration,
    permissions: UserPermissions,
}

/// A node's part of the state service's changes for its users.
fn write_budget(changes_per_s: f64, nodes: usize) -> TokenBucket {
    let nodes = nodes.max(1) as f64;
    TokenBucket::new(changes_per_s * WRITE_BURST_SHARE / nodes, changes_per_s / nodes)
}

/// A node's part of the state service's reads for its users.
fn read_budget(requests_per_s: f64, nodes: usize) -> TokenBucket {
    let nodes = nodes.max(1) as f64;
    TokenBucket::new(requests_per_s * READ_BURST_SHARE / nodes, requests_per_s * READ_RATE_SHARE / nodes)
}

fn respond_unavailable(request: RequestId, effects: &mut EffectSink) {
    effects.respond(request, Response::Unavailable { retry_after: RETRY_AFTER });
}

impl RequestHandler {
    /// A handler that knows no job yet.
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
            last_kv_probe_at: Duration::ZERO,
            permissions: UserPermissions::ALL,
        }
    }

    /// Sets what this node may do for users at present.
    pub fn set_permissions(&mut self, permissions: UserPermissions) {
        self.permissions = permissions;
    }

    /// Every node has this version: the state service may allow fewer changes from now on.
    pub fn set_all_nodes_upgraded(&mut self) {
        let (current, next) = (self.settings.kv_changes_per_s, self.settings.next_kv_changes_per_s);
        if next < current {
            self.write_budget = write_budget(next, self.settings.nodes);
        }
    }

    /// Remembers that a job is over, which never changes; `done`: its completed tasks.
    pub fn record_ended(&mut self, id: &JobId, status: JobStatus, done: u32) {
        self.leader_progress.remove(id);
        self.ended_jobs.record(id, EndedJob { status, done });
    }

    /// Whether the job is remembered as over.
    pub fn is_ended(&self, id: &JobId) -> bool {
        self.ended_jobs.contains(id)
    }

    /// Takes in the progress of jobs that a leader's peer heartbeat tells.
    pub fn set_leader_progress(&mut self, progress: &[JobProgress]) {
        self.leader_progress.clear();
        for JobProgress { id, done, running } in progress {
            if let Ok(id) = JobId::parse(id) {
                self.leader_progress.insert(id, TaskCounts { done: *done, running: *running });
            }
        }
    }

    /// Whether one more request may go to the state service; if not, it is refused at once.
    fn admit(&mut self, now: Duration, request: RequestId, effects: &mut EffectSink) -> bool {
        let may_try = !self.kv_failing || now.saturating_sub(self.last_kv_probe_at) >= KV_PROBE_INTERVAL;
        if !may_try || self.requests_in_flight >= MAX_REQUESTS_IN_FLIGHT {
            respond_unavailable(request, effects);
            return false;
        }
        self.last_kv_probe_at = now;
        true
    }

    /// Answers a request about a job that is remembered as over; false if it is not, or if
    /// this node may not answer from memory now.
    fn answer_if_ended(&self, request: RequestId, id: &JobId, effects: &mut EffectSink) -> bool {
        if !self.permissions.answer_from_memory {
            return false;
        }
        let Some(EndedJob { status, done }) = self.ended_jobs.get(id) else { return false };
        let response = Response::Job { created: false, id: id.clone(), status, done, running: 0 };
        effects.respond(request, response);
        true
    }

    /// A user asks for a job's state.
    pub fn poll(&mut self, now: Duration, request: RequestId, id: JobId, effects: &mut EffectSink) {
        if !self.answer_if_ended(request, &id, effects) && self.admit(now, request, effects) {
            self.lookup(now, request, id, LookupReason::Status, effects);
        }
    }

    /// Handles a reply; returns rows of job records that have changed, for a leader here.
    pub fn reply(
        &mut self,
        times: StepTime,
        request: PendingRequest,
        reply: Result<KvReply, CallError>,
        progress: &dyn Fn(&JobId) -> Option<TaskCounts>,
        effects: &mut EffectSink,
    ) -> Vec<KeyValue> {
        self.kv_failing = matches!(reply, Err(CallError::Refused | CallError::OutcomeUnknown));
        match request {
            PendingRequest::Create(batch) => {
                self.batches_in_flight -= 1;
                self.requests_in_flight = self.requests_in_flight.saturating_sub(batch.len());
                self.creation_reply(times.now, batch, reply, effects)
            }
            PendingRequest::Lookup(lookup) => {
                self.requests_in_flight -= 1;
                self.lookup_reply(times, lookup, reply, progress, effects);
                Vec::new()
            }
            PendingRequest::Cancel(cancellation) => {
                self.requests_in_flight -= 1;
                self.cancellation_reply(times.now, *cancellation, reply, effects).into_iter().collect()
            }
        }
    }
}
