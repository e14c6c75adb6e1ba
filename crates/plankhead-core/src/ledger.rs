//! The ledger of attempts: what was placed where, and the evidence that an
//! attempt is over.
//!
//! A task has at most one attempt that is not proven gone. Proof is one of
//! three: the worker listed the attempt as ended, the worker reported a later
//! shift, or the cloud confirmed the release of the machine. That a report does
//! not list an attempt proves nothing, and neither does time.
//!
//! The tasks of a gang share one attempt: they are placed together, start together
//! and end together. Once one of them has ended other than done, or is gone, what
//! is left of the attempt is ended too, and the next one begins only when nothing
//! of it is left: so no task, zone or cap ever has two attempts of a gang at a time.
//!
//! Where values may be smaller than they were when a job was accepted, its chunks
//! are laid anew (`lay_anew`): smaller ones under other keys, each of which stands
//! for its range of tasks from when it is written; until then, and for the other
//! ranges, the old one does. Nothing is ever moved in steps that need each other.

use crate::job::{JobId, JobRecord, JobSpec, Phase};
use crate::protocol::{ExitReason, Heartbeat, MachineName, TaskId, TaskStatus};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    pub number: u64,
    pub host: MachineName,
    /// The worker's session in which alone the attempt can run.
    pub shift: u64,
    pub zone: Arc<str>,
    /// The chunk version that must be durable before `run` may be sent.
    pub version: u64,
    pub seen: Option<TaskStatus>,
    pub placed: Duration,
    pub running: Option<Duration>,
    /// An earlier leader placed it.
    pub inherited: bool,
    /// Stopped for the sake of other work or of its machine.
    pub stop: bool,
    /// `run` was sent straight to the worker, once.
    pub told: bool,
    /// The token under which this leader last had the worker told to run it, in whatever way.
    pub offered: Option<u64>,
    /// `kill` was sent straight to the worker, once.
    pub kill_told: bool,
}

impl Attempt {
    /// Whether a worker that knows this token refuses every command to run the attempt that
    /// was given so far: this leader gave none, or only under lower ones, by the holder of a
    /// shard that has moved since.
    fn is_fenced_by(&self, token: u64) -> bool {
        self.offered.is_none_or(|offered| offered < token)
    }
}

#[derive(Debug, Clone, PartialEq)]
pub enum TaskState {
    Idle,
    Placed(Attempt),
    Done,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Task {
    /// The highest attempt number given out.
    pub tried: u64,
    /// The chunk version that holds the end of the latest ended attempt.
    pub end_version: u64,
    pub state: TaskState,
}

/// A part of a job's tasks, kept in one key.
#[derive(Debug, Clone, Default)]
pub struct Chunk {
    pub stamp: u64,
    pub version: u64,
    pub durable: u64,
    pub tasks: BTreeMap<u32, Task>,
    pub writing: bool,
    /// A write was lost or refused: the stamp must be read again.
    pub stale: bool,
    /// Since when ends wait to be written.
    pub ends_since: Option<Duration>,
    /// The version of the latest placement; later ones hold only ends.
    pub placing: u64,
}

/// What the tasks of a gang have in common.
#[derive(Debug, Clone, Default)]
pub struct Gang {
    /// The latest attempt's number.
    pub number: u64,
    /// That attempt can't go on: what is left of it is ended at once.
    pub broken: bool,
    /// One of its tasks is done, and so are all.
    pub done: bool,
    /// Some task was told to stop and may save: the others are told, too.
    pub stopping: bool,
}

#[derive(Debug, Clone)]
pub struct JobEntry {
    pub spec: Arc<JobSpec>,
    pub gang: Option<Gang>,
    pub phase: Phase,
    pub stamp: u64,
    pub accepted: Duration,
    pub cancelled: Option<Duration>,
    pub per_chunk: u32,
    pub chunks: BTreeMap<u32, Chunk>,
    /// The chunks were laid anew.
    pub laid_anew: bool,
    /// Keys that hold chunks of the layout before, dropped with the job.
    pub old_keys: Vec<StoredKey>,
    /// Tasks from here on were never placed.
    pub fresh: u32,
    /// Tasks whose last attempt is proven gone.
    pub again: BTreeSet<u32>,
    pub done: u32,
    /// Attempts not proven gone.
    pub placed: u32,
    /// Attempts that were last seen running.
    pub running: u32,
    pub zones: BTreeMap<Arc<str>, u32>,
    /// Errors in a row, and the machines they came from.
    pub errors: u32,
    pub error_hosts: BTreeSet<MachineName>,
    pub not_before: Duration,
    /// The final record is being written.
    pub finishing: bool,
    /// The job's key must be read again before anything is written for it.
    pub stale: bool,
    pub told_late: bool,
}

impl JobEntry {
    /// Tasks that could be placed now.
    pub fn pending(&self) -> u32 {
        self.spec.tasks - self.fresh + self.again.len() as u32
    }

    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.done
    }

    /// Whether tasks can be placed: those of a gang only together, when nothing of
    /// the attempt before is left.
    pub fn placeable(&self) -> bool {
        self.pending() > 0 && (self.gang.is_none() || self.placed == 0)
    }

    /// Whether every task of a gang has a durable placement, so that they may start.
    pub fn complete(&self) -> bool {
        self.placed == self.spec.tasks && self.chunks.values().all(|c| c.placing <= c.durable)
    }

    pub fn broken(&self) -> bool {
        self.gang.as_ref().is_some_and(|g| g.broken)
    }

    /// The gang's attempt is to end, with or without time to save.
    pub fn ending(&self) -> bool {
        self.gang.as_ref().is_some_and(|g| g.broken || g.stopping)
    }

    /// Every key that holds placements of the job.
    pub fn stored(&self, id: &JobId) -> Vec<StoredKey> {
        let written = self.chunks.iter().filter(|(_, c)| c.stamp > 0 || c.stale);
        let old = self.old_keys.iter().cloned();
        let chunk = |(number, chunk): (&u32, &Chunk)| StoredKey {
            key: id.chunk_key(*number, self.laid_anew),
            revision: (!chunk.stale).then_some(chunk.stamp),
        };
        old.chain(written.map(chunk)).collect()
    }

    fn attempts(&self) -> impl Iterator<Item = (u32, &Attempt)> {
        self.chunks.values().flat_map(|c| &c.tasks).filter_map(|(index, t)| match &t.state {
            TaskState::Placed(attempt) => Some((*index, attempt)),
            _ => None,
        })
    }
}

/// A key in the state service that nobody needs any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredKey {
    pub key: String,
    /// Its revision, where that is known.
    pub revision: Option<u64>,
}

/// What became of an attempt in a report.
#[derive(Debug, Clone, PartialEq)]
pub struct Ended {
    pub task: TaskId,
    pub attempt: u64,
    /// None: the attempt is gone without the worker having said how.
    pub cause: Option<ExitReason>,
    /// How long it ran, where both ends were seen.
    pub ran: Option<Duration>,
    pub stopped: bool,
}

#[derive(Debug, Error)]
pub enum ChunkError {
    #[error("not a chunk: {0}")]
    Json(#[from] serde_json::Error),
    #[error("a task or host out of range")]
    Range,
}

/// The value of a `run/<id>/<n>` key.
#[derive(Debug, Serialize, Deserialize)]
struct StoredChunk {
    /// Machines as (name, shift, zone).
    h: Vec<(String, u64, String)>,
    /// Tasks as (index, tried, place in `h` or -1).
    t: Vec<(u32, u64, i32)>,
    /// Done tasks, as first and last of each run of them.
    d: Vec<(u32, u32)>,
}

/// Tasks in one chunk such that the worst case fits into a value: 64 bytes a task
/// are enough for names of machines and zones of 40 letters together.
pub fn tasks_per_chunk(value_bytes: usize) -> u32 {
    (value_bytes / 64).clamp(8, 400) as u32
}

/// Takes a loaded task out of its job's counts.
fn forget(
    entry: &mut JobEntry,
    on_host: &mut HashMap<MachineName, BTreeSet<TaskId>>,
    id: &JobId,
    index: u32,
    task: &Task,
) {
    match &task.state {
        TaskState::Idle => {
            entry.again.remove(&index);
        }
        TaskState::Done => entry.done -= 1,
        TaskState::Placed(attempt) => {
            entry.placed -= 1;
            if let Some(count) = entry.zones.get_mut(&attempt.zone) {
                *count -= 1;
            }
            entry.zones.retain(|_, count| *count > 0);
            if let Some(here) = on_host.get_mut(&attempt.host) {
                here.remove(&TaskId { job: id.clone(), index });
            }
        }
    }
}

#[derive(Debug, Default)]
pub struct JobTable {
    pub jobs: BTreeMap<JobId, JobEntry>,
    on_host: HashMap<MachineName, BTreeSet<TaskId>>,
    /// Chunks with changes that are not durable.
    pub dirty: BTreeSet<(JobId, u32)>,
    /// Those of them with placements that wait to be written.
    pub placing: BTreeSet<(JobId, u32)>,
    /// Machines whose attempts have changed since the last look.
    pub touched: BTreeSet<MachineName>,
    /// Jobs all of whose tasks have ended, one way or the other.
    pub closing: BTreeSet<JobId>,
    /// Machines with tasks of gangs that were just told to end.
    pub urgent: BTreeSet<MachineName>,
}

impl JobTable {
    /// Takes in a job's record. `accepted` and `cancelled` are on our clock.
    pub fn upsert(
        &mut self,
        id: &JobId,
        record: JobRecord,
        stamp: u64,
        accepted: Duration,
        cancelled: Option<Duration>,
        per_chunk: u32,
    ) {
        if let Some(entry) = self.jobs.get_mut(id) {
            if stamp < entry.stamp {
                return;
            }
            entry.stamp = stamp;
            entry.stale = false;
            if record.phase == Phase::Cancelled && entry.phase == Phase::Active {
                entry.phase = Phase::Cancelled;
                entry.cancelled = cancelled;
                self.settle(id);
            }
            return;
        }
        let Some(spec) = record.spec else { return };
        let gang = spec.gang.then(Gang::default);
        self.jobs.insert(
            id.clone(),
            JobEntry {
                spec: Arc::new(spec),
                gang,
                phase: record.phase,
                stamp,
                accepted,
                cancelled,
                per_chunk,
                chunks: BTreeMap::new(),
                laid_anew: false,
                old_keys: Vec::new(),
                fresh: 0,
                again: BTreeSet::new(),
                done: 0,
                placed: 0,
                running: 0,
                zones: BTreeMap::new(),
                errors: 0,
                error_hosts: BTreeSet::new(),
                not_before: Duration::ZERO,
                finishing: false,
                stale: false,
                told_late: false,
            },
        );
        self.settle(id);
    }

    /// Notes whether nothing of the job is left to run or to wait for, and lets
    /// go of placements of a cancelled job that no worker was ever told of.
    fn settle(&mut self, id: &JobId) {
        let Some(entry) = self.jobs.get(id) else { return };
        if entry.phase == Phase::Cancelled {
            let untold: Vec<u32> = entry
                .chunks
                .values()
                .flat_map(|c| c.tasks.iter().map(move |(i, t)| (c, *i, t)))
                .filter(|(c, _, t)| matches!(&t.state, TaskState::Placed(a) if a.version > c.durable))
                .map(|(_, i, _)| i)
                .collect();
            for index in untold {
                self.end(&TaskId { job: id.clone(), index }, false);
            }
        }
        let Some(entry) = self.jobs.get(id) else { return };
        let over = match entry.phase {
            Phase::Active => entry.done == entry.spec.tasks,
            _ => entry.placed == 0,
        };
        if over {
            self.closing.insert(id.clone());
        }
    }

    /// Reads a chunk back. Only for jobs whose record is known.
    pub fn load_chunk(
        &mut self,
        id: &JobId,
        number: u32,
        value: &str,
        stamp: u64,
        now: Duration,
    ) -> Result<(), ChunkError> {
        let text: StoredChunk = serde_json::from_str(value)?;
        let Some(entry) = self.jobs.get_mut(id) else { return Ok(()) };
        let tasks = entry.spec.tasks;
        let mut chunk = Chunk { stamp, ..Chunk::default() };
        // A job that was accepted when values could be larger: the smaller chunk
        // takes the place of what the old ones say of its tasks.
        if let Some(before) = entry.chunks.remove(&number) {
            for (index, task) in before.tasks {
                forget(entry, &mut self.on_host, id, index, &task);
            }
        }
        for (first, last) in text.d {
            if first > last || last >= tasks {
                return Err(ChunkError::Range);
            }
            for index in first..=last {
                chunk.tasks.insert(index, Task { tried: 0, end_version: 0, state: TaskState::Done });
            }
        }
        for (index, tried, place) in text.t {
            let state = match usize::try_from(place) {
                Err(_) => TaskState::Idle,
                Ok(place) => {
                    let (host, shift, zone) = text.h.get(place).ok_or(ChunkError::Range)?;
                    TaskState::Placed(Attempt {
                        number: tried,
                        host: host.as_str().into(),
                        shift: *shift,
                        zone: zone.as_str().into(),
                        version: 0,
                        seen: None,
                        placed: now,
                        running: None,
                        inherited: true,
                        stop: false,
                        told: false,
                        offered: None,
                        kill_told: false,
                    })
                }
            };
            if index >= tasks || chunk.tasks.contains_key(&index) {
                return Err(ChunkError::Range);
            }
            chunk.tasks.insert(index, Task { tried, end_version: 0, state });
        }
        for (index, task) in &chunk.tasks {
            match &task.state {
                TaskState::Idle => {
                    entry.again.insert(*index);
                }
                TaskState::Done => entry.done += 1,
                TaskState::Placed(attempt) => {
                    entry.placed += 1;
                    self.touched.insert(attempt.host.clone());
                    *entry.zones.entry(attempt.zone.clone()).or_default() += 1;
                    self.on_host
                        .entry(attempt.host.clone())
                        .or_default()
                        .insert(TaskId { job: id.clone(), index: *index });
                }
            }
        }
        entry.chunks.insert(number, chunk);
        Ok(())
    }

    /// After every chunk is read: tasks below the highest placed one that were
    /// never placed, and jobs that are over.
    pub fn loaded(&mut self) {
        for entry in self.jobs.values_mut() {
            let known: BTreeSet<u32> = entry.chunks.values().flat_map(|c| c.tasks.keys().copied()).collect();
            entry.fresh = known.last().map_or(0, |last| last + 1);
            let gaps: Vec<u32> = (0..entry.fresh).filter(|i| !known.contains(i)).collect();
            entry.again.extend(gaps);
            let numbers = entry.chunks.values().flat_map(|c| c.tasks.values()).map(|t| t.tried);
            if let Some(gang) = &mut entry.gang {
                gang.number = numbers.max().unwrap_or(0);
                gang.done = entry.done > 0;
                if gang.done {
                    entry.done = entry.spec.tasks;
                }
            }
        }
        for id in self.jobs.keys().cloned().collect::<Vec<_>>() {
            // Some task of the attempt has ended, or was never placed.
            self.whole_or_none(&id);
            self.settle(&id);
        }
    }

    /// Has jobs whose chunks were laid out for larger values than `per_chunk` tasks
    /// need kept in smaller chunks from now on. What is on its way to the state
    /// service is waited for; true if some job still has to.
    pub fn lay_anew(&mut self, per_chunk: u32) -> bool {
        let mut left = false;
        for (id, entry) in self.jobs.iter_mut().filter(|(_, e)| e.per_chunk > per_chunk) {
            if entry.chunks.values().any(|c| c.writing || c.stale) {
                left = true;
                continue;
            }
            entry.old_keys = entry.stored(id);
            entry.per_chunk = per_chunk;
            entry.laid_anew = true;
            for (number, old) in std::mem::take(&mut entry.chunks) {
                self.dirty.remove(&(id.clone(), number));
                self.placing.remove(&(id.clone(), number));
                for (index, mut task) in old.tasks {
                    let number = index / per_chunk;
                    let chunk = entry.chunks.entry(number).or_default();
                    let mut news = task.end_version > old.durable;
                    task.end_version = u64::from(news);
                    if news {
                        chunk.ends_since = chunk.ends_since.or(old.ends_since);
                    }
                    if let TaskState::Placed(attempt) = &mut task.state {
                        let unwritten = attempt.version > old.durable;
                        attempt.version = u64::from(unwritten);
                        news |= unwritten;
                        if unwritten {
                            chunk.placing = 1;
                            self.placing.insert((id.clone(), number));
                        }
                    }
                    if news {
                        chunk.version = 1;
                        self.dirty.insert((id.clone(), number));
                    }
                    chunk.tasks.insert(index, task);
                }
            }
        }
        left
    }

    /// A gang of which not every task found its machine after all does not wait for
    /// the rest: none of it has been told to run.
    pub fn whole_or_none(&mut self, id: &JobId) {
        let torn = |e: &JobEntry| e.gang.is_some() && e.placed > 0 && e.placed < e.spec.tasks;
        if self.jobs.get(id).is_some_and(|e| torn(e) && !e.ending()) {
            self.break_gang(id);
        }
    }

    /// The gang's attempt can't go on: what is left of it is ended.
    fn break_gang(&mut self, id: &JobId) {
        let Some(entry) = self.jobs.get_mut(id) else { return };
        let Some(gang) = entry.gang.as_mut().filter(|g| !g.broken && !g.done) else { return };
        gang.broken = entry.placed > 0;
        self.stop_all(id);
    }

    /// Stops every task of the gang's attempt: what no worker was told of is over
    /// at once, the rest on evidence. Its machines are to be told without delay.
    fn stop_all(&mut self, id: &JobId) {
        let Some(entry) = self.jobs.get_mut(id) else { return };
        let untold: Vec<u32> = entry
            .attempts()
            .filter(|(_, a)| !a.inherited && a.offered.is_none())
            .map(|(index, _)| index)
            .collect();
        for index in untold {
            self.end(&TaskId { job: id.clone(), index }, false);
        }
        let Some(entry) = self.jobs.get_mut(id) else { return };
        for chunk in entry.chunks.values_mut() {
            for task in chunk.tasks.values_mut() {
                if let TaskState::Placed(attempt) = &mut task.state {
                    // Whoever saves is told again, with no time left.
                    (attempt.stop, attempt.kill_told) = (true, false);
                    self.touched.insert(attempt.host.clone());
                    self.urgent.insert(attempt.host.clone());
                }
            }
        }
    }

    /// Gives the job's next pending task to a machine. The placement must be
    /// durable before the worker hears of it.
    pub fn place(
        &mut self,
        id: &JobId,
        host: &MachineName,
        shift: u64,
        zone: &Arc<str>,
        now: Duration,
    ) -> Option<TaskId> {
        let entry = self.jobs.get_mut(id)?;
        if entry.phase != Phase::Active || entry.pending() == 0 {
            return None;
        }
        if let Some(gang) = &mut entry.gang {
            if entry.placed == 0 {
                *gang = Gang { number: gang.number + 1, ..Gang::default() };
            } else if gang.broken || gang.stopping || gang.done {
                return None;
            }
        }
        let index = entry.again.pop_first().unwrap_or_else(|| {
            entry.fresh += 1;
            entry.fresh - 1
        });
        let number = index / entry.per_chunk;
        let chunk = entry.chunks.entry(number).or_default();
        chunk.version += 1;
        chunk.placing = chunk.version;
        let task =
            chunk.tasks.entry(index).or_insert(Task { tried: 0, end_version: 0, state: TaskState::Idle });
        task.tried = entry.gang.as_ref().map_or(task.tried + 1, |g| g.number);
        task.state = TaskState::Placed(Attempt {
            number: task.tried,
            host: host.clone(),
            shift,
            zone: zone.clone(),
            version: chunk.version,
            seen: None,
            placed: now,
            running: None,
            inherited: false,
            stop: false,
            told: false,
            offered: None,
            kill_told: false,
        });
        entry.placed += 1;
        *entry.zones.entry(zone.clone()).or_default() += 1;
        let id = TaskId { job: id.clone(), index };
        self.dirty.insert((id.job.clone(), number));
        self.placing.insert((id.job.clone(), number));
        self.touched.insert(host.clone());
        self.on_host.entry(host.clone()).or_default().insert(id.clone());
        Some(id)
    }

    pub fn attempt(&self, id: &TaskId) -> Option<&Attempt> {
        let entry = self.jobs.get(&id.job)?;
        match &entry.chunks.get(&(id.index / entry.per_chunk))?.tasks.get(&id.index)?.state {
            TaskState::Placed(attempt) => Some(attempt),
            _ => None,
        }
    }

    pub fn attempt_mut(&mut self, id: &TaskId) -> Option<&mut Attempt> {
        let entry = self.jobs.get_mut(&id.job)?;
        let chunk = entry.chunks.get_mut(&(id.index / entry.per_chunk))?;
        match &mut chunk.tasks.get_mut(&id.index)?.state {
            TaskState::Placed(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Whether the task may be started: its placement is durable, and with it that
    /// of all others of a gang.
    pub fn written(&self, id: &TaskId) -> bool {
        let Some(entry) = self.jobs.get(&id.job) else { return false };
        if entry.gang.as_ref().is_some_and(|g| g.done) || entry.ending() {
            return false;
        }
        if entry.gang.is_some() && !entry.complete() {
            return false;
        }
        let Some(chunk) = entry.chunks.get(&(id.index / entry.per_chunk)) else { return false };
        match chunk.tasks.get(&id.index).map(|t| &t.state) {
            Some(TaskState::Placed(attempt)) => attempt.version <= chunk.durable,
            _ => false,
        }
    }

    /// Stops a task, and with it all others of a gang: of these, none is freed by
    /// itself, and they save together or not at all.
    pub fn stop(&mut self, id: &TaskId) {
        let Some(entry) = self.jobs.get_mut(&id.job) else { return };
        if let Some(gang) = &mut entry.gang {
            if !std::mem::replace(&mut gang.stopping, true) && !gang.broken && !gang.done {
                self.stop_all(&id.job);
            }
            return;
        }
        if let Some(attempt) = self.attempt_mut(id) {
            attempt.stop = true;
            let host = attempt.host.clone();
            self.touched.insert(host);
        }
    }

    /// The attempts on a machine that are not proven gone.
    pub fn on_host(&self, host: &str) -> impl Iterator<Item = &TaskId> {
        self.on_host.get(host).into_iter().flatten()
    }

    /// Whether an ended attempt may be forgotten by its worker: its end must be
    /// durable, since a later leader would take it for a live one.
    pub fn may_reap(&self, id: &TaskId, number: u64) -> bool {
        let Some(entry) = self.jobs.get(&id.job) else { return false };
        let Some(chunk) = entry.chunks.get(&(id.index / entry.per_chunk)) else { return false };
        let Some(task) = chunk.tasks.get(&id.index) else { return false };
        let current = matches!(&task.state, TaskState::Placed(a) if a.number == number);
        let kept = match entry.phase {
            Phase::Active => chunk.durable >= task.end_version,
            // The job's end was written, which is that of all its tasks.
            Phase::Done => true,
            Phase::Cancelled => false,
        };
        !current && kept
    }

    /// Ends the task's attempt on evidence.
    fn end(&mut self, id: &TaskId, done: bool) {
        let Some(entry) = self.jobs.get_mut(&id.job) else { return };
        let number = id.index / entry.per_chunk;
        let Some(chunk) = entry.chunks.get_mut(&number) else { return };
        let Some(task) = chunk.tasks.get_mut(&id.index) else { return };
        let TaskState::Placed(attempt) = &task.state else { return };
        self.touched.insert(attempt.host.clone());
        if let Some(tasks) = self.on_host.get_mut(&attempt.host) {
            tasks.remove(id);
            if tasks.is_empty() {
                self.on_host.remove(&attempt.host);
            }
        }
        entry.placed -= 1;
        if attempt.seen == Some(TaskStatus::Running) {
            entry.running -= 1;
        }
        if let Some(count) = entry.zones.get_mut(&attempt.zone) {
            *count -= 1;
            if *count == 0 {
                let zone = attempt.zone.clone();
                entry.zones.remove(&zone);
            }
        }
        chunk.version += 1;
        task.end_version = chunk.version;
        let gang_done = entry.gang.as_ref().is_some_and(|g| g.done);
        if done || gang_done {
            task.state = TaskState::Done;
            match &mut entry.gang {
                Some(gang) => (gang.done, entry.done) = (true, entry.spec.tasks),
                None => entry.done += 1,
            }
        } else {
            task.state = TaskState::Idle;
            entry.again.insert(id.index);
        }
        self.dirty.insert((id.job.clone(), number));
    }

    /// Takes in a worker's report, newer than any seen of this worker. Returns
    /// what has ended, and how many attempts are missing that were there.
    ///
    /// `own`: the report carries this leader's token. Then commands of earlier
    /// leaders are refused from now on, so that an attempt of theirs that is not
    /// listed is not there and can't come. That is enough to forget attempts of
    /// cancelled jobs, of which no new ones will be made.
    pub fn observe(&mut self, report: &Heartbeat, own: bool, now: Duration) -> (Vec<Ended>, u32) {
        let here: Vec<TaskId> = self.on_host(&report.machine).cloned().collect();
        let listed: HashMap<(&TaskId, u64), TaskStatus> =
            report.tasks.iter().map(|l| ((&l.task, l.attempt), l.status)).collect();
        let mut ended = Vec::new();
        let mut lost = 0;
        for id in here {
            let Some(attempt) = self.attempt(&id) else { continue };
            let number = attempt.number;
            let (stopped, running) = (attempt.stop, attempt.running);
            let finish = |cause, ran| Ended { task: id.clone(), attempt: number, cause, ran, stopped };
            if attempt.shift < report.incarnation {
                ended.push(finish(None, None));
                self.end(&id, false);
                self.note_end(&id, now);
                continue;
            }
            if attempt.shift > report.incarnation {
                continue;
            }
            match listed.get(&(&id, number)) {
                None if own && attempt.is_fenced_by(report.token) && self.to_end(&id.job) => {
                    ended.push(finish(None, None));
                    self.end(&id, false);
                    self.note_end(&id, now);
                }
                None => lost += u32::from(attempt.seen.is_some()),
                Some(TaskStatus::Exited(cause)) => {
                    let ran = running.map(|at| now.saturating_sub(at));
                    ended.push(finish(Some(*cause), ran));
                    self.end(&id, *cause == ExitReason::Completed);
                    self.note_end(&id, now);
                }
                Some(seen) => self.saw(&id, *seen, now),
            }
        }
        // After all ends, so that one `done` counts for a gang whatever stands before
        // it in the report.
        for end in &ended {
            self.ended_together(end);
        }
        (ended, lost)
    }

    /// What the end of one task means for the others of a gang. Those that end as
    /// they were told, with time to save, leave the others theirs.
    fn ended_together(&mut self, end: &Ended) {
        let Some(entry) = self.jobs.get(&end.task.job) else { return };
        let Some(gang) = &entry.gang else { return };
        let orderly = gang.stopping && end.cause == Some(ExitReason::Stopped);
        if entry.placed > 0 && entry.phase == Phase::Active && !gang.done && !orderly {
            self.break_gang(&end.task.job);
        }
    }

    /// Whether no attempt of the job may go on.
    fn to_end(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|e| e.phase == Phase::Cancelled || e.ending())
    }

    fn saw(&mut self, id: &TaskId, seen: TaskStatus, now: Duration) {
        let Some(attempt) = self.attempt_mut(id) else { return };
        let before = attempt.seen.replace(seen);
        if seen == TaskStatus::Running && attempt.running.is_none() {
            attempt.running = Some(now);
            let host = attempt.host.clone();
            self.touched.insert(host);
        }
        let Some(entry) = self.jobs.get_mut(&id.job) else { return };
        match (before == Some(TaskStatus::Running), seen == TaskStatus::Running) {
            (false, true) => entry.running += 1,
            (true, false) => entry.running -= 1,
            _ => {}
        }
        // An earlier leader began to stop the gang: whoever is not told in time
        // spoils what the others save.
        if seen == TaskStatus::Checkpointing && entry.gang.is_some() {
            self.stop(id);
        }
    }

    fn note_end(&mut self, id: &TaskId, now: Duration) {
        if let Some(entry) = self.jobs.get_mut(&id.job) {
            if let Some(chunk) = entry.chunks.get_mut(&(id.index / entry.per_chunk)) {
                chunk.ends_since.get_or_insert(now);
            }
        }
        self.settle(&id.job);
    }

    /// The cloud confirmed that the machine is gone, and all on it.
    pub fn host_gone(&mut self, host: &str, now: Duration) -> usize {
        let here: Vec<TaskId> = self.on_host(host).cloned().collect();
        for id in &here {
            self.end(id, false);
            self.note_end(id, now);
        }
        for id in here.iter().map(|t| &t.job).collect::<BTreeSet<_>>() {
            self.break_gang(id);
        }
        here.len()
    }

    /// A chunk's value, and the version that it holds.
    pub fn encode(&self, id: &JobId, number: u32) -> Option<(String, u64)> {
        let chunk = self.jobs.get(id)?.chunks.get(&number)?;
        let mut text = StoredChunk { h: Vec::new(), t: Vec::new(), d: Vec::new() };
        let mut places: HashMap<(&str, u64), i32> = HashMap::new();
        for (index, task) in &chunk.tasks {
            match &task.state {
                TaskState::Done => match text.d.last_mut() {
                    Some((_, last)) if *last + 1 == *index => *last = *index,
                    _ => text.d.push((*index, *index)),
                },
                TaskState::Idle => text.t.push((*index, task.tried, -1)),
                TaskState::Placed(attempt) => {
                    let place = *places.entry((&attempt.host, attempt.shift)).or_insert_with(|| {
                        text.h.push((attempt.host.to_string(), attempt.shift, attempt.zone.to_string()));
                        text.h.len() as i32 - 1
                    });
                    text.t.push((*index, task.tried, place));
                }
            }
        }
        Some((serde_json::to_string(&text).ok()?, chunk.version))
    }

    /// A chunk's write is durable. Returns the machines that have news.
    pub fn committed(&mut self, id: &JobId, number: u32, version: u64, stamp: u64) -> BTreeSet<MachineName> {
        let mut hosts = BTreeSet::new();
        let Some(entry) = self.jobs.get_mut(id) else { return hosts };
        let Some(chunk) = entry.chunks.get_mut(&number) else { return hosts };
        let before = chunk.durable;
        chunk.writing = false;
        chunk.stamp = stamp;
        chunk.durable = chunk.durable.max(version);
        if chunk.durable == chunk.version {
            chunk.ends_since = None;
            self.dirty.remove(&(id.clone(), number));
        }
        if chunk.placing <= chunk.durable {
            self.placing.remove(&(id.clone(), number));
        }
        for task in chunk.tasks.values() {
            if let TaskState::Placed(a) = &task.state {
                if a.version > before && a.version <= chunk.durable {
                    hosts.insert(a.host.clone());
                }
            }
        }
        if entry.gang.is_some() && entry.complete() {
            hosts.extend(entry.attempts().map(|(_, a)| a.host.clone()));
        }
        hosts
    }

    /// The stamp that a chunk's key has now, after a write in doubt.
    pub fn restamp(&mut self, id: &JobId, number: u32, stamp: u64) {
        if let Some(chunk) = self.jobs.get_mut(id).and_then(|e| e.chunks.get_mut(&number)) {
            chunk.stale = false;
            chunk.stamp = stamp;
        }
    }

    /// Every machine with attempts not proven gone.
    pub fn hosts(&self) -> impl Iterator<Item = &MachineName> {
        self.on_host.keys()
    }

    /// A job's attempts not proven gone.
    pub fn placements<'a>(&self, entry: &'a JobEntry) -> impl Iterator<Item = &'a Attempt> + 'a {
        entry.attempts().map(|(_, attempt)| attempt)
    }

    /// The job's end is durable; true if that is news. A gang is kept until all its
    /// tasks are proven gone, which are all done although only some have said so.
    pub fn finished(&mut self, id: &JobId) -> bool {
        let Some(entry) = self.jobs.get_mut(id).filter(|e| e.phase != Phase::Done) else { return false };
        entry.phase = Phase::Done;
        if entry.placed == 0 {
            self.remove(id);
        } else {
            self.closing.remove(id);
        }
        true
    }

    /// A chunk's write failed or its reply was lost.
    pub fn write_failed(&mut self, id: &JobId, number: u32, stale: bool) {
        if let Some(chunk) = self.jobs.get_mut(id).and_then(|e| e.chunks.get_mut(&number)) {
            chunk.writing = false;
            chunk.stale |= stale;
        }
    }

    /// Forgets a job that is over in the state service, too.
    pub fn remove(&mut self, id: &JobId) -> Option<JobEntry> {
        self.closing.remove(id);
        let entry = self.jobs.remove(id)?;
        for number in entry.chunks.keys() {
            self.dirty.remove(&(id.clone(), *number));
            self.placing.remove(&(id.clone(), *number));
        }
        for tasks in entry.chunks.values().map(|c| &c.tasks) {
            for (index, task) in tasks {
                if let TaskState::Placed(a) = &task.state {
                    self.touched.insert(a.host.clone());
                    if let Some(here) = self.on_host.get_mut(&a.host) {
                        here.remove(&TaskId { job: id.clone(), index: *index });
                    }
                }
            }
        }
        Some(entry)
    }
}
