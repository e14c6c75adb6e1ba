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

use crate::calls::StoredKey;
use crate::jobs::job::{JobId, JobPhase, JobRecord, JobSpec};
use crate::protocol::{ExitReason, Heartbeat, MachineName, TaskId, TaskStatus};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    pub number: u64,
    pub machine: MachineName,
    /// The worker's session in which alone the attempt can run.
    pub incarnation: u64,
    pub zone: Arc<str>,
    /// The chunk version that must be durable before `run` may be sent.
    pub chunk_version: u64,
    pub reported_status: Option<TaskStatus>,
    pub placed_at: Duration,
    pub running_since: Option<Duration>,
    /// An earlier leader placed it.
    pub inherited: bool,
    /// Stopped for the sake of other work or of its machine.
    pub stop_requested: bool,
    /// `run` was sent straight to the worker, once.
    pub start_sent: bool,
    /// The token under which this leader last had the worker told to run it, in whatever way.
    pub offered_under_token: Option<u64>,
    /// `kill` was sent straight to the worker, once.
    pub kill_sent: bool,
}

impl Attempt {
    /// Whether a worker that knows this token refuses every command to run the attempt that
    /// was given so far: this leader gave none, or only under lower ones, by the holder of a
    /// shard that has moved since.
    fn is_fenced_by(&self, token: u64) -> bool {
        self.offered_under_token.is_none_or(|offered| offered < token)
    }
}

#[derive(Debug, Clone, PartialEq)]
pub enum TaskState {
    Pending,
    Placed(Attempt),
    Done,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Task {
    /// The highest attempt number given out.
    pub latest_attempt: u64,
    /// The chunk version that holds the end of the latest ended attempt.
    pub end_version: u64,
    pub state: TaskState,
}

/// A part of a job's tasks, kept in one key.
#[derive(Debug, Clone, Default)]
pub struct Chunk {
    pub mod_revision: u64,
    pub version: u64,
    pub durable_version: u64,
    pub tasks: BTreeMap<u32, Task>,
    pub write_in_flight: bool,
    /// A write was lost or refused: the stamp must be read again.
    pub revision_uncertain: bool,
    /// Since when ends wait to be written.
    pub ends_pending_since: Option<Duration>,
    /// The version of the latest placement; later ones hold only ends.
    pub placement_version: u64,
}

/// What the tasks of a gang have in common.
#[derive(Debug, Clone, Default)]
pub struct Gang {
    /// The latest attempt's number.
    pub attempt: u64,
    /// That attempt can't go on: what is left of it is ended at once.
    pub broken: bool,
    /// One of its tasks is done, and so are all.
    pub completed: bool,
    /// Some task was told to stop and may save: the others are told, too.
    pub stopping: bool,
}

#[derive(Debug, Clone)]
pub struct JobEntry {
    pub spec: Arc<JobSpec>,
    pub gang: Option<Gang>,
    pub phase: JobPhase,
    pub mod_revision: u64,
    pub accepted_at: Duration,
    pub cancelled_at: Option<Duration>,
    pub tasks_per_chunk: u32,
    pub chunks: BTreeMap<u32, Chunk>,
    /// The chunks were laid anew.
    pub rechunked: bool,
    /// Keys that hold chunks of the layout before, dropped with the job.
    pub superseded_keys: Vec<StoredKey>,
    /// Tasks from here on were never placed.
    pub first_unplaced: u32,
    /// Tasks whose last attempt is proven gone.
    pub to_restart: BTreeSet<u32>,
    pub done: u32,
    /// Attempts not proven gone.
    pub placed: u32,
    /// Attempts that were last seen running.
    pub running: u32,
    pub attempts_by_zone: BTreeMap<Arc<str>, u32>,
    /// Errors in a row, and the machines they came from.
    pub consecutive_errors: u32,
    pub failed_machines: BTreeSet<MachineName>,
    pub backoff_until: Duration,
    /// The final record is being written.
    pub final_write_in_flight: bool,
    /// The job's key must be read again before anything is written for it.
    pub revision_uncertain: bool,
    pub late_logged: bool,
}

impl JobEntry {
    /// Tasks that could be placed now.
    pub fn pending(&self) -> u32 {
        self.spec.tasks - self.first_unplaced + self.to_restart.len() as u32
    }

    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.done
    }

    /// Whether tasks can be placed: those of a gang only together, when nothing of
    /// the attempt before is left.
    pub fn is_placeable(&self) -> bool {
        self.pending() > 0 && (self.gang.is_none() || self.placed == 0)
    }

    /// Whether every task of a gang has a durable placement, so that they may start.
    pub fn all_placements_durable(&self) -> bool {
        self.placed == self.spec.tasks
            && self.chunks.values().all(|c| c.placement_version <= c.durable_version)
    }

    pub fn is_gang_broken(&self) -> bool {
        self.gang.as_ref().is_some_and(|g| g.broken)
    }

    /// The gang's attempt is to end, with or without time to save.
    pub fn is_gang_ending(&self) -> bool {
        self.gang.as_ref().is_some_and(|g| g.broken || g.stopping)
    }

    /// Every key that holds placements of the job.
    pub fn stored_keys(&self, id: &JobId) -> Vec<StoredKey> {
        let written = self.chunks.iter().filter(|(_, c)| c.mod_revision > 0 || c.revision_uncertain);
        let old = self.superseded_keys.iter().cloned();
        let chunk = |(number, chunk): (&u32, &Chunk)| StoredKey {
            key: id.chunk_key(*number, self.rechunked),
            revision: (!chunk.revision_uncertain).then_some(chunk.mod_revision),
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

/// What became of an attempt in a report.
#[derive(Debug, Clone, PartialEq)]
pub struct Ended {
    pub task: TaskId,
    pub attempt: u64,
    /// None: the attempt is gone without the worker having said how.
    pub reason: Option<ExitReason>,
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
        TaskState::Pending => {
            entry.to_restart.remove(&index);
        }
        TaskState::Done => entry.done -= 1,
        TaskState::Placed(attempt) => {
            entry.placed -= 1;
            if let Some(count) = entry.attempts_by_zone.get_mut(&attempt.zone) {
                *count -= 1;
            }
            entry.attempts_by_zone.retain(|_, count| *count > 0);
            if let Some(here) = on_host.get_mut(&attempt.machine) {
                here.remove(&TaskId { job: id.clone(), index });
            }
        }
    }
}

#[derive(Debug, Default)]
pub struct JobTable {
    pub jobs: BTreeMap<JobId, JobEntry>,
    by_machine: HashMap<MachineName, BTreeSet<TaskId>>,
    /// Chunks with changes that are not durable.
    pub dirty_chunks: BTreeSet<(JobId, u32)>,
    /// Those of them with placements that wait to be written.
    pub dirty_placements: BTreeSet<(JobId, u32)>,
    /// Machines whose attempts have changed since the last look.
    pub changed_machines: BTreeSet<MachineName>,
    /// Jobs all of whose tasks have ended, one way or the other.
    pub ended_jobs: BTreeSet<JobId>,
    /// Machines with tasks of gangs that were just told to end.
    pub machines_to_stop: BTreeSet<MachineName>,
}

impl JobTable {
    /// Takes in a job's record. `accepted` and `cancelled` are on our clock.
    pub fn upsert(
        &mut self,
        id: &JobId,
        record: JobRecord,
        mod_revision: u64,
        accepted: Duration,
        cancelled: Option<Duration>,
        per_chunk: u32,
    ) {
        if let Some(entry) = self.jobs.get_mut(id) {
            if mod_revision < entry.mod_revision {
                return;
            }
            entry.mod_revision = mod_revision;
            entry.revision_uncertain = false;
            if record.phase == JobPhase::Cancelled && entry.phase == JobPhase::Active {
                entry.phase = JobPhase::Cancelled;
                entry.cancelled_at = cancelled;
                self.check_ended(id);
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
                mod_revision,
                accepted_at: accepted,
                cancelled_at: cancelled,
                tasks_per_chunk: per_chunk,
                chunks: BTreeMap::new(),
                rechunked: false,
                superseded_keys: Vec::new(),
                first_unplaced: 0,
                to_restart: BTreeSet::new(),
                done: 0,
                placed: 0,
                running: 0,
                attempts_by_zone: BTreeMap::new(),
                consecutive_errors: 0,
                failed_machines: BTreeSet::new(),
                backoff_until: Duration::ZERO,
                final_write_in_flight: false,
                revision_uncertain: false,
                late_logged: false,
            },
        );
        self.check_ended(id);
    }

    /// Notes whether nothing of the job is left to run or to wait for, and lets
    /// go of placements of a cancelled job that no worker was ever told of.
    fn check_ended(&mut self, id: &JobId) {
        let Some(entry) = self.jobs.get(id) else { return };
        if entry.phase == JobPhase::Cancelled {
            let untold: Vec<u32> = entry
                .chunks
                .values()
                .flat_map(|c| c.tasks.iter().map(move |(i, t)| (c, *i, t)))
                .filter(|(c, _, t)| matches!(&t.state, TaskState::Placed(a) if a.chunk_version > c.durable_version))
                .map(|(_, i, _)| i)
                .collect();
            for index in untold {
                self.end_attempt(&TaskId { job: id.clone(), index }, false);
            }
        }
        let Some(entry) = self.jobs.get(id) else { return };
        let over = match entry.phase {
            JobPhase::Active => entry.done == entry.spec.tasks,
            _ => entry.placed == 0,
        };
        if over {
            self.ended_jobs.insert(id.clone());
        }
    }

    /// Reads a chunk back. Only for jobs whose record is known.
    pub fn load_chunk(
        &mut self,
        id: &JobId,
        number: u32,
        value: &str,
        mod_revision: u64,
        now: Duration,
    ) -> Result<(), ChunkError> {
        let text: StoredChunk = serde_json::from_str(value)?;
        let Some(entry) = self.jobs.get_mut(id) else { return Ok(()) };
        let tasks = entry.spec.tasks;
        let mut chunk = Chunk { mod_revision, ..Chunk::default() };
        // A job that was accepted when values could be larger: the smaller chunk
        // takes the place of what the old ones say of its tasks.
        if let Some(before) = entry.chunks.remove(&number) {
            for (index, task) in before.tasks {
                forget(entry, &mut self.by_machine, id, index, &task);
            }
        }
        for (first, last) in text.d {
            if first > last || last >= tasks {
                return Err(ChunkError::Range);
            }
            for index in first..=last {
                chunk.tasks.insert(index, Task { latest_attempt: 0, end_version: 0, state: TaskState::Done });
            }
        }
        for (index, tried, place) in text.t {
            let state = match usize::try_from(place) {
                Err(_) => TaskState::Pending,
                Ok(place) => {
                    let (host, incarnation, zone) = text.h.get(place).ok_or(ChunkError::Range)?;
                    TaskState::Placed(Attempt {
                        number: tried,
                        machine: host.as_str().into(),
                        incarnation: *incarnation,
                        zone: zone.as_str().into(),
                        chunk_version: 0,
                        reported_status: None,
                        placed_at: now,
                        running_since: None,
                        inherited: true,
                        stop_requested: false,
                        start_sent: false,
                        offered_under_token: None,
                        kill_sent: false,
                    })
                }
            };
            if index >= tasks || chunk.tasks.contains_key(&index) {
                return Err(ChunkError::Range);
            }
            chunk.tasks.insert(index, Task { latest_attempt: tried, end_version: 0, state });
        }
        for (index, task) in &chunk.tasks {
            match &task.state {
                TaskState::Pending => {
                    entry.to_restart.insert(*index);
                }
                TaskState::Done => entry.done += 1,
                TaskState::Placed(attempt) => {
                    entry.placed += 1;
                    self.changed_machines.insert(attempt.machine.clone());
                    *entry.attempts_by_zone.entry(attempt.zone.clone()).or_default() += 1;
                    self.by_machine
                        .entry(attempt.machine.clone())
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
    pub fn finish_loading(&mut self) {
        for entry in self.jobs.values_mut() {
            let known: BTreeSet<u32> = entry.chunks.values().flat_map(|c| c.tasks.keys().copied()).collect();
            entry.first_unplaced = known.last().map_or(0, |last| last + 1);
            let gaps: Vec<u32> = (0..entry.first_unplaced).filter(|i| !known.contains(i)).collect();
            entry.to_restart.extend(gaps);
            let numbers = entry.chunks.values().flat_map(|c| c.tasks.values()).map(|t| t.latest_attempt);
            if let Some(gang) = &mut entry.gang {
                gang.attempt = numbers.max().unwrap_or(0);
                gang.completed = entry.done > 0;
                if gang.completed {
                    entry.done = entry.spec.tasks;
                }
            }
        }
        for id in self.jobs.keys().cloned().collect::<Vec<_>>() {
            // Some task of the attempt has ended, or was never placed.
            self.break_incomplete_gang(&id);
            self.check_ended(&id);
        }
    }

    /// Has jobs whose chunks were laid out for larger values than `per_chunk` tasks
    /// need kept in smaller chunks from now on. What is on its way to the state
    /// service is waited for; true if some job still has to.
    pub fn rechunk(&mut self, per_chunk: u32) -> bool {
        let mut left = false;
        for (id, entry) in self.jobs.iter_mut().filter(|(_, e)| e.tasks_per_chunk > per_chunk) {
            if entry.chunks.values().any(|c| c.write_in_flight || c.revision_uncertain) {
                left = true;
                continue;
            }
            entry.superseded_keys = entry.stored_keys(id);
            entry.tasks_per_chunk = per_chunk;
            entry.rechunked = true;
            for (number, old) in std::mem::take(&mut entry.chunks) {
                self.dirty_chunks.remove(&(id.clone(), number));
                self.dirty_placements.remove(&(id.clone(), number));
                for (index, mut task) in old.tasks {
                    let number = index / per_chunk;
                    let chunk = entry.chunks.entry(number).or_default();
                    let mut news = task.end_version > old.durable_version;
                    task.end_version = u64::from(news);
                    if news {
                        chunk.ends_pending_since = chunk.ends_pending_since.or(old.ends_pending_since);
                    }
                    if let TaskState::Placed(attempt) = &mut task.state {
                        let unwritten = attempt.chunk_version > old.durable_version;
                        attempt.chunk_version = u64::from(unwritten);
                        news |= unwritten;
                        if unwritten {
                            chunk.placement_version = 1;
                            self.dirty_placements.insert((id.clone(), number));
                        }
                    }
                    if news {
                        chunk.version = 1;
                        self.dirty_chunks.insert((id.clone(), number));
                    }
                    chunk.tasks.insert(index, task);
                }
            }
        }
        left
    }

    /// A gang of which not every task found its machine after all does not wait for
    /// the rest: none of it has been told to run.
    pub fn break_incomplete_gang(&mut self, id: &JobId) {
        let torn = |e: &JobEntry| e.gang.is_some() && e.placed > 0 && e.placed < e.spec.tasks;
        if self.jobs.get(id).is_some_and(|e| torn(e) && !e.is_gang_ending()) {
            self.break_gang(id);
        }
    }

    /// The gang's attempt can't go on: what is left of it is ended.
    fn break_gang(&mut self, id: &JobId) {
        let Some(entry) = self.jobs.get_mut(id) else { return };
        let Some(gang) = entry.gang.as_mut().filter(|g| !g.broken && !g.completed) else { return };
        gang.broken = entry.placed > 0;
        self.stop_gang(id);
    }

    /// Stops every task of the gang's attempt: what no worker was told of is over
    /// at once, the rest on evidence. Its machines are to be told without delay.
    fn stop_gang(&mut self, id: &JobId) {
        let Some(entry) = self.jobs.get_mut(id) else { return };
        let untold: Vec<u32> = entry
            .attempts()
            .filter(|(_, a)| !a.inherited && a.offered_under_token.is_none())
            .map(|(index, _)| index)
            .collect();
        for index in untold {
            self.end_attempt(&TaskId { job: id.clone(), index }, false);
        }
        let Some(entry) = self.jobs.get_mut(id) else { return };
        for chunk in entry.chunks.values_mut() {
            for task in chunk.tasks.values_mut() {
                if let TaskState::Placed(attempt) = &mut task.state {
                    // Whoever saves is told again, with no time left.
                    (attempt.stop_requested, attempt.kill_sent) = (true, false);
                    self.changed_machines.insert(attempt.machine.clone());
                    self.machines_to_stop.insert(attempt.machine.clone());
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
        incarnation: u64,
        zone: &Arc<str>,
        now: Duration,
    ) -> Option<TaskId> {
        let entry = self.jobs.get_mut(id)?;
        if entry.phase != JobPhase::Active || entry.pending() == 0 {
            return None;
        }
        if let Some(gang) = &mut entry.gang {
            if entry.placed == 0 {
                *gang = Gang { attempt: gang.attempt + 1, ..Gang::default() };
            } else if gang.broken || gang.stopping || gang.completed {
                return None;
            }
        }
        let index = entry.to_restart.pop_first().unwrap_or_else(|| {
            entry.first_unplaced += 1;
            entry.first_unplaced - 1
        });
        let number = index / entry.tasks_per_chunk;
        let chunk = entry.chunks.entry(number).or_default();
        chunk.version += 1;
        chunk.placement_version = chunk.version;
        let task = chunk.tasks.entry(index).or_insert(Task {
            latest_attempt: 0,
            end_version: 0,
            state: TaskState::Pending,
        });
        task.latest_attempt = entry.gang.as_ref().map_or(task.latest_attempt + 1, |g| g.attempt);
        task.state = TaskState::Placed(Attempt {
            number: task.latest_attempt,
            machine: host.clone(),
            incarnation,
            zone: zone.clone(),
            chunk_version: chunk.version,
            reported_status: None,
            placed_at: now,
            running_since: None,
            inherited: false,
            stop_requested: false,
            start_sent: false,
            offered_under_token: None,
            kill_sent: false,
        });
        entry.placed += 1;
        *entry.attempts_by_zone.entry(zone.clone()).or_default() += 1;
        let id = TaskId { job: id.clone(), index };
        self.dirty_chunks.insert((id.job.clone(), number));
        self.dirty_placements.insert((id.job.clone(), number));
        self.changed_machines.insert(host.clone());
        self.by_machine.entry(host.clone()).or_default().insert(id.clone());
        Some(id)
    }

    pub fn attempt(&self, id: &TaskId) -> Option<&Attempt> {
        let entry = self.jobs.get(&id.job)?;
        match &entry.chunks.get(&(id.index / entry.tasks_per_chunk))?.tasks.get(&id.index)?.state {
            TaskState::Placed(attempt) => Some(attempt),
            _ => None,
        }
    }

    pub fn attempt_mut(&mut self, id: &TaskId) -> Option<&mut Attempt> {
        let entry = self.jobs.get_mut(&id.job)?;
        let chunk = entry.chunks.get_mut(&(id.index / entry.tasks_per_chunk))?;
        match &mut chunk.tasks.get_mut(&id.index)?.state {
            TaskState::Placed(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Whether the task may be started: its placement is durable, and with it that
    /// of all others of a gang.
    pub fn may_start(&self, id: &TaskId) -> bool {
        let Some(entry) = self.jobs.get(&id.job) else { return false };
        if entry.gang.as_ref().is_some_and(|g| g.completed) || entry.is_gang_ending() {
            return false;
        }
        if entry.gang.is_some() && !entry.all_placements_durable() {
            return false;
        }
        let Some(chunk) = entry.chunks.get(&(id.index / entry.tasks_per_chunk)) else { return false };
        match chunk.tasks.get(&id.index).map(|t| &t.state) {
            Some(TaskState::Placed(attempt)) => attempt.chunk_version <= chunk.durable_version,
            _ => false,
        }
    }

    /// Stops a task, and with it all others of a gang: of these, none is freed by
    /// itself, and they save together or not at all.
    pub fn stop(&mut self, id: &TaskId) {
        let Some(entry) = self.jobs.get_mut(&id.job) else { return };
        if let Some(gang) = &mut entry.gang {
            if !std::mem::replace(&mut gang.stopping, true) && !gang.broken && !gang.completed {
                self.stop_gang(&id.job);
            }
            return;
        }
        if let Some(attempt) = self.attempt_mut(id) {
            attempt.stop_requested = true;
            let host = attempt.machine.clone();
            self.changed_machines.insert(host);
        }
    }

    /// The attempts on a machine that are not proven gone.
    pub fn by_machine(&self, host: &str) -> impl Iterator<Item = &TaskId> {
        self.by_machine.get(host).into_iter().flatten()
    }

    /// Whether an ended attempt may be forgotten by its worker: its end must be
    /// durable, since a later leader would take it for a live one.
    pub fn may_acknowledge(&self, id: &TaskId, number: u64) -> bool {
        let Some(entry) = self.jobs.get(&id.job) else { return false };
        let Some(chunk) = entry.chunks.get(&(id.index / entry.tasks_per_chunk)) else { return false };
        let Some(task) = chunk.tasks.get(&id.index) else { return false };
        let current = matches!(&task.state, TaskState::Placed(a) if a.number == number);
        let kept = match entry.phase {
            JobPhase::Active => chunk.durable_version >= task.end_version,
            // The job's end was written, which is that of all its tasks.
            JobPhase::Done => true,
            JobPhase::Cancelled => false,
        };
        !current && kept
    }

    /// Ends the task's attempt on evidence.
    fn end_attempt(&mut self, id: &TaskId, done: bool) {
        let Some(entry) = self.jobs.get_mut(&id.job) else { return };
        let number = id.index / entry.tasks_per_chunk;
        let Some(chunk) = entry.chunks.get_mut(&number) else { return };
        let Some(task) = chunk.tasks.get_mut(&id.index) else { return };
        let TaskState::Placed(attempt) = &task.state else { return };
        self.changed_machines.insert(attempt.machine.clone());
        if let Some(tasks) = self.by_machine.get_mut(&attempt.machine) {
            tasks.remove(id);
            if tasks.is_empty() {
                self.by_machine.remove(&attempt.machine);
            }
        }
        entry.placed -= 1;
        if attempt.reported_status == Some(TaskStatus::Running) {
            entry.running -= 1;
        }
        if let Some(count) = entry.attempts_by_zone.get_mut(&attempt.zone) {
            *count -= 1;
            if *count == 0 {
                let zone = attempt.zone.clone();
                entry.attempts_by_zone.remove(&zone);
            }
        }
        chunk.version += 1;
        task.end_version = chunk.version;
        let gang_done = entry.gang.as_ref().is_some_and(|g| g.completed);
        if done || gang_done {
            task.state = TaskState::Done;
            match &mut entry.gang {
                Some(gang) => (gang.completed, entry.done) = (true, entry.spec.tasks),
                None => entry.done += 1,
            }
        } else {
            task.state = TaskState::Pending;
            entry.to_restart.insert(id.index);
        }
        self.dirty_chunks.insert((id.job.clone(), number));
    }

    /// Takes in a worker's report, newer than any seen of this worker. Returns
    /// what has ended, and how many attempts are missing that were there.
    ///
    /// `own`: the report carries this leader's token. Then commands of earlier
    /// leaders are refused from now on, so that an attempt of theirs that is not
    /// listed is not there and can't come. That is enough to forget attempts of
    /// cancelled jobs, of which no new ones will be made.
    pub fn observe_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        own: bool,
        now: Duration,
    ) -> (Vec<Ended>, u32) {
        let here: Vec<TaskId> = self.by_machine(&heartbeat.machine).cloned().collect();
        let listed: HashMap<(&TaskId, u64), TaskStatus> =
            heartbeat.tasks.iter().map(|l| ((&l.task, l.attempt), l.status)).collect();
        let mut ended = Vec::new();
        let mut lost = 0;
        for id in here {
            let Some(attempt) = self.attempt(&id) else { continue };
            let number = attempt.number;
            let (stopped, running) = (attempt.stop_requested, attempt.running_since);
            let finish =
                |cause, ran| Ended { task: id.clone(), attempt: number, reason: cause, ran, stopped };
            if attempt.incarnation < heartbeat.incarnation {
                ended.push(finish(None, None));
                self.end_attempt(&id, false);
                self.mark_end_pending(&id, now);
                continue;
            }
            if attempt.incarnation > heartbeat.incarnation {
                continue;
            }
            match listed.get(&(&id, number)) {
                None if own && attempt.is_fenced_by(heartbeat.token) && self.is_ending(&id.job) => {
                    ended.push(finish(None, None));
                    self.end_attempt(&id, false);
                    self.mark_end_pending(&id, now);
                }
                None => lost += u32::from(attempt.reported_status.is_some()),
                Some(TaskStatus::Exited(cause)) => {
                    let ran = running.map(|at| now.saturating_sub(at));
                    ended.push(finish(Some(*cause), ran));
                    self.end_attempt(&id, *cause == ExitReason::Completed);
                    self.mark_end_pending(&id, now);
                }
                Some(seen) => self.record_status(&id, *seen, now),
            }
        }
        // After all ends, so that one `done` counts for a gang whatever stands before
        // it in the report.
        for end in &ended {
            self.break_gang_after_end(end);
        }
        (ended, lost)
    }

    /// What the end of one task means for the others of a gang. Those that end as
    /// they were told, with time to save, leave the others theirs.
    fn break_gang_after_end(&mut self, end: &Ended) {
        let Some(entry) = self.jobs.get(&end.task.job) else { return };
        let Some(gang) = &entry.gang else { return };
        let orderly = gang.stopping && end.reason == Some(ExitReason::Stopped);
        if entry.placed > 0 && entry.phase == JobPhase::Active && !gang.completed && !orderly {
            self.break_gang(&end.task.job);
        }
    }

    /// Whether no attempt of the job may go on.
    fn is_ending(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|e| e.phase == JobPhase::Cancelled || e.is_gang_ending())
    }

    fn record_status(&mut self, id: &TaskId, seen: TaskStatus, now: Duration) {
        let Some(attempt) = self.attempt_mut(id) else { return };
        let before = attempt.reported_status.replace(seen);
        if seen == TaskStatus::Running && attempt.running_since.is_none() {
            attempt.running_since = Some(now);
            let host = attempt.machine.clone();
            self.changed_machines.insert(host);
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

    fn mark_end_pending(&mut self, id: &TaskId, now: Duration) {
        if let Some(entry) = self.jobs.get_mut(&id.job) {
            if let Some(chunk) = entry.chunks.get_mut(&(id.index / entry.tasks_per_chunk)) {
                chunk.ends_pending_since.get_or_insert(now);
            }
        }
        self.check_ended(&id.job);
    }

    /// The cloud confirmed that the machine is gone, and all on it.
    pub fn machine_gone(&mut self, host: &str, now: Duration) -> usize {
        let here: Vec<TaskId> = self.by_machine(host).cloned().collect();
        for id in &here {
            self.end_attempt(id, false);
            self.mark_end_pending(id, now);
        }
        for id in here.iter().map(|t| &t.job).collect::<BTreeSet<_>>() {
            self.break_gang(id);
        }
        here.len()
    }

    /// A chunk's value, and the version that it holds.
    pub fn encode_chunk(&self, id: &JobId, number: u32) -> Option<(String, u64)> {
        let chunk = self.jobs.get(id)?.chunks.get(&number)?;
        let mut text = StoredChunk { h: Vec::new(), t: Vec::new(), d: Vec::new() };
        let mut places: HashMap<(&str, u64), i32> = HashMap::new();
        for (index, task) in &chunk.tasks {
            match &task.state {
                TaskState::Done => match text.d.last_mut() {
                    Some((_, last)) if *last + 1 == *index => *last = *index,
                    _ => text.d.push((*index, *index)),
                },
                TaskState::Pending => text.t.push((*index, task.latest_attempt, -1)),
                TaskState::Placed(attempt) => {
                    let place = *places.entry((&attempt.machine, attempt.incarnation)).or_insert_with(|| {
                        text.h.push((
                            attempt.machine.to_string(),
                            attempt.incarnation,
                            attempt.zone.to_string(),
                        ));
                        text.h.len() as i32 - 1
                    });
                    text.t.push((*index, task.latest_attempt, place));
                }
            }
        }
        Some((serde_json::to_string(&text).ok()?, chunk.version))
    }

    /// A chunk's write is durable. Returns the machines that have news.
    pub fn chunk_committed(
        &mut self,
        id: &JobId,
        number: u32,
        version: u64,
        mod_revision: u64,
    ) -> BTreeSet<MachineName> {
        let mut hosts = BTreeSet::new();
        let Some(entry) = self.jobs.get_mut(id) else { return hosts };
        let Some(chunk) = entry.chunks.get_mut(&number) else { return hosts };
        let before = chunk.durable_version;
        chunk.write_in_flight = false;
        chunk.mod_revision = mod_revision;
        chunk.durable_version = chunk.durable_version.max(version);
        if chunk.durable_version == chunk.version {
            chunk.ends_pending_since = None;
            self.dirty_chunks.remove(&(id.clone(), number));
        }
        if chunk.placement_version <= chunk.durable_version {
            self.dirty_placements.remove(&(id.clone(), number));
        }
        for task in chunk.tasks.values() {
            if let TaskState::Placed(a) = &task.state {
                if a.chunk_version > before && a.chunk_version <= chunk.durable_version {
                    hosts.insert(a.machine.clone());
                }
            }
        }
        if entry.gang.is_some() && entry.all_placements_durable() {
            hosts.extend(entry.attempts().map(|(_, a)| a.machine.clone()));
        }
        hosts
    }

    /// The stamp that a chunk's key has now, after a write in doubt.
    pub fn set_chunk_revision(&mut self, id: &JobId, number: u32, mod_revision: u64) {
        if let Some(chunk) = self.jobs.get_mut(id).and_then(|e| e.chunks.get_mut(&number)) {
            chunk.revision_uncertain = false;
            chunk.mod_revision = mod_revision;
        }
    }

    /// Every machine with attempts not proven gone.
    pub fn machines(&self) -> impl Iterator<Item = &MachineName> {
        self.by_machine.keys()
    }

    /// A job's attempts not proven gone.
    pub fn attempts_of<'a>(&self, entry: &'a JobEntry) -> impl Iterator<Item = &'a Attempt> + 'a {
        entry.attempts().map(|(_, attempt)| attempt)
    }

    /// The job's end is durable; true if that is news. A gang is kept until all its
    /// tasks are proven gone, which are all done although only some have said so.
    pub fn job_finished(&mut self, id: &JobId) -> bool {
        let Some(entry) = self.jobs.get_mut(id).filter(|e| e.phase != JobPhase::Done) else { return false };
        entry.phase = JobPhase::Done;
        if entry.placed == 0 {
            self.remove(id);
        } else {
            self.ended_jobs.remove(id);
        }
        true
    }

    /// A chunk's write failed or its reply was lost.
    pub fn chunk_write_failed(&mut self, id: &JobId, number: u32, stale: bool) {
        if let Some(chunk) = self.jobs.get_mut(id).and_then(|e| e.chunks.get_mut(&number)) {
            chunk.write_in_flight = false;
            chunk.revision_uncertain |= stale;
        }
    }

    /// Forgets a job that is over in the state service, too.
    pub fn remove(&mut self, id: &JobId) -> Option<JobEntry> {
        self.ended_jobs.remove(id);
        let entry = self.jobs.remove(id)?;
        for number in entry.chunks.keys() {
            self.dirty_chunks.remove(&(id.clone(), *number));
            self.dirty_placements.remove(&(id.clone(), *number));
        }
        for tasks in entry.chunks.values().map(|c| &c.tasks) {
            for (index, task) in tasks {
                if let TaskState::Placed(a) = &task.state {
                    self.changed_machines.insert(a.machine.clone());
                    if let Some(here) = self.by_machine.get_mut(&a.machine) {
                        here.remove(&TaskId { job: id.clone(), index: *index });
                    }
                }
            }
        }
        Some(entry)
    }
}
