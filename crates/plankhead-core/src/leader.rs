//! The leader's role: it knows every job, places tasks, minds the workers and
//! sizes the fleet. Whatever it writes fails once somebody else leads.

use crate::budget::Bucket;
use crate::desk::Desk;
use crate::easy::{self, Running, Slot};
use crate::election;
use crate::fleet::{Fleet, Leaving, Machine, Pool};
use crate::job::{JobId, JobRecord, JobSpec, Phase, Resources, Urgency};
use crate::ledger::{Ended, Entry, Ledger};
use crate::node::{Out, Purpose, Times};
use crate::protocol::{
    Answer, CallError, Cause, Change, CloudOp, CloudReply, Condition, HostName, KeyEvent, Level, ListedHost,
    Order, OrdersReply, Progress, Report, Row, Seen, StateOp, StateReply, Status, TaskId,
};
use crate::queue::{mark_guaranteed, TeamRoom, Work};
use crate::replay::{self, Arrival};
use crate::settings::Settings;
use crate::sizing;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

const TARGET: &str = "target";
/// How long the watch on the jobs waits; its return proves that no
/// cancellation up to its start is unseen.
const WATCH: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(250);
/// Ends that need no hurry are written together after this time.
const ENDS_WAIT: Duration = Duration::from_millis(1200);
/// Transactions under way at most.
const MOST_TXNS: usize = 4;
const TXN_BYTES: usize = 56 * 1024;
/// Jobs that one pass looks at.
const MOST_WORK: usize = 400;
/// Orders in one answer to a worker: its lines must stay below 64 KiB.
const MOST_ORDERS: usize = 300;
/// Time a saving task is given at the most.
const MOST_LEEWAY: Duration = Duration::from_secs(10);
/// While a new leader reads, it keeps the workers' leases for this long.
const LOAD_PATIENCE: Duration = Duration::from_secs(6);
/// No starts once the jobs were not seen afresh for this long.
const STALE: Duration = Duration::from_secs(4);
/// A worker that refused a task for room is left alone this long.
const FULL_PAUSE: Duration = Duration::from_secs(2);
const LATE_SCAN: Duration = Duration::from_secs(5);
/// A job is stuck when nothing of it has started for this long.
const STUCK: Duration = Duration::from_secs(120);
/// A machine without work goes back after this time at the earliest.
const IDLE: Duration = Duration::from_secs(3);
/// A worker that got no answer needs 4 s to notice and a second to ask another
/// node, which sends it here; silent for longer and a report, it is lost.
const SILENT: Duration = Duration::from_millis(5500);
/// How long a stopped task takes to be gone, usually.
const STOPPING: Duration = Duration::from_millis(300);
/// Tasks stopped for others in one pass at most.
const MOST_STOPS: usize = 64;
/// A task that needed more attempts than this is not stopped again.
const MOST_PREEMPTED: u64 = 2;
/// Time between rounds while no machine is up yet.
const COLD_ROUND: Duration = Duration::from_secs(5);
/// Arrivals remembered for the replay, and the shortest time that they are
/// taken to tell a rate.
const MOST_ARRIVALS: usize = 1_000;
const LEAST_WINDOW: Duration = Duration::from_secs(20);

/// What a leader's call is for.
#[derive(Debug, Clone, PartialEq)]
pub enum Deed {
    ListJobs,
    ListChunks,
    ReadTarget,
    Follow { sent: Duration },
    Write(Batch),
    ReadChunk(JobId, u32),
    ReadJob(JobId),
    Sweep(Vec<String>),
    Target,
    Hosts,
    Hire { name: String, pool: Pool, count: u32 },
    Release(Vec<HostName>),
    Orders { host: HostName, shift: u64, runs: Vec<(TaskId, u64)> },
}

/// What one transaction makes durable.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Batch {
    chunks: Vec<(JobId, u32, u64)>,
    finals: Vec<JobId>,
}

/// A round's decision, as the state service keeps it.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Target {
    pub round: u64,
    pub at_ms: u64,
    pub rigs: BTreeMap<String, Size>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Size {
    /// Machines of the type.
    pub machines: u32,
    /// How many of them must not be spot.
    pub ordinary: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Loading,
    Ready,
}

#[derive(Debug)]
pub struct Leader {
    settings: Arc<Settings>,
    pub baton: u64,
    began: Duration,
    stage: Stage,
    pub ledger: Ledger,
    pub fleet: Fleet,
    rows: Vec<(JobId, u32, String, u64)>,
    page_after: Option<String>,
    load_due: Option<Duration>,
    /// The revision up to which the jobs are known; `fresh`: as of when.
    epoch: Option<u64>,
    fresh: Duration,
    following: bool,
    follow_due: Duration,
    txns: usize,
    hold_until: Duration,
    writes: Bucket,
    cloud: Bucket,
    reading: HashSet<String>,
    garbage: Vec<String>,
    sweeping: bool,
    /// Something changed that may let tasks start.
    dirty: bool,
    pub target: Target,
    round_due: Duration,
    target_dirty: bool,
    target_writing: bool,
    hires: u64,
    hiring: Vec<(String, Pool, u32)>,
    retry_hires: Vec<(Duration, String, Pool, u32)>,
    releasing: BTreeSet<HostName>,
    release_due: Duration,
    hosts_due: Duration,
    listing: bool,
    list: Vec<ListedHost>,
    image_sizes: HashMap<Arc<str>, f64>,
    /// Run time over estimate, by class.
    ratios: HashMap<String, f64>,
    late_due: Duration,
    /// Whether silence of a machine could be blamed on the machine.
    sound: bool,
    /// The jobs of the last interval: when each came, and what it was.
    arrivals: VecDeque<(Duration, Arc<JobSpec>)>,
}

impl Leader {
    pub fn new(settings: Arc<Settings>, baton: u64, now: Duration) -> Self {
        Self {
            baton,
            began: now,
            stage: Stage::Loading,
            ledger: Ledger::default(),
            fleet: Fleet::default(),
            rows: Vec::new(),
            page_after: None,
            load_due: None,
            epoch: None,
            fresh: now,
            following: false,
            follow_due: now,
            txns: 0,
            hold_until: Duration::ZERO,
            writes: Bucket::new(settings.write_rps * 0.6, settings.write_rps * 0.5),
            cloud: Bucket::new(settings.cloud_rps * 0.8, settings.cloud_rps),
            reading: HashSet::new(),
            garbage: Vec::new(),
            sweeping: false,
            dirty: true,
            target: Target::default(),
            round_due: now,
            target_dirty: false,
            target_writing: false,
            hires: 0,
            hiring: Vec::new(),
            retry_hires: Vec::new(),
            releasing: BTreeSet::new(),
            release_due: now,
            hosts_due: now,
            listing: false,
            list: Vec::new(),
            image_sizes: HashMap::new(),
            ratios: HashMap::new(),
            late_due: now,
            sound: true,
            arrivals: VecDeque::new(),
            settings,
        }
    }

    fn state(&self, deed: Deed, op: StateOp, out: &mut Out) {
        out.state(Purpose::Leader(self.baton, deed), op);
    }

    /// The condition under which alone the leader writes.
    fn lead(&self) -> Condition {
        Condition { key: election::KEY.into(), stamp: self.baton }
    }

    // ----- taking over -----

    pub fn load(&mut self, now: Duration, out: &mut Out) {
        if self.epoch.is_none() {
            self.fresh = now;
        }
        let after = self.page_after.clone();
        self.state(Deed::ListJobs, StateOp::List { prefix: "job/".into(), after }, out);
    }

    fn list_chunks(&mut self, out: &mut Out) {
        let after = self.page_after.clone();
        self.state(Deed::ListChunks, StateOp::List { prefix: "run/".into(), after }, out);
    }

    fn loaded_jobs(
        &mut self,
        times: Times,
        reply: Result<StateReply, CallError>,
        desk: &mut Desk,
        out: &mut Out,
    ) {
        let Ok(StateReply::Page { rows, truncated, epoch }) = reply else {
            self.load_due = Some(times.now + PAUSE);
            return;
        };
        self.epoch.get_or_insert(epoch);
        self.page_after = rows.last().map(|r| r.key.clone());
        for row in &rows {
            self.job_row(times, row, desk);
        }
        if truncated {
            return self.load(times.now, out);
        }
        self.page_after = None;
        self.list_chunks(out);
    }

    fn loaded_chunks(&mut self, times: Times, reply: Result<StateReply, CallError>, out: &mut Out) {
        let Ok(StateReply::Page { rows, truncated, .. }) = reply else {
            self.load_due = Some(times.now + PAUSE);
            return;
        };
        self.page_after = rows.last().map(|r| r.key.clone());
        for row in rows {
            let mut parts = row.key.splitn(3, '/').skip(1);
            let id = parts.next().and_then(|id| JobId::parse(id).ok());
            let number = parts.next().and_then(|n| n.parse::<u32>().ok());
            match (id, number) {
                (Some(id), Some(_)) if !self.ledger.jobs.contains_key(&id) => {
                    self.garbage.push(row.key);
                }
                (Some(id), Some(number)) => self.rows.push((id, number, row.value, row.stamp)),
                _ => out.log(Level::Error, format!("strange key {}", row.key)),
            }
        }
        if truncated {
            return self.list_chunks(out);
        }
        self.page_after = None;
        self.state(Deed::ReadTarget, StateOp::Get { key: TARGET.into() }, out);
    }

    fn loaded_target(&mut self, times: Times, reply: Result<StateReply, CallError>, out: &mut Out) {
        let Ok(StateReply::Got(row)) = reply else {
            self.load_due = Some(times.now + PAUSE);
            return;
        };
        let now = times.now;
        for (id, number, value, stamp) in std::mem::take(&mut self.rows) {
            if let Err(error) = self.ledger.load_chunk(&id, number, &value, stamp, now) {
                // Nothing may be started for a job whose attempts are unknown.
                out.log(Level::Error, format!("placements of {id} can't be read: {error}"));
                self.ledger.remove(&id);
            }
        }
        self.ledger.loaded();
        if let Some(target) = row.and_then(|r| serde_json::from_str::<Target>(&r.value).ok()) {
            let at = times.at_wall(target.at_ms);
            self.round_due = (at + self.settings.sizing.interval).min(now + self.settings.sizing.interval);
            self.target = target;
        }
        for machine in self.fleet.machines.values_mut() {
            machine.heard = machine.heard.max(now);
        }
        for host in self.ledger_hosts() {
            self.fleet.expect(&host, now);
        }
        self.stage = Stage::Ready;
        let reports: Vec<Report> = self.fleet.machines.values().filter_map(|m| m.report.clone()).collect();
        for report in reports {
            self.observe(times, &report, out);
        }
        out.log(
            Level::Info,
            format!(
                "took over {} jobs and {} machines in {} ms",
                self.ledger.jobs.len(),
                self.fleet.machines.len(),
                now.saturating_sub(self.began).as_millis()
            ),
        );
        self.dirty = true;
    }

    fn ledger_hosts(&self) -> Vec<HostName> {
        self.ledger.hosts().cloned().collect()
    }

    /// Takes in a job's row from the state service.
    pub fn job_row(&mut self, times: Times, row: &Row, desk: &mut Desk) {
        let Some(id) = row.key.strip_prefix("job/").and_then(|id| JobId::parse(id).ok()) else { return };
        let Ok(record) = serde_json::from_str::<JobRecord>(&row.value) else { return };
        match record.phase {
            Phase::Done => {
                desk.over(&id, Status::Done, record.tasks);
                if let Some(entry) = self.ledger.remove(&id) {
                    self.discard(&id, &entry);
                }
                return;
            }
            Phase::Cancelled => desk.over(&id, Status::Cancelled, 0),
            Phase::Live => {}
        }
        let accepted = times.at_wall(record.accepted_ms);
        let cancelled = record.cancelled_ms.map(|ms| times.at_wall(ms));
        if let Some(spec) = &record.spec {
            self.image_sizes.insert(spec.image.as_str().into(), spec.image_gb);
        }
        let per_chunk = record.per_chunk.max(1);
        if record.phase == Phase::Live && !self.ledger.jobs.contains_key(&id) {
            if let Some(spec) = &record.spec {
                self.arrivals.push_back((accepted, Arc::new(spec.clone())));
                if self.arrivals.len() > MOST_ARRIVALS {
                    self.arrivals.pop_front();
                }
            }
        }
        self.ledger.upsert(&id, record, row.stamp, accepted, cancelled, per_chunk);
        self.dirty = true;
    }

    fn discard(&mut self, id: &JobId, entry: &Entry) {
        let stored = entry.chunks.iter().filter(|(_, c)| c.stamp > 0 || c.stale);
        self.garbage.extend(stored.map(|(n, _)| id.chunk_key(*n)));
    }

    // ----- replies -----

    /// Handles a reply of the state service; false: somebody else leads.
    pub fn state_reply(
        &mut self,
        times: Times,
        deed: Deed,
        reply: Result<StateReply, CallError>,
        desk: &mut Desk,
        out: &mut Out,
    ) -> bool {
        let now = times.now;
        match deed {
            Deed::ListJobs => self.loaded_jobs(times, reply, desk, out),
            Deed::ListChunks => self.loaded_chunks(times, reply, out),
            Deed::ReadTarget => self.loaded_target(times, reply, out),
            Deed::Follow { sent } => {
                self.following = false;
                match reply {
                    Ok(StateReply::Events { epoch, events }) => {
                        for event in events {
                            if let KeyEvent::Written(row) = event {
                                self.job_row(times, &row, desk);
                            }
                        }
                        self.epoch = self.epoch.max(Some(epoch));
                        self.fresh = self.fresh.max(sent);
                        self.tell_kills(out);
                    }
                    Ok(StateReply::Compacted) => return false,
                    _ => self.follow_due = now + PAUSE,
                }
            }
            Deed::Write(batch) => return self.written(times, batch, reply, desk, out),
            Deed::ReadChunk(id, number) => {
                self.reading.remove(&id.chunk_key(number));
                if let Ok(StateReply::Got(row)) = reply {
                    self.ledger.restamp(&id, number, row.map_or(0, |r| r.stamp));
                } else {
                    self.hold_until = now + PAUSE;
                }
            }
            Deed::ReadJob(id) => {
                self.reading.remove(&id.key());
                match reply {
                    Ok(StateReply::Got(Some(row))) => self.job_row(times, &row, desk),
                    Ok(StateReply::Got(None)) => {
                        out.log(Level::Error, format!("the record of {id} is missing"));
                        self.hold_until = now + PAUSE;
                    }
                    _ => self.hold_until = now + PAUSE,
                }
            }
            Deed::Sweep(keys) => {
                self.sweeping = false;
                match reply {
                    Ok(StateReply::Committed { .. }) => {}
                    Ok(StateReply::Conflict { .. }) => return false,
                    _ => self.garbage.extend(keys),
                }
            }
            Deed::Target => {
                self.target_writing = false;
                match reply {
                    Ok(StateReply::Committed { .. }) => {}
                    Ok(StateReply::Conflict { .. }) => return false,
                    _ => self.target_dirty = true,
                }
            }
            _ => {}
        }
        true
    }

    fn written(
        &mut self,
        times: Times,
        batch: Batch,
        reply: Result<StateReply, CallError>,
        desk: &mut Desk,
        out: &mut Out,
    ) -> bool {
        let now = times.now;
        self.txns -= 1;
        let (mut failed, mut lost) = (Vec::new(), false);
        match reply {
            Ok(StateReply::Committed { epoch }) => {
                let mut hosts = BTreeSet::new();
                for (id, number, version) in &batch.chunks {
                    hosts.extend(self.ledger.committed(id, *number, *version, epoch));
                }
                for id in &batch.finals {
                    if let Some(entry) = self.ledger.remove(id) {
                        desk.over(id, Status::Done, entry.spec.tasks);
                    }
                }
                for host in hosts {
                    self.tell(now, &host, out);
                }
                return true;
            }
            Ok(StateReply::Conflict { failed: keys }) => failed = keys,
            Err(CallError::Refused) => self.hold_until = now + PAUSE,
            _ => lost = true,
        }
        if failed.iter().any(|k| k == election::KEY) {
            return false;
        }
        // A transaction whose reply was lost may still be applied: before the
        // next write, the stamps are read again.
        for (id, number, _) in &batch.chunks {
            let stale = lost || failed.contains(&id.chunk_key(*number));
            self.ledger.write_failed(id, *number, stale);
        }
        let jobs = batch.chunks.iter().map(|(id, ..)| id).chain(&batch.finals);
        for id in jobs {
            if let Some(entry) = self.ledger.jobs.get_mut(id) {
                entry.stale |= failed.contains(&id.key());
                if batch.finals.contains(id) {
                    entry.finishing = false;
                    entry.stale |= lost;
                }
            }
        }
        true
    }

    pub fn cloud_reply(
        &mut self,
        times: Times,
        deed: Deed,
        reply: Result<CloudReply, CallError>,
        out: &mut Out,
    ) {
        let now = times.now;
        match (deed, reply) {
            (Deed::Hosts, Ok(CloudReply::Page { hosts, truncated })) => {
                self.listing = false;
                self.list.extend(hosts);
                if truncated {
                    self.hosts_due = now;
                } else {
                    let list = std::mem::take(&mut self.list);
                    self.fleet.listed(&list, now);
                }
            }
            (Deed::Hosts, _) => {
                self.listing = false;
                self.list.clear();
            }
            (Deed::Hire { name, pool, count }, Ok(CloudReply::Hired(hosts))) => {
                self.hiring.retain(|(n, ..)| *n != name);
                self.fleet.hired(&hosts, &pool, count, now);
            }
            (Deed::Hire { name, pool, .. }, Ok(CloudReply::NoCapacity)) => {
                self.hiring.retain(|(n, ..)| *n != name);
                self.fleet.refused(&pool, now);
                out.log(Level::Debug, format!("no capacity in {} (spot: {})", pool.zone, pool.spot));
            }
            // In doubt, the same name is used again: it rents once at most.
            (Deed::Hire { name, pool, count }, _) => {
                self.retry_hires.push((now + PAUSE * 4, name, pool, count));
            }
            (Deed::Release(hosts), Ok(CloudReply::Released)) => {
                for host in hosts {
                    self.releasing.remove(&host);
                    self.fleet.released(&host);
                    let freed = self.ledger.host_gone(&host, now);
                    if freed > 0 {
                        out.log(Level::Debug, format!("{host} is gone with {freed} tasks"));
                    }
                }
                self.dirty = true;
            }
            (Deed::Release(hosts), _) => {
                for host in hosts {
                    self.releasing.remove(&host);
                }
                self.release_due = now + PAUSE * 2;
            }
            _ => {}
        }
    }

    pub fn orders_reply(&mut self, times: Times, deed: Deed, reply: OrdersReply, desk: &Desk, out: &mut Out) {
        let Deed::Orders { host, shift, runs } = deed else { return };
        let Some(machine) = self.fleet.machines.get_mut(&host) else { return };
        machine.busy = false;
        if !matches!(reply, OrdersReply::Unanswered) {
            machine.haunted.retain(|(t, n, s)| *s != shift || !runs.contains(&(t.clone(), *n)));
        }
        if let OrdersReply::Answered(report) = reply {
            if report.host == host && self.fleet.observe(&report, times.now) {
                self.observe(times, &report, out);
            }
        }
        let _ = desk;
        self.tell(times.now, &host, out);
    }

    // ----- workers -----

    /// Whether workers may still be answered: their leases must run out before
    /// a cancellation that we could not see is due.
    fn may_answer(&self, now: Duration) -> bool {
        let s = &self.settings;
        let blind = now.saturating_sub(self.fresh);
        let bound = s.cancel.saturating_sub(s.lease + Duration::from_secs(2));
        match self.stage {
            Stage::Loading => now.saturating_sub(self.began) < LOAD_PATIENCE.min(bound),
            Stage::Ready => blind < bound,
        }
    }

    pub fn beat(&mut self, times: Times, report: Report, desk: &Desk, out: &mut Out) -> Answer {
        let now = times.now;
        if !self.may_answer(now) || self.fleet.is_gone(&report.host) {
            return Answer::Unavailable { retry: Duration::from_secs(1) };
        }
        let host = report.host.clone();
        if self.fleet.observe(&report, now) && self.stage == Stage::Ready {
            self.observe(times, &report, out);
        }
        let orders = match self.stage {
            Stage::Loading => Vec::new(),
            Stage::Ready => self.orders(now, &host, desk),
        };
        Answer::Beat { baton: self.baton, orders }
    }

    /// Draws the conclusions from a new report.
    fn observe(&mut self, times: Times, report: &Report, out: &mut Out) {
        let now = times.now;
        let ended = self.ledger.observe(report, now);
        for listed in &report.tasks {
            if listed.seen != Seen::Running {
                continue;
            }
            if let Some(entry) = self.ledger.jobs.get(&listed.task.job) {
                let (image, gb) = (entry.spec.image.as_str().into(), entry.spec.image_gb);
                self.fleet.imaged(&report.host, &image, gb, &self.image_sizes);
            }
        }
        for end in ended {
            self.ended(now, &report.host, &end, out);
            self.dirty = true;
        }
        if let Some(left) = report.warning {
            self.leave_in_time(now, &report.host, left, out);
        }
        if let Some(machine) = self.fleet.machines.get_mut(&report.host) {
            let idle = report.tasks.iter().all(|t| matches!(t.seen, Seen::Ended(_)));
            match (idle && self.ledger.on_host(&report.host).next().is_none(), machine.idle_since) {
                (true, None) => {
                    machine.idle_since = Some(now);
                    self.dirty = true;
                }
                (false, Some(_)) => machine.idle_since = None,
                _ => {}
            }
        }
    }

    /// A machine is about to be taken: what can't end before goes elsewhere at
    /// once instead of being lost.
    fn leave_in_time(&mut self, now: Duration, host: &HostName, left: Duration, out: &mut Out) {
        let here: Vec<TaskId> = self.ledger.on_host(host).cloned().collect();
        for task in here {
            let (Some(entry), Some(attempt)) = (self.ledger.jobs.get(&task.job), self.ledger.attempt(&task))
            else {
                continue;
            };
            let begun = attempt.running.unwrap_or(now);
            let ends = begun + self.estimate(&entry.spec);
            let lost = attempt.running.is_none() || ends > now + left;
            if attempt.seen.is_some() && lost {
                self.ledger.stop(&task);
            }
        }
        self.tell(now, host, out);
    }

    fn ended(&mut self, now: Duration, host: &HostName, end: &Ended, out: &mut Out) {
        let Some(entry) = self.ledger.jobs.get_mut(&end.task.job) else { return };
        let Some(machine) = self.fleet.machines.get_mut(host) else { return };
        match end.cause {
            Some(Cause::Done) => {
                machine.errors = 0;
                entry.errors = 0;
                entry.error_hosts.clear();
                if let Some(ran) = end.ran.filter(|_| entry.spec.estimate > 0.5) {
                    let ratio = (ran.as_secs_f64() / entry.spec.estimate).clamp(0.2, 5.0);
                    let mean = self.ratios.entry(entry.spec.class.clone()).or_insert(1.0);
                    *mean += 0.1 * (ratio - *mean);
                }
            }
            Some(Cause::Error) => {
                entry.errors += 1;
                entry.error_hosts.insert(host.clone());
                // A job that fails on every machine is the job's fault.
                if entry.error_hosts.len() < 3 {
                    machine.errors += 1;
                }
                let wait = Duration::from_secs(1 << entry.errors.min(6));
                if entry.error_hosts.len() > 1 {
                    entry.not_before = now + wait;
                }
                out.log(Level::Debug, format!("{}/{} failed on {host}", end.task.job, end.task.index));
            }
            Some(Cause::Full | Cause::Busy) => machine.full_until = now + FULL_PAUSE,
            Some(Cause::Unknown) => entry.not_before = now + Duration::from_secs(1),
            Some(Cause::Stopped) | None => {}
        }
    }

    /// Orders for a machine, by its newest report.
    fn orders(&self, now: Duration, host: &HostName, desk: &Desk) -> Vec<Order> {
        let Some(machine) = self.fleet.machines.get(host) else { return Vec::new() };
        let Some(report) = &machine.report else { return Vec::new() };
        let mut orders = Vec::new();
        for listed in &report.tasks {
            let (task, attempt) = (listed.task.clone(), listed.attempt);
            if matches!(listed.seen, Seen::Ended(_)) {
                // A direct `run` under way would start a forgotten attempt anew.
                let haunted = machine.haunted.iter().any(|(t, n, _)| *t == task && *n == attempt);
                let over = !self.ledger.jobs.contains_key(&task.job) && desk.is_over(&task.job);
                if !haunted && (over || self.ledger.may_reap(&task, attempt)) {
                    orders.push(Order::Reap { task, attempt });
                }
            } else if let Some(leeway) = self.unwanted(host, &task, attempt, desk) {
                orders.push(Order::Kill { task, attempt, leeway });
            }
        }
        orders.extend(self.runs(now, machine).map(|(task, attempt)| Order::Run { task, attempt }));
        orders.truncate(MOST_ORDERS);
        orders
    }

    /// Whether a listed attempt must go, and how much time it has to save.
    fn unwanted(&self, host: &HostName, task: &TaskId, attempt: u64, desk: &Desk) -> Option<Duration> {
        let Some(entry) = self.ledger.jobs.get(&task.job) else {
            return desk.is_over(&task.job).then_some(Duration::ZERO);
        };
        match self.ledger.attempt(task) {
            Some(a) if a.number == attempt && a.host == *host => {
                (a.stop || entry.phase != Phase::Live).then(|| self.leeway(task))
            }
            _ => Some(Duration::ZERO),
        }
    }

    /// The time that a stopped task has to save, if that is of use.
    fn leeway(&self, task: &TaskId) -> Duration {
        let Some(entry) = self.ledger.jobs.get(&task.job) else { return Duration::ZERO };
        let saves = entry.phase == Phase::Live && entry.spec.checkpoint > 0.0;
        let save = Duration::from_secs_f64(entry.spec.save.min(3600.0));
        if saves && save <= MOST_LEEWAY {
            MOST_LEEWAY
        } else {
            Duration::ZERO
        }
    }

    /// Durable placements that the worker has not listed yet.
    fn runs<'a>(&'a self, now: Duration, machine: &'a Machine) -> impl Iterator<Item = (TaskId, u64)> + 'a {
        let sighted = now.saturating_sub(self.fresh) < STALE;
        let shift = machine.shift();
        self.ledger.on_host(&machine.name).filter_map(move |task| {
            let attempt = self.ledger.attempt(task)?;
            let live = self.ledger.jobs.get(&task.job)?.phase == Phase::Live;
            let due = live
                && sighted
                && Some(attempt.shift) == shift
                && attempt.seen.is_none()
                && !attempt.stop
                && self.ledger.written(task);
            due.then(|| (task.clone(), attempt.number))
        })
    }

    /// Sends a machine what it should hear at once: starts, each once, and
    /// kills, each once. The answers to reports repeat what got lost.
    fn tell(&mut self, now: Duration, host: &HostName, out: &mut Out) {
        if !self.may_answer(now) {
            return;
        }
        let Some(machine) = self.fleet.machines.get(host) else { return };
        let Some(shift) = machine.shift() else { return };
        if machine.busy || machine.address.is_empty() || machine.leaving.is_some() {
            return;
        }
        let told = |t: &TaskId| self.ledger.attempt(t).is_some_and(|a| a.told);
        let runs: Vec<(TaskId, u64)> = self.runs(now, machine).filter(|(t, _)| !told(t)).collect();
        let kills: Vec<(TaskId, u64)> = self
            .ledger
            .on_host(host)
            .filter_map(|t| {
                let a = self.ledger.attempt(t)?;
                let cancelled = self.ledger.jobs.get(&t.job)?.phase == Phase::Cancelled;
                let due = (cancelled || a.stop) && !a.kill_told && a.shift == shift;
                due.then(|| (t.clone(), a.number))
            })
            .collect();
        if runs.is_empty() && kills.is_empty() {
            return;
        }
        let mut orders: Vec<Order> = Vec::new();
        for (task, attempt) in &kills {
            let leeway = self.leeway(task);
            if let Some(a) = self.ledger.attempt_mut(task) {
                a.kill_told = true;
            }
            orders.push(Order::Kill { task: task.clone(), attempt: *attempt, leeway });
        }
        for (task, attempt) in &runs {
            if let Some(a) = self.ledger.attempt_mut(task) {
                a.told = true;
            }
            orders.push(Order::Run { task: task.clone(), attempt: *attempt });
        }
        let Some(machine) = self.fleet.machines.get_mut(host) else { return };
        machine.busy = true;
        machine.haunted.extend(runs.iter().map(|(t, n)| (t.clone(), *n, shift)));
        let address = machine.address.clone();
        let deed = Deed::Orders { host: host.clone(), shift, runs };
        out.orders(Purpose::Leader(self.baton, deed), address, self.baton, shift, orders);
    }

    /// Kills what was cancelled, without waiting for the workers' reports.
    fn tell_kills(&mut self, out: &mut Out) {
        let hosts: BTreeSet<HostName> = self
            .ledger
            .jobs
            .iter()
            .filter(|(_, e)| e.phase == Phase::Cancelled && e.placed > 0)
            .flat_map(|(_, e)| self.ledger.placements(e))
            .filter(|a| !a.kill_told)
            .map(|a| a.host.clone())
            .collect();
        for host in hosts {
            self.tell(self.fresh, &host, out);
        }
    }

    // ----- the clock -----

    pub fn tick(&mut self, times: Times, firm: bool, desk: &mut Desk, out: &mut Out) {
        let now = times.now;
        if self.stage == Stage::Loading {
            if self.load_due.is_some_and(|due| now >= due) {
                // Whatever failed, reading starts over: rows are idempotent.
                self.load_due = None;
                self.page_after = None;
                self.rows.clear();
                self.garbage.clear();
                self.load(now, out);
            }
            self.list_hosts(now, out);
            return;
        }
        if let Some(epoch) = self.epoch.filter(|_| !self.following && now >= self.follow_due) {
            self.following = true;
            let op = StateOp::Follow { prefix: "job/".into(), after: epoch, wait: WATCH };
            self.state(Deed::Follow { sent: now }, op, out);
        }
        self.mind_machines(times, firm, out);
        let sighted = firm && now.saturating_sub(self.fresh) < STALE;
        if sighted && self.dirty {
            self.dirty = false;
            self.schedule(now, out);
        }
        if sighted {
            self.size(times, out);
            self.hire(now, out);
        }
        if firm {
            self.give_back(now, out);
            self.flush(now, desk, out);
            self.sweep(now, out);
        }
        self.list_hosts(now, out);
        self.tell_late(now, out);
    }

    fn list_hosts(&mut self, now: Duration, out: &mut Out) {
        if !self.listing && now >= self.hosts_due && self.cloud.take(now, 1) {
            self.listing = true;
            self.hosts_due = now + self.settings.list_lag.max(Duration::from_secs(3));
            let after = self.list.last().map(|h| h.host.clone());
            out.cloud(Purpose::Leader(self.baton, Deed::Hosts), CloudOp::List { after });
        }
    }

    /// Whether some worker was heard lately, or none could be.
    fn in_contact(&self, now: Duration) -> bool {
        let recent = self.settings.report * 2 + Duration::from_secs(1);
        let mut up = self.fleet.machines.values().filter(|m| m.up()).peekable();
        up.peek().is_none() || up.any(|m| now.saturating_sub(m.heard) < recent)
    }

    /// Whether no worker at all has been heard for so long that another node
    /// should try to lead.
    pub fn isolated(&self, now: Duration) -> bool {
        let patience = self.settings.report * 3 + Duration::from_secs(2);
        let up = self.fleet.machines.values().filter(|m| m.up());
        let last = up.clone().map(|m| m.heard).max();
        self.stage == Stage::Ready
            && up.count() > 1
            && last.is_some_and(|at| now.saturating_sub(at) > patience)
    }

    fn mind_machines(&mut self, times: Times, firm: bool, out: &mut Out) {
        let now = times.now;
        let silent = self.settings.report + SILENT;
        let contact = self.in_contact(now);
        if firm && contact {
            if !std::mem::replace(&mut self.sound, true) {
                self.fleet.forgive(now);
            }
            for (host, why) in self.fleet.judge(now, silent) {
                out.log(Level::Info, format!("gives back {host}: {why:?}"));
                self.dirty = true;
            }
        } else {
            // A leader that is cut off hears nobody, and its requests to the
            // cloud may be carried out when the cut ends: it would give back
            // a whole healthy fleet.
            self.sound = false;
        }
        if !contact {
            return;
        }
        // A cancelled task that is not proven gone takes its machine along.
        let margin = self.settings.clock_off * 2 + Duration::from_secs(7);
        let grace = self.settings.cancel.saturating_sub(margin);
        let overdue: Vec<HostName> = self
            .ledger
            .jobs
            .values()
            .filter(|e| e.placed > 0 && e.cancelled.is_some_and(|at| now.saturating_sub(at) >= grace))
            .flat_map(|e| self.ledger.placements(e))
            .map(|a| a.host.clone())
            .collect();
        for host in overdue {
            self.fleet.expect(&host, now);
            if let Some(machine) = self.fleet.machines.get_mut(&host) {
                if machine.leaving.is_none() {
                    out.log(Level::Info, format!("gives back {host}: a cancelled task is not gone"));
                    machine.leaving = Some(Leaving::CancelDue);
                }
            }
        }
    }

    // ----- placing -----

    fn estimate(&self, spec: &JobSpec) -> Duration {
        let ratio = self.ratios.get(&spec.class).copied().unwrap_or(1.0);
        Duration::from_secs_f64((spec.estimate * ratio).clamp(0.1, 1e6))
    }

    /// When a job should start at the latest, by its deadline and by what its
    /// class expects.
    fn due(&self, spec: &JobSpec, accepted: Duration) -> Duration {
        let estimate = self.estimate(spec);
        let expected = self.settings.expectations.get(&spec.class).copied().unwrap_or_default();
        let done_by = |within: Duration| (accepted + within).saturating_sub(estimate);
        let deadline = spec.due.map(|d| done_by(Duration::from_secs_f64(d.min(1e7))));
        let finished = expected.finished.map(done_by);
        let wait = expected.wait.map(|within| accepted + within);
        let default = accepted + Duration::from_secs(600);
        [deadline, finished, wait].into_iter().flatten().min().unwrap_or(default)
    }

    fn teams(&self) -> (Vec<TeamRoom>, HashMap<String, usize>) {
        let mut rooms = Vec::new();
        let mut index = HashMap::new();
        for (name, team) in &self.settings.teams {
            index.insert(name.clone(), rooms.len());
            rooms.push(TeamRoom {
                guarantee: Resources { cpus: team.cpus, gpus: team.gpus, ram: 0.0 },
                cap: Resources { cpus: team.cpus_max, gpus: team.gpus_max, ram: 0.0 },
                used: Resources::default(),
            });
        }
        for entry in self.ledger.jobs.values() {
            if let Some(team) = index.get(entry.spec.team.as_str()) {
                let each = &entry.spec.each;
                let many = f64::from(entry.placed);
                rooms[*team].used.add(&Resources {
                    cpus: each.cpus * many,
                    gpus: each.gpus * many,
                    ram: each.ram * many,
                });
            }
        }
        (rooms, index)
    }

    /// A whole job as work for a pass.
    fn all_of(&self, spec: &JobSpec, team: usize, accepted: Duration) -> Work {
        Work {
            team,
            urgency: spec.urgency,
            guaranteed: false,
            accepted,
            due: self.due(spec, accepted),
            each: spec.each,
            image: spec.image.as_str().into(),
            image_gb: spec.image_gb,
            rigs: spec.rigs.clone(),
            zone: spec.zone.as_deref().map(Into::into),
            one_zone: spec.one_zone,
            zone_most: if spec.scatter { spec.tasks.div_ceil(2) } else { u32::MAX },
            spot: spec.spot,
            estimate: self.estimate(spec),
            pending: spec.tasks,
            zones: Vec::new(),
        }
    }

    /// The jobs of the last interval, as if they came again in the next.
    fn expected(&mut self, now: Duration, index: &HashMap<String, usize>) -> Vec<Arrival> {
        let interval = self.settings.sizing.interval;
        let window = interval.min(now.saturating_sub(self.began).max(LEAST_WINDOW));
        let from = now.saturating_sub(window);
        self.arrivals.retain(|(at, _)| *at >= from);
        let mut expected = Vec::new();
        let mut shift = window;
        // A leader younger than the interval repeats what it saw.
        while shift < interval + window {
            for (at, spec) in &self.arrivals {
                let at = *at + shift;
                if let Some(team) = index.get(&spec.team).filter(|_| at < now + interval) {
                    expected.push(Arrival { at, work: self.all_of(spec, *team, at) });
                }
            }
            shift += window;
        }
        expected
    }

    /// The pending work, with the ids of its jobs.
    fn work(
        &self,
        now: Duration,
        teams: &[TeamRoom],
        index: &HashMap<String, usize>,
    ) -> (Vec<JobId>, Vec<Work>) {
        let mut all: Vec<(&JobId, &Entry, Work)> = Vec::new();
        for (id, entry) in &self.ledger.jobs {
            let spec = &entry.spec;
            let Some(team) = index.get(spec.team.as_str()) else { continue };
            if entry.phase != Phase::Live || entry.done == spec.tasks {
                continue;
            }
            let held = entry.stale || entry.not_before > now;
            let mut work = self.all_of(spec, *team, entry.accepted);
            work.pending = if held { 0 } else { entry.pending() };
            work.zones = entry.zones.iter().map(|(z, n)| (z.clone(), *n)).collect();
            all.push((id, entry, work));
        }
        let needs: Vec<Resources> = all
            .iter()
            .map(|(_, entry, _)| {
                let (each, many) = (&entry.spec.each, f64::from(entry.unfinished()));
                Resources { cpus: each.cpus * many, gpus: each.gpus * many, ram: 0.0 }
            })
            .collect();
        let ids: Vec<JobId> = all.iter().map(|(id, ..)| (*id).clone()).collect();
        let mut work: Vec<Work> = all.into_iter().map(|(.., w)| w).collect();
        mark_guaranteed(&mut work, &needs, teams);
        let mut both: Vec<(JobId, Work)> = ids.into_iter().zip(work).filter(|(_, w)| w.pending > 0).collect();
        if both.len() > MOST_WORK {
            both.sort_by_key(|(_, w)| (std::cmp::Reverse(w.urgency), !w.guaranteed, w.due));
            both.truncate(MOST_WORK);
        }
        both.into_iter().unzip()
    }

    /// A machine as the passes see it; None while it takes nothing.
    fn slot(&self, now: Duration, machine: &Machine, index: &HashMap<String, usize>) -> Option<Slot> {
        let total = self.fleet.resources(&machine.pool.rig)?;
        let rig = self.fleet.rigs.get(&machine.pool.rig)?;
        if machine.leaving.is_some() || machine.notice {
            return None;
        }
        let mut slot = Slot {
            rig: machine.pool.rig.as_str().into(),
            zone: machine.pool.zone.as_str().into(),
            spot: machine.pool.spot,
            free: total,
            ready: now,
            running: Vec::new(),
            images: machine.images.iter().cloned().collect(),
            fetching: 0,
            pull_gb_per_s: rig.pull_gb_per_s,
        };
        if machine.newest.is_none() {
            slot.ready = (machine.since + rig.boot).max(now + Duration::from_secs(3));
        } else if now.saturating_sub(machine.heard) > self.settings.report * 3 {
            slot.ready = now + self.settings.report;
        } else if machine.full_until > now {
            slot.ready = machine.full_until;
        }
        for task in self.ledger.on_host(&machine.name) {
            let (Some(entry), Some(attempt)) = (self.ledger.jobs.get(&task.job), self.ledger.attempt(task))
            else {
                continue;
            };
            let image: Arc<str> = entry.spec.image.as_str().into();
            let mut begin = attempt.running.unwrap_or(now);
            if !slot.images.contains(&image) {
                slot.fetching += 1;
                slot.images.insert(image);
                if rig.pull_gb_per_s > 0.0 {
                    let fetch =
                        Duration::from_secs_f64((entry.spec.image_gb / rig.pull_gb_per_s).min(3600.0));
                    begin = (attempt.placed + fetch).max(now);
                }
            }
            let estimate = self.estimate(&entry.spec);
            let end = match attempt.stop {
                true => now + STOPPING,
                false => (begin + estimate).max(now + estimate / 5),
            };
            let team = index.get(entry.spec.team.as_str()).copied().unwrap_or(0);
            slot.free.sub(&entry.spec.each);
            slot.running.push(Running { end, each: entry.spec.each, team });
        }
        Some(slot)
    }

    fn schedule(&mut self, now: Duration, out: &mut Out) {
        let (mut teams, index) = self.teams();
        let (ids, mut work) = self.work(now, &teams, &index);
        if work.is_empty() {
            return;
        }
        let machines: Vec<(&Machine, Slot)> =
            self.fleet.machines.values().filter_map(|m| self.slot(now, m, &index).map(|s| (m, s))).collect();
        let hosts: Vec<(HostName, Option<u64>)> =
            machines.iter().map(|(m, _)| (m.name.clone(), m.shift())).collect();
        let mut slots: Vec<Slot> = machines.into_iter().map(|(_, s)| s).collect();
        for start in easy::pass(now, &mut slots, &mut work, &mut teams) {
            let (host, shift) = &hosts[start.slot];
            if let Some(shift) = shift {
                self.ledger.place(&ids[start.work], host, *shift, &slots[start.slot].zone, now);
                if let Some(machine) = self.fleet.machines.get_mut(host) {
                    machine.idle_since = None;
                }
            }
        }
        self.preempt(now, &slots, &hosts, &mut work, &mut teams, out);
    }

    /// Stops lesser work for urgent tasks that would start too late otherwise,
    /// the least progressed first. What is stopped comes back to the queue.
    fn preempt(
        &mut self,
        now: Duration,
        slots: &[Slot],
        hosts: &[(HostName, Option<u64>)],
        work: &mut [Work],
        teams: &mut [TeamRoom],
        out: &mut Out,
    ) {
        let mut order: Vec<usize> =
            (0..work.len()).filter(|i| work[*i].pending > 0 && work[*i].urgency >= Urgency::Urgent).collect();
        if order.is_empty() {
            return;
        }
        order.sort_by_key(|i| (std::cmp::Reverse(work[*i].urgency), !work[*i].guaranteed, work[*i].due));
        let mut room: Vec<Resources> = slots.iter().map(|s| s.free).collect();
        for (place, (host, _)) in hosts.iter().enumerate() {
            for task in self.ledger.on_host(host) {
                let stopping = self.ledger.attempt(task).is_some_and(|a| a.stop);
                if let Some(entry) = self.ledger.jobs.get(&task.job).filter(|_| stopping) {
                    room[place].add(&entry.spec.each);
                }
            }
        }
        let mut told: BTreeSet<HostName> = BTreeSet::new();
        let mut stops = 0;
        for i in order {
            let (each, due, urgency) = (work[i].each, work[i].due, work[i].urgency);
            let opens = slots
                .iter()
                .filter(|s| work[i].allows(&s.rig, &s.zone, s.spot))
                .filter_map(|s| s.opens(&each, now))
                .min();
            if opens.is_some_and(|at| at <= due) {
                continue;
            }
            while work[i].pending > 0 && teams[work[i].team].admits(&each) && stops < MOST_STOPS {
                let mut best: Option<(Duration, usize, Vec<TaskId>)> = None;
                for (place, (host, shift)) in hosts.iter().enumerate() {
                    let slot = &slots[place];
                    let fit =
                        work[i].allows(&slot.rig, &slot.zone, slot.spot) && work[i].zone_admits(&slot.zone);
                    if !fit || shift.is_none() || slot.ready > now {
                        continue;
                    }
                    let Some((loss, victims)) = self.victims(now, host, room[place], &each, urgency) else {
                        continue;
                    };
                    if best.as_ref().is_none_or(|(least, ..)| loss < *least) {
                        best = Some((loss, place, victims));
                    }
                }
                let Some((_, place, victims)) = best else { break };
                for victim in victims {
                    if let Some(entry) = self.ledger.jobs.get(&victim.job) {
                        room[place].add(&entry.spec.each);
                    }
                    self.ledger.stop(&victim);
                    told.insert(hosts[place].0.clone());
                    stops += 1;
                }
                room[place].sub(&each);
                teams[work[i].team].used.add(&each);
                let zone = slots[place].zone.clone();
                work[i].joined(&zone);
                work[i].pending -= 1;
            }
        }
        for host in told {
            self.tell(now, &host, out);
        }
    }

    /// The least progressed tasks of lesser urgency on a machine that would
    /// have to stop for one more task, and the progress lost.
    fn victims(
        &self,
        now: Duration,
        host: &HostName,
        mut room: Resources,
        each: &Resources,
        urgency: Urgency,
    ) -> Option<(Duration, Vec<TaskId>)> {
        let mut loss = Duration::ZERO;
        let mut victims = Vec::new();
        if each.fits(&room) {
            return Some((loss, victims));
        }
        let mut lesser: Vec<(Duration, &TaskId, Resources)> = Vec::new();
        for task in self.ledger.on_host(host) {
            let (Some(entry), Some(attempt)) = (self.ledger.jobs.get(&task.job), self.ledger.attempt(task))
            else {
                continue;
            };
            let ran = attempt.running.map_or(Duration::ZERO, |at| now.saturating_sub(at));
            let young = ran < self.estimate(&entry.spec) / 2;
            let often = attempt.number > MOST_PREEMPTED;
            if entry.spec.urgency < urgency && attempt.seen.is_some() && !attempt.stop && young && !often {
                lesser.push((ran, task, entry.spec.each));
            }
        }
        lesser.sort_by_key(|(ran, ..)| *ran);
        for (ran, task, held) in lesser {
            room.add(&held);
            loss += ran;
            victims.push(task.clone());
            if each.fits(&room) {
                return Some((loss, victims));
            }
        }
        None
    }

    // ----- writing -----

    /// Sends transactions: placements first, then finished jobs, then ends.
    fn flush(&mut self, now: Duration, desk: &mut Desk, out: &mut Out) {
        if now < self.hold_until {
            return;
        }
        self.refresh(out);
        self.close_cancelled(desk);
        while self.txns < MOST_TXNS {
            let most = self.settings.txn_ops.min(self.writes.available(now));
            if most == 0 {
                return;
            }
            let mut txn = Txn { conditions: vec![self.lead()], ..Txn::default() };
            self.add_chunks(now, true, most, &mut txn);
            self.add_finals(most, &mut txn);
            self.add_chunks(now, false, most, &mut txn);
            if self.target_dirty && !self.target_writing && txn.changes.is_empty() {
                return self.write_target(now, out);
            }
            if txn.changes.is_empty() || !self.writes.take(now, txn.changes.len()) {
                return;
            }
            self.txns += 1;
            let op = StateOp::Txn { conditions: txn.conditions, changes: txn.changes };
            self.state(Deed::Write(txn.batch), op, out);
        }
    }

    fn add_chunks(&mut self, now: Duration, placing: bool, most: usize, txn: &mut Txn) {
        let dirty: Vec<(JobId, u32)> = self.ledger.dirty.iter().cloned().collect();
        for (id, number) in dirty {
            if txn.changes.len() >= most || txn.bytes > TXN_BYTES {
                return;
            }
            let Some(entry) = self.ledger.jobs.get(&id) else { continue };
            let Some(chunk) = entry.chunks.get(&number) else { continue };
            let waits = chunk.ends_since.is_some_and(|at| now.saturating_sub(at) < ENDS_WAIT);
            let closing = entry.done == entry.spec.tasks;
            if entry.phase != Phase::Live || entry.stale || entry.finishing || closing {
                continue;
            }
            if chunk.writing || chunk.stale || chunk.placing != placing || (!placing && waits) {
                continue;
            }
            let Some((value, version)) = self.ledger.encode(&id, number) else { continue };
            if txn.bytes + value.len() > TXN_BYTES && !txn.changes.is_empty() {
                return;
            }
            let key = id.chunk_key(number);
            txn.condition(Condition { key: id.key(), stamp: entry.stamp });
            txn.condition(Condition { key: key.clone(), stamp: chunk.stamp });
            txn.bytes += value.len() + 400;
            txn.changes.push(Change::Write { key, value, hold: None });
            txn.batch.chunks.push((id.clone(), number, version));
            if let Some(chunk) = self.ledger.jobs.get_mut(&id).and_then(|e| e.chunks.get_mut(&number)) {
                chunk.writing = true;
            }
        }
    }

    /// Finished jobs: the final record makes all their ends durable at once.
    fn add_finals(&mut self, most: usize, txn: &mut Txn) {
        for id in self.ledger.closing.clone() {
            if txn.changes.len() >= most || txn.bytes > TXN_BYTES {
                return;
            }
            let Some(entry) = self.ledger.jobs.get_mut(&id) else { continue };
            let writing = entry.chunks.values().any(|c| c.writing);
            if entry.phase != Phase::Live || entry.stale || entry.finishing || writing {
                continue;
            }
            let record = JobRecord {
                phase: Phase::Done,
                spec: None,
                tasks: entry.spec.tasks,
                per_chunk: entry.per_chunk,
                accepted_ms: 0,
                cancelled_ms: None,
            };
            let Ok(value) = serde_json::to_string(&record) else { continue };
            entry.finishing = true;
            let stamp = entry.stamp;
            let keys: Vec<String> = entry
                .chunks
                .iter()
                .filter(|(_, c)| c.stamp > 0 || c.stale)
                .map(|(n, _)| id.chunk_key(*n))
                .collect();
            txn.condition(Condition { key: id.key(), stamp });
            txn.bytes += value.len() + 200;
            txn.changes.push(Change::Write { key: id.key(), value, hold: None });
            txn.batch.finals.push(id.clone());
            self.garbage.extend(keys);
        }
    }

    /// Cancelled jobs with nothing left on any machine need only a sweep.
    fn close_cancelled(&mut self, desk: &mut Desk) {
        for id in self.ledger.closing.clone() {
            let Some(entry) = self.ledger.jobs.get(&id) else { continue };
            let writing = entry.chunks.values().any(|c| c.writing);
            if entry.phase != Phase::Cancelled || entry.placed > 0 || writing {
                continue;
            }
            desk.over(&id, Status::Cancelled, 0);
            if let Some(entry) = self.ledger.remove(&id) {
                self.discard(&id, &entry);
            }
        }
    }

    /// Reads again what is in doubt.
    fn refresh(&mut self, out: &mut Out) {
        let mut calls = Vec::new();
        for (id, number) in &self.ledger.dirty {
            let stale = self.ledger.jobs.get(id).and_then(|e| e.chunks.get(number)).is_some_and(|c| c.stale);
            if stale && self.reading.insert(id.chunk_key(*number)) {
                calls.push((Deed::ReadChunk(id.clone(), *number), id.chunk_key(*number)));
            }
        }
        for (id, entry) in &self.ledger.jobs {
            if entry.stale && self.reading.insert(id.key()) {
                calls.push((Deed::ReadJob(id.clone()), id.key()));
            }
        }
        for (deed, key) in calls {
            self.state(deed, StateOp::Get { key }, out);
        }
    }

    fn write_target(&mut self, now: Duration, out: &mut Out) {
        let Ok(value) = serde_json::to_string(&self.target) else { return };
        if !self.writes.take(now, 1) {
            return;
        }
        self.target_dirty = false;
        self.target_writing = true;
        let changes = vec![Change::Write { key: TARGET.into(), value, hold: None }];
        self.state(Deed::Target, StateOp::Txn { conditions: vec![self.lead()], changes }, out);
    }

    /// Drops chunks that nobody needs, when there is room to write.
    fn sweep(&mut self, now: Duration, out: &mut Out) {
        let spare = self.writes.available(now) as f64 >= self.settings.write_rps * 0.4;
        if self.sweeping || self.garbage.is_empty() || !spare || now < self.hold_until {
            return;
        }
        let most = self.settings.txn_ops.min(self.garbage.len());
        let keys: Vec<String> = self.garbage.drain(..most).collect::<BTreeSet<_>>().into_iter().collect();
        if !self.writes.take(now, keys.len()) {
            self.garbage.extend(keys);
            return;
        }
        self.sweeping = true;
        let changes = keys.iter().map(|k| Change::Drop { key: k.clone() }).collect();
        self.state(Deed::Sweep(keys), StateOp::Txn { conditions: vec![self.lead()], changes }, out);
    }

    // ----- the fleet's size -----

    /// U for a type: set, or learned, or what the guarantees would fill.
    fn capacity(&self, rig: &str, now: Duration) -> u32 {
        let cpus = self.fleet.resources(rig).map_or(1.0, |r| r.cpus.max(1.0));
        let guaranteed: f64 = self.settings.teams.values().map(|t| t.cpus).sum();
        let set =
            self.settings.sizing.capacity.unwrap_or((guaranteed / cpus).ceil().clamp(1.0, 10_000.0) as u32);
        self.fleet.learned(rig, now).map_or(set, |learned| learned.min(set)).max(1)
    }

    fn size(&mut self, times: Times, out: &mut Out) {
        let now = times.now;
        if self.fleet.rigs.is_empty() {
            return;
        }
        let (teams, index) = self.teams();
        let (_, work) = self.work(now, &teams, &index);
        // The first round waits for something to replay.
        if now >= self.round_due && (self.target.round > 0 || !work.is_empty()) {
            // Before any machine is up, whichever job came first would size the
            // fleet for a whole interval: rounds follow quickly and only raise.
            let cold = self.fleet.machines.values().all(|m| m.newest.is_none());
            let interval = self.settings.sizing.interval;
            self.round_due = now + if cold { interval.min(COLD_ROUND) } else { interval };
            let mut target =
                Target { round: self.target.round + 1, at_ms: times.wall_ms(), ..Target::default() };
            // Nor does the rush of the first seconds tell what comes later.
            let expected = if cold { Vec::new() } else { self.expected(now, &index) };
            for rig in self.fleet.rigs.keys() {
                let mut size = self.trial(now, rig, (&work, &expected), &teams, &index);
                if let Some(before) = self.target.rigs.get(rig).filter(|_| cold) {
                    size.machines = size.machines.max(before.machines);
                    size.ordinary = size.ordinary.max(before.ordinary);
                }
                target.rigs.insert(rig.clone(), size);
            }
            out.log(Level::Info, format!("round {}: {:?}", target.round, target.rigs));
            self.target = target;
            self.target_dirty = true;
        }
        self.raise(&work);
    }

    /// The climb for one type, over the jobs that can use it.
    fn trial(
        &self,
        now: Duration,
        rig: &str,
        (work, expected): (&[Work], &[Arrival]),
        teams: &[TeamRoom],
        index: &HashMap<String, usize>,
    ) -> Size {
        let Some(kind) = self.fleet.rigs.get(rig) else { return Size::default() };
        let suits = |w: &Work| kind.zones.iter().any(|z| w.allows(rig, z, false));
        let all: Vec<Work> = work.iter().filter(|w| suits(w)).cloned().collect();
        let coming: Vec<Arrival> = expected.iter().filter(|a| suits(&a.work)).cloned().collect();
        let strict: Vec<Work> = all.iter().filter(|w| !w.spot).cloned().collect();
        let strict_coming: Vec<Arrival> = coming.iter().filter(|a| !a.work.spot).cloned().collect();
        let most = self.capacity(rig, now);
        let ordinary = self.climb(now, rig, (&strict, &strict_coming), teams, index, most, false);
        let machines = self.climb(now, rig, (&all, &coming), teams, index, most, true).max(ordinary);
        Size { machines, ordinary }
    }

    #[allow(clippy::too_many_arguments)]
    fn climb(
        &self,
        now: Duration,
        rig: &str,
        (work, coming): (&[Work], &[Arrival]),
        teams: &[TeamRoom],
        index: &HashMap<String, usize>,
        most: u32,
        spot: bool,
    ) -> u32 {
        let Some(kind) = self.fleet.rigs.get(rig) else { return 0 };
        let mut slots: Vec<Slot> = self
            .fleet
            .machines
            .values()
            .filter(|m| m.pool.rig == rig && (spot || !m.pool.spot))
            .filter_map(|m| self.slot(now, m, index))
            .collect();
        slots.sort_by_key(|s| std::cmp::Reverse(s.running.len()));
        let busy = match spot {
            true => slots.iter().filter(|s| !s.running.is_empty()).count() as u32,
            false => 0,
        };
        let running: BTreeSet<&JobId> = self
            .ledger
            .jobs
            .iter()
            .filter(|(_, e)| spot && e.phase == Phase::Live && e.placed > 0 && e.pending() == 0)
            .map(|(id, _)| id)
            .collect();
        let least = busy.max(u32::from(!work.is_empty()));
        sizing::climb(least, most, self.settings.sizing.threshold, |trial| {
            let mut fleet: Vec<Slot> = slots.iter().take(trial as usize).cloned().collect();
            for slot in &mut fleet {
                slot.ready = now;
            }
            for i in fleet.len()..trial as usize {
                fleet.push(Slot {
                    rig: rig.into(),
                    zone: kind.zones[i % kind.zones.len().max(1)].as_str().into(),
                    spot: false,
                    free: Resources { cpus: kind.cpus, gpus: kind.gpus, ram: kind.ram },
                    ready: now,
                    running: Vec::new(),
                    images: HashSet::new(),
                    fetching: 0,
                    pull_gb_per_s: 0.0,
                });
            }
            replay::slowdown(now, fleet, work.to_vec(), coming.to_vec(), teams.to_vec(), running.len())
        })
    }

    /// A job wider than the fleet raises it at once. An array's width is one
    /// task, so this is a job that no machine we have can hold.
    fn raise(&mut self, work: &[Work]) {
        for w in work {
            let served = self.fleet.machines.values().any(|m| {
                m.leaving.is_none() && !m.notice && w.allows(&m.pool.rig, &m.pool.zone, m.pool.spot)
            });
            if served {
                continue;
            }
            let fits = |rig: &&String| {
                self.fleet.resources(rig).is_some_and(|r| w.each.fits(&r))
                    && w.rigs.as_ref().is_none_or(|l| l.contains(rig))
            };
            let price = |rig: &&String| self.fleet.rigs.get(*rig).map_or(f64::MAX, |r| r.price);
            let cheapest = self.fleet.rigs.keys().filter(fits).min_by(|a, b| price(a).total_cmp(&price(b)));
            let Some(rig) = cheapest.cloned() else { continue };
            let count = self.fleet.count(&rig);
            let size = self.target.rigs.entry(rig).or_default();
            if size.machines <= count && self.hiring.is_empty() {
                size.machines = count + 1;
                self.target_dirty = true;
            }
            if !w.spot && size.ordinary == 0 {
                size.ordinary = 1;
                self.target_dirty = true;
            }
        }
    }

    fn hire(&mut self, now: Duration, out: &mut Out) {
        let due: Vec<_> = {
            let (ready, later) =
                std::mem::take(&mut self.retry_hires).into_iter().partition(|(at, ..)| *at <= now);
            self.retry_hires = later;
            ready
        };
        for (at, name, pool, count) in due {
            if self.cloud.take(now, 1) {
                self.rent(name, pool, count, out);
            } else {
                self.retry_hires.push((at, name, pool, count));
            }
        }
        for (rig, size) in self.target.rigs.clone() {
            let coming = |spot: Option<bool>| -> u32 {
                let of = |(_, p, n): &(String, Pool, u32)| {
                    if p.rig == rig && spot.is_none_or(|s| s == p.spot) {
                        *n
                    } else {
                        0
                    }
                };
                self.hiring.iter().map(of).sum()
            };
            let ordinary = self
                .fleet
                .pools(&rig)
                .iter()
                .filter(|p| !p.spot)
                .map(|p| self.fleet.held_by_zone(p))
                .sum::<u32>();
            let strict = size.ordinary.saturating_sub(ordinary + coming(Some(false)));
            let want = size.machines.saturating_sub(self.fleet.count(&rig) + coming(None)).max(strict);
            if want == 0 {
                continue;
            }
            let mut pools: Vec<Pool> = self.fleet.pools(&rig);
            pools.retain(|p| self.fleet.open(p, now) && !self.hiring.iter().any(|(_, q, _)| q == p));
            if strict > 0 {
                pools.retain(|p| !p.spot);
            }
            // Spot first, for its price; ordinary ones once spot is refused.
            let cheap = pools.iter().any(|p| p.spot);
            pools.retain(|p| p.spot == cheap);
            pools.sort_by_key(|p| self.fleet.held_by_zone(p));
            let mut left = if strict > 0 { strict } else { want };
            let share = left.div_ceil(pools.len().max(1) as u32);
            for pool in pools {
                let count = share.min(left).min(50);
                if count == 0 || !self.cloud.take(now, 1) {
                    break;
                }
                left -= count;
                self.hires += 1;
                let name = format!("{}-{}-{}", self.settings.host, self.baton, self.hires);
                self.hiring.push((name.clone(), pool.clone(), count));
                self.rent(name, pool, count, out);
            }
        }
    }

    fn rent(&self, name: String, pool: Pool, count: u32, out: &mut Out) {
        let op = CloudOp::Hire {
            name: name.clone(),
            rig: pool.rig.clone(),
            zone: pool.zone.clone(),
            spot: pool.spot,
            count,
        };
        out.cloud(Purpose::Leader(self.baton, Deed::Hire { name, pool, count }), op);
    }

    /// Returns machines above the target as they fall idle, and all that must
    /// go for another reason.
    fn give_back(&mut self, now: Duration, out: &mut Out) {
        for (rig, size) in self.target.rigs.clone() {
            let mut surplus = self.fleet.count(&rig).saturating_sub(size.machines);
            let mut idle: Vec<(bool, Duration, HostName)> = self
                .fleet
                .machines
                .values()
                .filter(|m| m.pool.rig == rig && m.leaving.is_none() && !m.notice)
                .filter(|m| self.ledger.on_host(&m.name).next().is_none())
                .filter(|m| m.idle_since.is_some_and(|at| now.saturating_sub(at) >= IDLE))
                .map(|m| (m.pool.spot, m.since, m.name.clone()))
                .collect();
            idle.sort();
            let mut ordinary = self
                .fleet
                .machines
                .values()
                .filter(|m| m.pool.rig == rig && !m.pool.spot && m.leaving.is_none())
                .count() as u32;
            for (spot, _, host) in idle {
                if surplus == 0 {
                    break;
                }
                if !spot && ordinary <= size.ordinary {
                    continue;
                }
                if let Some(machine) = self.fleet.machines.get_mut(&host) {
                    machine.leaving = Some(Leaving::Surplus);
                    surplus -= 1;
                    ordinary -= u32::from(!spot);
                }
            }
        }
        for machine in self.fleet.machines.values_mut() {
            let empty = self.ledger.on_host(&machine.name).next().is_none();
            if machine.notice && machine.leaving.is_none() && empty {
                machine.leaving = Some(Leaving::Surplus);
            }
        }
        if now < self.release_due {
            return;
        }
        let leaving: Vec<HostName> = self
            .fleet
            .machines
            .values()
            .filter(|m| m.leaving.is_some() && !self.releasing.contains(&m.name))
            .map(|m| m.name.clone())
            .take(100)
            .collect();
        if !leaving.is_empty() && self.cloud.take(now, 1) {
            self.releasing.extend(leaving.iter().cloned());
            let deed = Deed::Release(leaving.clone());
            out.cloud(Purpose::Leader(self.baton, deed), CloudOp::Release { hosts: leaving });
        }
    }

    // ----- what people see -----

    pub fn progress(&self, id: &JobId) -> Option<(u32, u32)> {
        self.ledger.jobs.get(id).map(|e| (e.done, e.running))
    }

    pub fn all_progress(&self, most: usize) -> Vec<Progress> {
        let moving =
            self.ledger.jobs.iter().filter(|(_, e)| e.done + e.running > 0 && e.phase == Phase::Live);
        moving
            .take(most)
            .map(|(id, e)| Progress { id: id.to_string(), done: e.done, running: e.running })
            .collect()
    }

    /// Past its deadline, or past what its class expects.
    fn late(&self, entry: &Entry, now: Duration) -> bool {
        let expected = self.settings.expectations.get(&entry.spec.class).copied().unwrap_or_default();
        let deadline = entry.spec.due.map(|d| Duration::from_secs_f64(d.min(1e7)));
        [deadline, expected.finished].into_iter().flatten().any(|within| now > entry.accepted + within)
    }

    fn stuck(&self, entry: &Entry, now: Duration) -> bool {
        let idle = entry.running == 0 && entry.placed == 0;
        idle && now.saturating_sub(entry.accepted) > STUCK || entry.error_hosts.len() > 1
    }

    fn tell_late(&mut self, now: Duration, out: &mut Out) {
        if now < self.late_due {
            return;
        }
        self.late_due = now + LATE_SCAN;
        let live = |e: &Entry| e.phase == Phase::Live && !e.told_late;
        let news: Vec<(JobId, bool, bool)> = self
            .ledger
            .jobs
            .iter()
            .filter(|(_, e)| live(e))
            .map(|(id, e)| (id.clone(), self.late(e, now), self.stuck(e, now)))
            .filter(|(_, late, stuck)| *late || *stuck)
            .collect();
        for (id, late, stuck) in news {
            if let Some(entry) = self.ledger.jobs.get_mut(&id) {
                entry.told_late = true;
                let what = if stuck { "is stuck" } else { "is late" };
                let age = now.saturating_sub(entry.accepted).as_secs();
                out.log(
                    Level::Info,
                    format!(
                        "{id} {what} after {age} s: {} of {} done (late: {late})",
                        entry.done, entry.spec.tasks
                    ),
                );
            }
        }
    }

    pub fn view(&self, times: Times) -> serde_json::Value {
        let now = times.now;
        let jobs: Vec<_> = self
            .ledger
            .jobs
            .iter()
            .filter(|(_, e)| e.phase == Phase::Live && (self.late(e, now) || self.stuck(e, now)))
            .take(1000)
            .map(|(id, e)| {
                serde_json::json!({
                    "nameId": id, "lane": e.spec.class, "crew": e.spec.team, "urgency": e.spec.urgency,
                    "ageS": now.saturating_sub(e.accepted).as_secs_f64(),
                    "pieces": e.spec.tasks, "done": e.done, "running": e.running,
                    "late": self.late(e, now), "stuck": self.stuck(e, now),
                    "failedOn": e.error_hosts.iter().map(|h| h.as_ref()).collect::<Vec<&str>>(),
                })
            })
            .collect();
        let up = self.fleet.machines.values().filter(|m| m.up()).count();
        serde_json::json!({
            "baton": self.baton,
            "ready": self.stage == Stage::Ready,
            "jobs": self.ledger.jobs.len(),
            "machines": {"held": self.fleet.machines.len(), "up": up},
            "target": self.target,
            "blindS": now.saturating_sub(self.fresh).as_secs_f64(),
            "lateOrStuck": jobs,
        })
    }
}

/// A transaction in the making.
#[derive(Debug, Default)]
struct Txn {
    conditions: Vec<Condition>,
    changes: Vec<Change>,
    batch: Batch,
    bytes: usize,
}

impl Txn {
    fn condition(&mut self, condition: Condition) {
        if !self.conditions.contains(&condition) {
            self.bytes += condition.key.len() + 40;
            self.conditions.push(condition);
        }
    }
}
