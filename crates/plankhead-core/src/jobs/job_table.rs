//! The job table: which tasks are placed on which machines, and which attempts are proven over.
//!
//! A task has at most one attempt that is not proven over. There are three kinds of evidence that an
//! attempt is over: the worker listed it as exited, the worker reported a later incarnation, or the
//! cloud confirmed the release of the machine. A heartbeat that does not list an attempt proves
//! nothing by itself, and neither does the passing of time. For cancelled jobs and ending gangs,
//! [`JobTable::observe_heartbeat`] accepts one more kind of evidence: the heartbeat does not list the
//! attempt, and its token shows that the worker refuses every start of the attempt offered so far.
//!
//! The tasks of a gang share one attempt: they are placed together, start together and end together.
//! If one of them is lost or exits without having completed, the rest of the attempt is stopped too.
//! The next attempt begins only when the previous one is over for all tasks, so that two attempts of a
//! gang never overlap and never count twice towards zones or limits.

pub use crate::jobs::attempt::{Attempt, EndedAttempt, Task, TaskState};
pub use crate::jobs::chunk::{tasks_per_chunk, Chunk, ChunkError, EncodedChunk};
pub use crate::jobs::job_entry::{Gang, JobEntry, StoredJob};

use crate::jobs::job::{JobId, JobPhase};
use crate::protocol::{MachineName, TaskId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// The tasks that have an attempt on each machine.
pub(super) type TasksByMachine = HashMap<MachineName, BTreeSet<TaskId>>;

/// The jobs that are not over, with their attempts.
#[derive(Debug, Default)]
pub struct JobTable {
    /// The jobs by id.
    pub jobs: BTreeMap<JobId, JobEntry>,
    pub(super) by_machine: TasksByMachine,
    /// The chunks that have changes which are not durable.
    pub dirty_chunks: BTreeSet<(JobId, u32)>,
    /// The chunks that have placements which are not durable.
    pub dirty_placements: BTreeSet<(JobId, u32)>,
    /// Machines whose attempts have changed since this set was last taken.
    pub changed_machines: BTreeSet<MachineName>,
    /// The jobs that can be closed: active jobs whose tasks are all done, and jobs that are not active
    /// and have no attempts left that may be alive.
    pub ended_jobs: BTreeSet<JobId>,
    /// Machines whose workers must be told without delay to stop tasks of gangs.
    pub machines_to_stop: BTreeSet<MachineName>,
}

impl JobTable {
    /// Adds the job to `ended_jobs` if it has nothing left to run or to wait for. First ends those
    /// attempts of a cancelled job whose start was never sent to a worker.
    pub(super) fn check_ended(&mut self, id: &JobId) {
        let Some(entry) = self.jobs.get(id) else { return };
        if entry.phase == JobPhase::Cancelled {
            self.end_unwritten_attempts(id);
        }
        let Some(entry) = self.jobs.get(id) else { return };
        let is_over = match entry.phase {
            JobPhase::Active => entry.done == entry.spec.tasks,
            _ => entry.placed == 0,
        };
        if is_over {
            self.ended_jobs.insert(id.clone());
        }
    }

    /// Ends the job's attempts whose placement is not durable. Their starts were not sent to a worker.
    fn end_unwritten_attempts(&mut self, id: &JobId) {
        let Some(entry) = self.jobs.get(id) else { return };
        let unwritten: Vec<u32> = entry
            .chunks
            .values()
            .flat_map(|chunk| chunk.tasks.iter().map(move |(index, task)| (chunk, *index, task)))
            .filter(|(chunk, _, task)| {
                matches!(&task.state, TaskState::Placed(a) if a.chunk_version > chunk.durable_version)
            })
            .map(|(_, index, _)| index)
            .collect();
        for index in unwritten {
            self.end_attempt(&TaskId { job: id.clone(), index }, false);
        }
    }

    /// Places the job's next pending task on a machine, for the worker's current incarnation. The
    /// placement must be durable before the worker is told to start the task. Returns `None` if no task
    /// of the job may be placed.
    pub fn place(
        &mut self,
        id: &JobId,
        machine: &MachineName,
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
        let index = entry.take_pending();
        let gang_attempt = entry.gang.as_ref().map(|gang| gang.attempt);
        let number = entry.chunk_number(index);
        let chunk = entry.chunks.entry(number).or_default();
        chunk.version += 1;
        chunk.placement_version = chunk.version;
        let task = chunk.tasks.entry(index).or_insert(Task {
            latest_attempt: 0,
            end_version: 0,
            state: TaskState::Pending,
        });
        task.latest_attempt = gang_attempt.unwrap_or(task.latest_attempt + 1);
        let attempt = Attempt::new(task.latest_attempt, machine.clone(), incarnation, zone.clone(), now);
        task.state = TaskState::Placed(Attempt { chunk_version: chunk.version, ..attempt });
        entry.count_attempt(zone);
        let id = TaskId { job: id.clone(), index };
        self.dirty_chunks.insert((id.job.clone(), number));
        self.dirty_placements.insert((id.job.clone(), number));
        self.changed_machines.insert(machine.clone());
        self.by_machine.entry(machine.clone()).or_default().insert(id.clone());
        Some(id)
    }

    /// Returns the task's attempt, if it has one that is not proven over.
    pub fn attempt(&self, id: &TaskId) -> Option<&Attempt> {
        self.jobs.get(&id.job)?.attempt(id.index)
    }

    /// Returns the task's attempt, if it has one that is not proven over.
    pub fn attempt_mut(&mut self, id: &TaskId) -> Option<&mut Attempt> {
        let chunk = self.jobs.get_mut(&id.job)?.chunk_of_mut(id.index)?;
        match &mut chunk.tasks.get_mut(&id.index)?.state {
            TaskState::Placed(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Whether the task may be started: its placement must be durable, and for a gang those of all
    /// tasks.
    pub fn may_start(&self, id: &TaskId) -> bool {
        let Some(entry) = self.jobs.get(&id.job) else { return false };
        if entry.is_gang_completed() || entry.is_gang_ending() {
            return false;
        }
        if entry.gang.is_some() && !entry.all_placements_durable() {
            return false;
        }
        let Some(chunk) = entry.chunk_of(id.index) else { return false };
        entry.attempt(id.index).is_some_and(|attempt| attempt.chunk_version <= chunk.durable_version)
    }

    /// Returns the tasks with an attempt on the machine that is not proven over.
    pub fn by_machine(&self, machine: &str) -> impl Iterator<Item = &TaskId> {
        self.by_machine.get(machine).into_iter().flatten()
    }

    /// Whether the worker may be told to forget an attempt that has exited. The end must be durable:
    /// a later leader would otherwise take the attempt for a live one.
    pub fn may_acknowledge(&self, id: &TaskId, attempt: u64) -> bool {
        let Some(entry) = self.jobs.get(&id.job) else { return false };
        let Some(chunk) = entry.chunk_of(id.index) else { return false };
        let Some(task) = chunk.tasks.get(&id.index) else { return false };
        let is_current = matches!(&task.state, TaskState::Placed(current) if current.number == attempt);
        let is_end_durable = match entry.phase {
            JobPhase::Active => chunk.durable_version >= task.end_version,
            // The job's final record is durable and includes the ends of all tasks.
            JobPhase::Done => true,
            JobPhase::Cancelled => false,
        };
        !is_current && is_end_durable
    }

    /// Ends the task's attempt, and marks the task as done or as pending. The caller must have evidence
    /// that the attempt is over.
    pub(super) fn end_attempt(&mut self, id: &TaskId, done: bool) {
        let Some(entry) = self.jobs.get_mut(&id.job) else { return };
        let Some(attempt) = entry.attempt(id.index) else { return };
        let (machine, zone) = (attempt.machine.clone(), attempt.zone.clone());
        let reported_status = attempt.reported_status;
        entry.uncount_attempt(&zone, reported_status);
        let is_done = done || entry.is_gang_completed();
        let number = entry.chunk_number(id.index);
        let Some(chunk) = entry.chunks.get_mut(&number) else { return };
        let Some(task) = chunk.tasks.get_mut(&id.index) else { return };
        chunk.version += 1;
        task.end_version = chunk.version;
        if is_done {
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
        if let Some(tasks) = self.by_machine.get_mut(&machine) {
            tasks.remove(id);
            if tasks.is_empty() {
                self.by_machine.remove(&machine);
            }
        }
        self.changed_machines.insert(machine);
    }

    /// Encodes a chunk at its current version.
    pub fn encode_chunk(&self, id: &JobId, number: u32) -> Option<EncodedChunk> {
        self.jobs.get(id)?.chunks.get(&number)?.encode()
    }

    /// Records that a chunk's `version` was written at `mod_revision`. Returns the machines whose tasks
    /// may now start.
    pub fn chunk_committed(
        &mut self,
        id: &JobId,
        number: u32,
        version: u64,
        mod_revision: u64,
    ) -> BTreeSet<MachineName> {
        let mut machines = BTreeSet::new();
        let Some(entry) = self.jobs.get_mut(id) else { return machines };
        let Some(chunk) = entry.chunks.get_mut(&number) else { return machines };
        let previous_version = chunk.durable_version;
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
            if let TaskState::Placed(attempt) = &task.state {
                let newly_durable = previous_version + 1..=chunk.durable_version;
                if newly_durable.contains(&attempt.chunk_version) {
                    machines.insert(attempt.machine.clone());
                }
            }
        }
        if entry.gang.is_some() && entry.all_placements_durable() {
            machines.extend(entry.attempts().map(|(_, attempt)| attempt.machine.clone()));
        }
        machines
    }

    /// Sets the current mod revision of a chunk's key, which was read again after a write whose outcome
    /// was unknown or that conflicted.
    pub fn set_chunk_revision(&mut self, id: &JobId, number: u32, mod_revision: u64) {
        if let Some(chunk) = self.chunk_mut(id, number) {
            chunk.revision_uncertain = false;
            chunk.mod_revision = mod_revision;
        }
    }

    /// Records that the write of a chunk failed or that its reply was lost. `revision_uncertain` says
    /// whether the key's mod revision must be read again.
    pub fn chunk_write_failed(&mut self, id: &JobId, number: u32, revision_uncertain: bool) {
        if let Some(chunk) = self.chunk_mut(id, number) {
            chunk.write_in_flight = false;
            chunk.revision_uncertain |= revision_uncertain;
        }
    }

    fn chunk_mut(&mut self, id: &JobId, number: u32) -> Option<&mut Chunk> {
        self.jobs.get_mut(id)?.chunks.get_mut(&number)
    }

    /// Returns the machines with attempts not proven over. It also returns machines that have none left
    /// because the last ones were dropped from the table with a removed job or a superseded chunk.
    pub fn machines(&self) -> impl Iterator<Item = &MachineName> {
        self.by_machine.keys()
    }

    /// Returns a job's attempts not proven over.
    pub fn attempts_of<'a>(&self, entry: &'a JobEntry) -> impl Iterator<Item = &'a Attempt> + 'a {
        entry.attempts().map(|(_, attempt)| attempt)
    }

    /// Records that the job's final record is durable, and returns whether this was not known yet. A
    /// gang stays in the table until all its attempts are proven over: its tasks count as done once one
    /// of them has completed, although others have not been reported as exited yet.
    pub fn job_finished(&mut self, id: &JobId) -> bool {
        let Some(entry) = self.jobs.get_mut(id).filter(|entry| entry.phase != JobPhase::Done) else {
            return false;
        };
        entry.phase = JobPhase::Done;
        if entry.placed == 0 {
            self.remove(id);
        } else {
            self.ended_jobs.remove(id);
        }
        true
    }

    /// Removes a job that is over in the state service or whose placements can't be read.
    pub fn remove(&mut self, id: &JobId) -> Option<JobEntry> {
        self.ended_jobs.remove(id);
        let entry = self.jobs.remove(id)?;
        for number in entry.chunks.keys() {
            self.dirty_chunks.remove(&(id.clone(), *number));
            self.dirty_placements.remove(&(id.clone(), *number));
        }
        for (index, attempt) in entry.attempts() {
            self.changed_machines.insert(attempt.machine.clone());
            if let Some(tasks) = self.by_machine.get_mut(&attempt.machine) {
                tasks.remove(&TaskId { job: id.clone(), index });
            }
        }
        Some(entry)
    }
}
