//! Requests of users: takes jobs in, tells their state and cancels them,
//! straight in the state service and on any node.

use crate::calls::{CallPurpose, JobCreation, LookupReason, PendingRequest};
use crate::effects::{EffectSink, StepTime};
use crate::jobs::job::{JobId, JobPhase, JobRecord, JobSpec};
use crate::jobs::job_table::tasks_per_chunk;
use crate::protocol::{
    CallError, Condition, JobProgress, JobStatus, KeyValue, KvChange, KvReply, KvRequest, MachineType,
    RequestId, Response,
};
use crate::reachability::UserPermissions;
use crate::settings::Settings;
use crate::token_bucket::TokenBucket;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Requests under way at most; more are refused at once.
const MAX_PENDING: usize = 250;
/// Final states kept in memory; others are read again.
const MAX_FINALS: usize = 50_000;
/// Transactions with new jobs under way at most.
const MAX_BATCHES: usize = 4;
/// How long a new job may wait for the write budget.
const PATIENCE: Duration = Duration::from_millis(700);
/// While the state service fails, one request in this time tries it.
const PROBE: Duration = Duration::from_millis(200);
/// Attempts to cancel against a job that changes meanwhile.
const MAX_ATTEMPTS: u32 = 6;
/// Room left below the limit of 64 KiB for a transaction.
const TXN_BYTES: usize = 56 * 1024;
const RETRY: Duration = Duration::from_secs(1);
/// Pause after the state service said that too much was asked.
const BUSY: Duration = Duration::from_millis(100);

#[derive(Debug)]
pub struct RequestHandler {
    settings: Arc<Settings>,
    queued: VecDeque<JobCreation>,
    batches_in_flight: usize,
    requests_in_flight: usize,
    read_budget: TokenBucket,
    write_budget: TokenBucket,
    ended_jobs: HashMap<JobId, (JobStatus, u32)>,
    ended_order: VecDeque<JobId>,
    set_progress: HashMap<JobId, (u32, u32)>,
    kv_failing: bool,
    last_probe_at: Duration,
    writes_paused_until: Duration,
    permissions: UserPermissions,
}

/// A node's part of the changes that the state service takes, for its users.
fn write_budget(write_rps: f64, nodes: usize) -> TokenBucket {
    let nodes = nodes.max(1) as f64;
    TokenBucket::new(write_rps * 0.4 / nodes, write_rps / nodes)
}

impl RequestHandler {
    pub fn new(settings: Arc<Settings>) -> Self {
        let nodes = settings.nodes.max(1) as f64;
        Self {
            queued: VecDeque::new(),
            batches_in_flight: 0,
            requests_in_flight: 0,
            // The leader's own calls need the rest.
            read_budget: TokenBucket::new(
                settings.kv_requests_per_s * 0.7 / nodes,
                settings.kv_requests_per_s * 0.5 / nodes,
            ),
            write_budget: write_budget(settings.kv_changes_per_s, settings.nodes),
            settings,
            ended_jobs: HashMap::new(),
            ended_order: VecDeque::new(),
            set_progress: HashMap::new(),
            kv_failing: false,
            last_probe_at: Duration::ZERO,
            writes_paused_until: Duration::ZERO,
            permissions: UserPermissions::ALL,
        }
    }

    /// What this node may do for users at present.
    pub fn set_permissions(&mut self, permissions: UserPermissions) {
        self.permissions = permissions;
    }

    /// The state service may take less from now on.
    pub fn set_all_nodes_upgraded(&mut self) {
        let (now, next) = (self.settings.kv_changes_per_s, self.settings.next_kv_changes_per_s);
        if next < now {
            self.write_budget = write_budget(next, self.settings.nodes);
        }
    }

    /// Remembers that a job is over; this never changes.
    pub fn record_ended(&mut self, id: &JobId, status: JobStatus, done: u32) {
        self.set_progress.remove(id);
        if self.ended_jobs.insert(id.clone(), (status, done)).is_none() {
            self.ended_order.push_back(id.clone());
        }
        while self.ended_order.len() > MAX_FINALS {
            if let Some(oldest) = self.ended_order.pop_front() {
                self.ended_jobs.remove(&oldest);
            }
        }
    }

    pub fn is_ended(&self, id: &JobId) -> bool {
        self.ended_jobs.contains_key(id)
    }

    pub fn progress(&mut self, progress: &[JobProgress]) {
        self.set_progress.clear();
        for p in progress {
            if let Ok(id) = JobId::parse(&p.id) {
                self.set_progress.insert(id, (p.done, p.running));
            }
        }
    }

    fn unavailable(request: RequestId, effects: &mut EffectSink) {
        effects.respond(request, Response::Unavailable { retry_after: RETRY });
    }

    /// Whether one more request may go to the state service; if not, it has
    /// been refused at once.
    fn admit(&mut self, now: Duration, request: RequestId, effects: &mut EffectSink) -> bool {
        let probe = !self.kv_failing || now.saturating_sub(self.last_probe_at) >= PROBE;
        if !probe || self.requests_in_flight >= MAX_PENDING {
            Self::unavailable(request, effects);
            return false;
        }
        self.last_probe_at = now;
        true
    }

    fn lookup(
        &mut self,
        now: Duration,
        request: RequestId,
        id: JobId,
        why: LookupReason,
        effects: &mut EffectSink,
    ) {
        self.lookup_in(now, (request, id, why), false, effects);
    }

    fn lookup_in(
        &mut self,
        now: Duration,
        (request, id, why): (RequestId, JobId, LookupReason),
        over: bool,
        effects: &mut EffectSink,
    ) {
        if !self.read_budget.take(now, 1) {
            return Self::unavailable(request, effects);
        }
        self.requests_in_flight += 1;
        let key = if over { id.archive_key() } else { id.key() };
        effects.call_kv(
            CallPurpose::UserRequest(PendingRequest::Lookup { request, id, reason: why, archived: over }),
            KvRequest::Get { key },
        );
    }

    fn answer_if_ended(&self, request: RequestId, id: &JobId, effects: &mut EffectSink) -> bool {
        if !self.permissions.answer_from_memory {
            return false;
        }
        let Some((status, done)) = self.ended_jobs.get(id) else { return false };
        let answer =
            Response::Job { created: false, id: id.clone(), status: *status, done: *done, running: 0 };
        effects.respond(request, answer);
        true
    }

    pub fn submit(
        &mut self,
        times: StepTime,
        request: RequestId,
        id: JobId,
        job: Result<JobSpec, String>,
        (machine_types, takes_gangs): (&BTreeMap<String, MachineType>, bool),
        effects: &mut EffectSink,
    ) {
        if self.answer_if_ended(request, &id, effects) {
            return;
        }
        if !self.permissions.accept {
            return Self::unavailable(request, effects);
        }
        if !self.admit(times.now, request, effects) {
            return;
        }
        // A known id is answered before the body is judged.
        let spec = match job {
            Ok(spec) => spec,
            Err(reason) => {
                return self.lookup(
                    times.now,
                    request,
                    id,
                    LookupReason::RejectUnlessKnown(Response::BadRequest(reason)),
                    effects,
                );
            }
        };
        if machine_types.is_empty() {
            let later = Response::Unavailable { retry_after: RETRY };
            return self.lookup(times.now, request, id, LookupReason::RejectUnlessKnown(later), effects);
        }
        if let Some(reason) = self.unsatisfiable(&spec, machine_types) {
            return self.lookup(
                times.now,
                request,
                id,
                LookupReason::RejectUnlessKnown(Response::Unprocessable(reason)),
                effects,
            );
        }
        // An older node would take it for an array.
        if spec.gang && !takes_gangs {
            let later = Response::Unavailable { retry_after: RETRY };
            return self.lookup(times.now, request, id, LookupReason::RejectUnlessKnown(later), effects);
        }
        if let Some(same) = self.queued.iter_mut().find(|c| c.id == id) {
            same.requests.push(request);
            return;
        }
        let record = JobRecord {
            phase: JobPhase::Active,
            tasks: spec.tasks,
            per_chunk: tasks_per_chunk(self.settings.max_value_bytes),
            spec: Some(spec),
            accepted_ms: times.wall_ms(),
            cancelled_ms: None,
        };
        match serde_json::to_string(&record) {
            Ok(value) if value.len() + 200 <= self.settings.max_value_bytes => {
                self.requests_in_flight += 1;
                self.queued.push_back(JobCreation {
                    requests: vec![request],
                    id,
                    value,
                    queued_at: times.now,
                });
            }
            _ => {
                let answer = Response::BadRequest("the job's description is too long".into());
                self.lookup(times.now, request, id, LookupReason::RejectUnlessKnown(answer), effects);
            }
        }
    }

    fn unsatisfiable(&self, spec: &JobSpec, machine_types: &BTreeMap<String, MachineType>) -> Option<String> {
        let Some(team) = self.settings.teams.get(&spec.team) else {
            return Some("no such team".into());
        };
        if spec.demand.cpus > team.max_cpus + 1e-9 || spec.demand.gpus > team.max_gpus + 1e-9 {
            return Some("one task needs more than the team's limit".into());
        }
        if spec.gang {
            let all = spec.demand.times(spec.tasks);
            if all.cpus > team.max_cpus + 1e-6 || all.gpus > team.max_gpus + 1e-6 {
                return Some("all tasks together need more than the team's limit".into());
            }
        }
        let allowed =
            |r: &&MachineType| spec.machine_types.as_ref().is_none_or(|list| list.contains(&r.name));
        let holds = |r: &MachineType| {
            let room = crate::jobs::job::Resources { cpus: r.cpus, gpus: r.gpus, ram_gb: r.ram };
            spec.demand.fits(&room) && spec.zone.as_ref().is_none_or(|z| r.zones.contains(z))
        };
        // At most half of a gang, rounded up, may be in one zone, and all of it runs at
        // the same time: it needs another.
        let zones: BTreeSet<&String> =
            machine_types.values().filter(allowed).filter(|r| holds(r)).flat_map(|r| &r.zones).collect();
        let one = spec.single_zone || spec.zone.is_some() || zones.len() < 2;
        if spec.gang && spec.spread && spec.tasks > 1 && one {
            return Some("the tasks can't all be in one zone and at most half of them in each".into());
        }
        if !machine_types.values().filter(allowed).any(holds) {
            return Some("no allowed machine type can hold a task".into());
        }
        None
    }

    pub fn poll(&mut self, now: Duration, request: RequestId, id: JobId, effects: &mut EffectSink) {
        if !self.answer_if_ended(request, &id, effects) && self.admit(now, request, effects) {
            self.lookup(now, request, id, LookupReason::Status, effects);
        }
    }

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
            return Self::unavailable(request, effects);
        }
        if self.admit(now, request, effects) {
            self.lookup(now, request, id, LookupReason::Cancel { attempts: 0 }, effects);
        }
    }

    /// Whether new jobs wait for the write budget.
    pub fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    /// Sends what waits, as far as the write budget goes, and refuses what has
    /// waited too long.
    pub fn tick(&mut self, times: StepTime, effects: &mut EffectSink) {
        let now = times.now;
        while self.queued.front().is_some_and(|c| now.saturating_sub(c.queued_at) > PATIENCE) {
            if let Some(create) = self.queued.pop_front() {
                self.requests_in_flight = self.requests_in_flight.saturating_sub(1);
                for request in create.requests {
                    Self::unavailable(request, effects);
                }
            }
        }
        while !self.queued.is_empty()
            && self.batches_in_flight < MAX_BATCHES
            && now >= self.writes_paused_until
        {
            let most = self.settings.max_txn_changes.min(self.write_budget.available(now));
            let mut bytes = 0;
            let mut batch = Vec::new();
            while let Some(create) = self.queued.front() {
                bytes += create.value.len() + 300;
                if batch.len() >= most || bytes > TXN_BYTES {
                    break;
                }
                batch.extend(self.queued.pop_front());
            }
            if batch.is_empty() || !self.write_budget.take(now, batch.len()) {
                self.queued.extend(batch);
                return;
            }
            self.batches_in_flight += 1;
            let keys = batch.iter().flat_map(|c| [c.id.key(), c.id.archive_key()]);
            let conditions = keys.map(|key| Condition { key, mod_revision: 0 }).collect();
            let changes = batch
                .iter()
                .map(|c| KvChange::Put { key: c.id.key(), value: c.value.clone(), lease: None })
                .collect();
            effects.call_kv(
                CallPurpose::UserRequest(PendingRequest::Create(batch)),
                KvRequest::Txn { conditions, changes },
            );
        }
    }

    /// Handles a reply; returns job rows that are news to a leader here.
    pub fn reply(
        &mut self,
        times: StepTime,
        request: PendingRequest,
        reply: Result<KvReply, CallError>,
        progress: &dyn Fn(&JobId) -> Option<(u32, u32)>,
        effects: &mut EffectSink,
    ) -> Vec<KeyValue> {
        self.kv_failing = matches!(reply, Err(CallError::Refused | CallError::OutcomeUnknown));
        let now = times.now;
        match request {
            PendingRequest::Create(batch) => {
                self.batches_in_flight -= 1;
                self.requests_in_flight = self.requests_in_flight.saturating_sub(batch.len());
                self.creation_reply(now, batch, reply, effects)
            }
            PendingRequest::Lookup { request, id, reason: why, archived: over } => {
                self.requests_in_flight -= 1;
                self.lookup_reply(times, (request, id, why), over, reply, progress, effects);
                Vec::new()
            }
            PendingRequest::Cancel { request, id, record, attempts } => {
                self.requests_in_flight -= 1;
                self.cancellation_reply(now, request, id, *record, attempts, reply, effects)
            }
        }
    }

    fn creation_reply(
        &mut self,
        now: Duration,
        batch: Vec<JobCreation>,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) -> Vec<KeyValue> {
        let mut news = Vec::new();
        match reply {
            Ok(KvReply::Committed { revision: epoch }) => {
                for create in batch {
                    for request in create.requests {
                        // It may have been cancelled while the answer was under way.
                        if self.answer_if_ended(request, &create.id, effects) {
                            continue;
                        }
                        effects.respond(
                            request,
                            Response::Job {
                                created: true,
                                id: create.id.clone(),
                                status: JobStatus::Queued,
                                done: 0,
                                running: 0,
                            },
                        );
                    }
                    news.push(KeyValue { key: create.id.key(), value: create.value, mod_revision: epoch });
                }
            }
            Ok(KvReply::Conflict { failed }) => {
                for create in batch {
                    if failed.contains(&create.id.key()) || failed.contains(&create.id.archive_key()) {
                        for request in create.requests {
                            self.lookup(
                                now,
                                request,
                                create.id.clone(),
                                LookupReason::RepeatedSubmission,
                                effects,
                            );
                        }
                    } else {
                        self.requests_in_flight += 1;
                        self.queued.push_front(create);
                    }
                }
            }
            Err(CallError::Refused | CallError::TooLarge) => {
                for request in batch.into_iter().flat_map(|c| c.requests) {
                    Self::unavailable(request, effects);
                }
            }
            // Others used the budget: it comes back within the patience.
            Err(CallError::RateLimited) => {
                self.requests_in_flight += batch.len();
                self.writes_paused_until = now + BUSY;
                for create in batch.into_iter().rev() {
                    self.queued.push_front(create);
                }
            }
            // The commit may have happened: only the key can tell.
            _ => {
                for create in batch {
                    for request in create.requests {
                        self.lookup(
                            now,
                            request,
                            create.id.clone(),
                            LookupReason::RepeatedSubmission,
                            effects,
                        );
                    }
                }
            }
        }
        news
    }

    fn lookup_reply(
        &mut self,
        times: StepTime,
        (request, id, why): (RequestId, JobId, LookupReason),
        over: bool,
        reply: Result<KvReply, CallError>,
        progress: &dyn Fn(&JobId) -> Option<(u32, u32)>,
        effects: &mut EffectSink,
    ) {
        let row = match reply {
            Ok(KvReply::Value(row)) => row,
            _ => return Self::unavailable(request, effects),
        };
        // The read may be older than what was told meanwhile.
        if self.answer_if_ended(request, &id, effects) {
            return;
        }
        let Some(row) = row else {
            // It may have been moved there just now, in one transaction.
            if !over {
                return self.lookup_in(times.now, (request, id, why), true, effects);
            }
            return match why {
                LookupReason::Status | LookupReason::Cancel { .. } => {
                    effects.respond(request, Response::NotFound)
                }
                LookupReason::RepeatedSubmission => Self::unavailable(request, effects),
                LookupReason::RejectUnlessKnown(answer) => effects.respond(request, answer),
            };
        };
        let Ok(record) = serde_json::from_str::<JobRecord>(&row.value) else {
            return Self::unavailable(request, effects);
        };
        match record.phase {
            JobPhase::Done => self.record_ended(&id, JobStatus::Done, record.tasks),
            JobPhase::Cancelled => self.record_ended(&id, JobStatus::Cancelled, 0),
            JobPhase::Active => {
                if let LookupReason::Cancel { attempts } = why {
                    return self.write_cancellation(
                        times,
                        request,
                        id,
                        record,
                        row.mod_revision,
                        attempts,
                        effects,
                    );
                }
                let known = progress(&id).or_else(|| self.set_progress.get(&id).copied());
                let (done, running) = known.unwrap_or_default();
                let status = JobStatus::of(JobPhase::Active, running);
                return effects.respond(request, Response::Job { created: false, id, status, done, running });
            }
        }
        self.answer_if_ended(request, &id, effects);
    }

    #[allow(clippy::too_many_arguments)]
    fn write_cancellation(
        &mut self,
        times: StepTime,
        request: RequestId,
        id: JobId,
        mut record: JobRecord,
        mod_revision: u64,
        attempts: u32,
        effects: &mut EffectSink,
    ) {
        if attempts >= MAX_ATTEMPTS || !self.write_budget.take(times.now, 1) {
            return Self::unavailable(request, effects);
        }
        record.phase = JobPhase::Cancelled;
        record.cancelled_ms = Some(times.wall_ms());
        let Some(value) = record.encode(self.settings.max_value_bytes) else {
            return Self::unavailable(request, effects);
        };
        self.requests_in_flight += 1;
        let key = id.key();
        effects.call_kv(
            CallPurpose::UserRequest(PendingRequest::Cancel {
                request,
                id,
                record: Box::new(record),
                attempts,
            }),
            KvRequest::Txn {
                conditions: vec![Condition { key: key.clone(), mod_revision }],
                changes: vec![KvChange::Put { key, value, lease: None }],
            },
        );
    }

    #[allow(clippy::too_many_arguments)]
    fn cancellation_reply(
        &mut self,
        now: Duration,
        request: RequestId,
        id: JobId,
        record: JobRecord,
        attempts: u32,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) -> Vec<KeyValue> {
        match reply {
            Ok(KvReply::Committed { revision: epoch }) => {
                self.record_ended(&id, JobStatus::Cancelled, 0);
                self.answer_if_ended(request, &id, effects);
                let Some(value) = record.encode(self.settings.max_value_bytes) else { return Vec::new() };
                return vec![KeyValue { key: id.key(), value, mod_revision: epoch }];
            }
            Err(CallError::Refused | CallError::RateLimited | CallError::TooLarge) => {
                Self::unavailable(request, effects)
            }
            // Changed meanwhile, or in doubt: look again and go on from there.
            _ => self.lookup(now, request, id, LookupReason::Cancel { attempts: attempts + 1 }, effects),
        }
        Vec::new()
    }
}
