//! Requests of users: takes jobs in, tells their state and cancels them,
//! straight in the state service and on any node.

use crate::budget::TokenBucket;
use crate::job::{JobId, JobRecord, JobSpec, Phase};
use crate::ledger::tasks_per_chunk;
use crate::node::{CallPurpose, EffectSink, StepTime};
use crate::protocol::{
    CallError, Condition, JobProgress, KeyValue, KvChange, KvReply, KvRequest, MachineType, RequestId,
    Response, Status,
};
use crate::reach::UserPermissions;
use crate::settings::Settings;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Requests under way at most; more are refused at once.
const MOST_PENDING: usize = 250;
/// Final states kept in memory; others are read again.
const MOST_FINALS: usize = 50_000;
/// Transactions with new jobs under way at most.
const MOST_BATCHES: usize = 4;
/// How long a new job may wait for the write budget.
const PATIENCE: Duration = Duration::from_millis(700);
/// While the state service fails, one request in this time tries it.
const PROBE: Duration = Duration::from_millis(200);
/// Attempts to cancel against a job that changes meanwhile.
const MOST_ATTEMPTS: u32 = 6;
/// Room left below the limit of 64 KiB for a transaction.
const TXN_BYTES: usize = 56 * 1024;
const RETRY: Duration = Duration::from_secs(1);
/// Pause after the state service said that too much was asked.
const BUSY: Duration = Duration::from_millis(100);

/// What a call to the state service is for.
#[derive(Debug, Clone, PartialEq)]
pub enum PendingRequest {
    Create(Vec<Create>),
    /// `over`: in the place of jobs that are over, since the first one is empty.
    Lookup {
        ask: RequestId,
        id: JobId,
        why: LookupReason,
        over: bool,
    },
    Cancel {
        ask: RequestId,
        id: JobId,
        record: Box<JobRecord>,
        attempts: u32,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub enum LookupReason {
    Status,
    /// A repeated submission, or one whose commit is in doubt.
    RepeatedSubmission,
    /// If the job is not known, this is the answer.
    RejectUnlessKnown(Response),
    Cancel {
        attempts: u32,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub struct Create {
    asks: Vec<RequestId>,
    id: JobId,
    value: String,
    since: Duration,
}

#[derive(Debug)]
pub struct RequestHandler {
    settings: Arc<Settings>,
    waiting: VecDeque<Create>,
    batches: usize,
    pending: usize,
    reads: TokenBucket,
    writes: TokenBucket,
    finals: HashMap<JobId, (Status, u32)>,
    finals_order: VecDeque<JobId>,
    seen: HashMap<JobId, (u32, u32)>,
    failing: bool,
    probed: Duration,
    held: Duration,
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
            waiting: VecDeque::new(),
            batches: 0,
            pending: 0,
            // The leader's own calls need the rest.
            reads: TokenBucket::new(
                settings.kv_requests_per_s * 0.7 / nodes,
                settings.kv_requests_per_s * 0.5 / nodes,
            ),
            writes: write_budget(settings.kv_changes_per_s, settings.nodes),
            settings,
            finals: HashMap::new(),
            finals_order: VecDeque::new(),
            seen: HashMap::new(),
            failing: false,
            probed: Duration::ZERO,
            held: Duration::ZERO,
            permissions: UserPermissions::ALL,
        }
    }

    /// What this node may do for users at present.
    pub fn permit(&mut self, permissions: UserPermissions) {
        self.permissions = permissions;
    }

    /// The state service may take less from now on.
    pub fn all_new(&mut self) {
        let (now, next) = (self.settings.kv_changes_per_s, self.settings.next_kv_changes_per_s);
        if next < now {
            self.writes = write_budget(next, self.settings.nodes);
        }
    }

    /// Remembers that a job is over; this never changes.
    pub fn over(&mut self, id: &JobId, status: Status, done: u32) {
        self.seen.remove(id);
        if self.finals.insert(id.clone(), (status, done)).is_none() {
            self.finals_order.push_back(id.clone());
        }
        while self.finals_order.len() > MOST_FINALS {
            if let Some(oldest) = self.finals_order.pop_front() {
                self.finals.remove(&oldest);
            }
        }
    }

    pub fn is_over(&self, id: &JobId) -> bool {
        self.finals.contains_key(id)
    }

    pub fn progress(&mut self, progress: &[JobProgress]) {
        self.seen.clear();
        for p in progress {
            if let Ok(id) = JobId::parse(&p.id) {
                self.seen.insert(id, (p.done, p.running));
            }
        }
    }

    fn unavailable(ask: RequestId, out: &mut EffectSink) {
        out.answer(ask, Response::Unavailable { retry_after: RETRY });
    }

    /// Whether one more request may go to the state service; if not, it has
    /// been refused at once.
    fn admit(&mut self, now: Duration, ask: RequestId, out: &mut EffectSink) -> bool {
        let probe = !self.failing || now.saturating_sub(self.probed) >= PROBE;
        if !probe || self.pending >= MOST_PENDING {
            Self::unavailable(ask, out);
            return false;
        }
        self.probed = now;
        true
    }

    fn look(&mut self, now: Duration, ask: RequestId, id: JobId, why: LookupReason, out: &mut EffectSink) {
        self.look_at(now, (ask, id, why), false, out);
    }

    fn look_at(
        &mut self,
        now: Duration,
        (ask, id, why): (RequestId, JobId, LookupReason),
        over: bool,
        out: &mut EffectSink,
    ) {
        if !self.reads.take(now, 1) {
            return Self::unavailable(ask, out);
        }
        self.pending += 1;
        let key = if over { id.archive_key() } else { id.key() };
        out.state(
            CallPurpose::UserRequest(PendingRequest::Lookup { ask, id, why, over }),
            KvRequest::Get { key },
        );
    }

    fn known(&self, ask: RequestId, id: &JobId, out: &mut EffectSink) -> bool {
        if !self.permissions.answer_from_memory {
            return false;
        }
        let Some((status, done)) = self.finals.get(id) else { return false };
        let answer =
            Response::Job { created: false, id: id.clone(), status: *status, done: *done, running: 0 };
        out.answer(ask, answer);
        true
    }

    pub fn submit(
        &mut self,
        times: StepTime,
        ask: RequestId,
        id: JobId,
        job: Result<JobSpec, String>,
        (rigs, takes_gangs): (&BTreeMap<String, MachineType>, bool),
        out: &mut EffectSink,
    ) {
        if self.known(ask, &id, out) {
            return;
        }
        if !self.permissions.accept {
            return Self::unavailable(ask, out);
        }
        if !self.admit(times.now, ask, out) {
            return;
        }
        // A known id is answered before the body is judged.
        let spec = match job {
            Ok(spec) => spec,
            Err(reason) => {
                return self.look(
                    times.now,
                    ask,
                    id,
                    LookupReason::RejectUnlessKnown(Response::BadRequest(reason)),
                    out,
                );
            }
        };
        if rigs.is_empty() {
            let later = Response::Unavailable { retry_after: RETRY };
            return self.look(times.now, ask, id, LookupReason::RejectUnlessKnown(later), out);
        }
        if let Some(reason) = self.impossible(&spec, rigs) {
            return self.look(
                times.now,
                ask,
                id,
                LookupReason::RejectUnlessKnown(Response::Unprocessable(reason)),
                out,
            );
        }
        // An older node would take it for an array.
        if spec.gang && !takes_gangs {
            let later = Response::Unavailable { retry_after: RETRY };
            return self.look(times.now, ask, id, LookupReason::RejectUnlessKnown(later), out);
        }
        if let Some(same) = self.waiting.iter_mut().find(|c| c.id == id) {
            same.asks.push(ask);
            return;
        }
        let record = JobRecord {
            phase: Phase::Active,
            tasks: spec.tasks,
            per_chunk: tasks_per_chunk(self.settings.max_value_bytes),
            spec: Some(spec),
            accepted_ms: times.wall_ms(),
            cancelled_ms: None,
        };
        match serde_json::to_string(&record) {
            Ok(value) if value.len() + 200 <= self.settings.max_value_bytes => {
                self.pending += 1;
                self.waiting.push_back(Create { asks: vec![ask], id, value, since: times.now });
            }
            _ => {
                let answer = Response::BadRequest("the job's description is too long".into());
                self.look(times.now, ask, id, LookupReason::RejectUnlessKnown(answer), out);
            }
        }
    }

    fn impossible(&self, spec: &JobSpec, rigs: &BTreeMap<String, MachineType>) -> Option<String> {
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
            let room = crate::job::Resources { cpus: r.cpus, gpus: r.gpus, ram_gb: r.ram };
            spec.demand.fits(&room) && spec.zone.as_ref().is_none_or(|z| r.zones.contains(z))
        };
        // At most half of a gang, rounded up, may be in one zone, and all of it runs at
        // the same time: it needs another.
        let zones: BTreeSet<&String> =
            rigs.values().filter(allowed).filter(|r| holds(r)).flat_map(|r| &r.zones).collect();
        let one = spec.single_zone || spec.zone.is_some() || zones.len() < 2;
        if spec.gang && spec.spread && spec.tasks > 1 && one {
            return Some("the tasks can't all be in one zone and at most half of them in each".into());
        }
        if !rigs.values().filter(allowed).any(holds) {
            return Some("no allowed machine type can hold a task".into());
        }
        None
    }

    pub fn poll(&mut self, now: Duration, ask: RequestId, id: JobId, out: &mut EffectSink) {
        if !self.known(ask, &id, out) && self.admit(now, ask, out) {
            self.look(now, ask, id, LookupReason::Status, out);
        }
    }

    pub fn abort(&mut self, now: Duration, ask: RequestId, id: JobId, out: &mut EffectSink) {
        if self.known(ask, &id, out) {
            return;
        }
        if !self.permissions.cancel {
            return Self::unavailable(ask, out);
        }
        if self.admit(now, ask, out) {
            self.look(now, ask, id, LookupReason::Cancel { attempts: 0 }, out);
        }
    }

    /// Whether new jobs wait for the write budget.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Sends what waits, as far as the write budget goes, and refuses what has
    /// waited too long.
    pub fn tick(&mut self, times: StepTime, out: &mut EffectSink) {
        let now = times.now;
        while self.waiting.front().is_some_and(|c| now.saturating_sub(c.since) > PATIENCE) {
            if let Some(create) = self.waiting.pop_front() {
                self.pending = self.pending.saturating_sub(1);
                for ask in create.asks {
                    Self::unavailable(ask, out);
                }
            }
        }
        while !self.waiting.is_empty() && self.batches < MOST_BATCHES && now >= self.held {
            let most = self.settings.max_txn_changes.min(self.writes.available(now));
            let mut bytes = 0;
            let mut batch = Vec::new();
            while let Some(create) = self.waiting.front() {
                bytes += create.value.len() + 300;
                if batch.len() >= most || bytes > TXN_BYTES {
                    break;
                }
                batch.extend(self.waiting.pop_front());
            }
            if batch.is_empty() || !self.writes.take(now, batch.len()) {
                self.waiting.extend(batch);
                return;
            }
            self.batches += 1;
            let keys = batch.iter().flat_map(|c| [c.id.key(), c.id.archive_key()]);
            let conditions = keys.map(|key| Condition { key, mod_revision: 0 }).collect();
            let changes = batch
                .iter()
                .map(|c| KvChange::Put { key: c.id.key(), value: c.value.clone(), lease: None })
                .collect();
            out.state(
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
        out: &mut EffectSink,
    ) -> Vec<KeyValue> {
        self.failing = matches!(reply, Err(CallError::Refused | CallError::OutcomeUnknown));
        let now = times.now;
        match request {
            PendingRequest::Create(batch) => {
                self.batches -= 1;
                self.pending = self.pending.saturating_sub(batch.len());
                self.created(now, batch, reply, out)
            }
            PendingRequest::Lookup { ask, id, why, over } => {
                self.pending -= 1;
                self.looked(times, (ask, id, why), over, reply, progress, out);
                Vec::new()
            }
            PendingRequest::Cancel { ask, id, record, attempts } => {
                self.pending -= 1;
                self.cancelled(now, ask, id, *record, attempts, reply, out)
            }
        }
    }

    fn created(
        &mut self,
        now: Duration,
        batch: Vec<Create>,
        reply: Result<KvReply, CallError>,
        out: &mut EffectSink,
    ) -> Vec<KeyValue> {
        let mut news = Vec::new();
        match reply {
            Ok(KvReply::Committed { revision: epoch }) => {
                for create in batch {
                    for ask in create.asks {
                        // It may have been cancelled while the answer was under way.
                        if self.known(ask, &create.id, out) {
                            continue;
                        }
                        out.answer(
                            ask,
                            Response::Job {
                                created: true,
                                id: create.id.clone(),
                                status: Status::Queued,
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
                        for ask in create.asks {
                            self.look(now, ask, create.id.clone(), LookupReason::RepeatedSubmission, out);
                        }
                    } else {
                        self.pending += 1;
                        self.waiting.push_front(create);
                    }
                }
            }
            Err(CallError::Refused | CallError::TooLarge) => {
                for ask in batch.into_iter().flat_map(|c| c.asks) {
                    Self::unavailable(ask, out);
                }
            }
            // Others used the budget: it comes back within the patience.
            Err(CallError::RateLimited) => {
                self.pending += batch.len();
                self.held = now + BUSY;
                for create in batch.into_iter().rev() {
                    self.waiting.push_front(create);
                }
            }
            // The commit may have happened: only the key can tell.
            _ => {
                for create in batch {
                    for ask in create.asks {
                        self.look(now, ask, create.id.clone(), LookupReason::RepeatedSubmission, out);
                    }
                }
            }
        }
        news
    }

    fn looked(
        &mut self,
        times: StepTime,
        (ask, id, why): (RequestId, JobId, LookupReason),
        over: bool,
        reply: Result<KvReply, CallError>,
        progress: &dyn Fn(&JobId) -> Option<(u32, u32)>,
        out: &mut EffectSink,
    ) {
        let row = match reply {
            Ok(KvReply::Value(row)) => row,
            _ => return Self::unavailable(ask, out),
        };
        // The read may be older than what was told meanwhile.
        if self.known(ask, &id, out) {
            return;
        }
        let Some(row) = row else {
            // It may have been moved there just now, in one transaction.
            if !over {
                return self.look_at(times.now, (ask, id, why), true, out);
            }
            return match why {
                LookupReason::Status | LookupReason::Cancel { .. } => out.answer(ask, Response::NotFound),
                LookupReason::RepeatedSubmission => Self::unavailable(ask, out),
                LookupReason::RejectUnlessKnown(answer) => out.answer(ask, answer),
            };
        };
        let Ok(record) = serde_json::from_str::<JobRecord>(&row.value) else {
            return Self::unavailable(ask, out);
        };
        match record.phase {
            Phase::Done => self.over(&id, Status::Done, record.tasks),
            Phase::Cancelled => self.over(&id, Status::Cancelled, 0),
            Phase::Active => {
                if let LookupReason::Cancel { attempts } = why {
                    return self.cancel(times, ask, id, record, row.mod_revision, attempts, out);
                }
                let known = progress(&id).or_else(|| self.seen.get(&id).copied());
                let (done, running) = known.unwrap_or_default();
                let status = Status::of(Phase::Active, running);
                return out.answer(ask, Response::Job { created: false, id, status, done, running });
            }
        }
        self.known(ask, &id, out);
    }

    #[allow(clippy::too_many_arguments)]
    fn cancel(
        &mut self,
        times: StepTime,
        ask: RequestId,
        id: JobId,
        mut record: JobRecord,
        stamp: u64,
        attempts: u32,
        out: &mut EffectSink,
    ) {
        if attempts >= MOST_ATTEMPTS || !self.writes.take(times.now, 1) {
            return Self::unavailable(ask, out);
        }
        record.phase = Phase::Cancelled;
        record.cancelled_ms = Some(times.wall_ms());
        let Some(value) = record.encode(self.settings.max_value_bytes) else {
            return Self::unavailable(ask, out);
        };
        self.pending += 1;
        let key = id.key();
        out.state(
            CallPurpose::UserRequest(PendingRequest::Cancel { ask, id, record: Box::new(record), attempts }),
            KvRequest::Txn {
                conditions: vec![Condition { key: key.clone(), mod_revision: stamp }],
                changes: vec![KvChange::Put { key, value, lease: None }],
            },
        );
    }

    #[allow(clippy::too_many_arguments)]
    fn cancelled(
        &mut self,
        now: Duration,
        ask: RequestId,
        id: JobId,
        record: JobRecord,
        attempts: u32,
        reply: Result<KvReply, CallError>,
        out: &mut EffectSink,
    ) -> Vec<KeyValue> {
        match reply {
            Ok(KvReply::Committed { revision: epoch }) => {
                self.over(&id, Status::Cancelled, 0);
                self.known(ask, &id, out);
                let Some(value) = record.encode(self.settings.max_value_bytes) else { return Vec::new() };
                return vec![KeyValue { key: id.key(), value, mod_revision: epoch }];
            }
            Err(CallError::Refused | CallError::RateLimited | CallError::TooLarge) => {
                Self::unavailable(ask, out)
            }
            // Changed meanwhile, or in doubt: look again and go on from there.
            _ => self.look(now, ask, id, LookupReason::Cancel { attempts: attempts + 1 }, out),
        }
        Vec::new()
    }
}
