//! The entry of a job in the job table: its specification, its chunks and the counts of its tasks by
//! state.

use crate::calls::ObsoleteKey;
use crate::jobs::attempt::{Attempt, TaskState};
use crate::jobs::chunk::Chunk;
use crate::jobs::job::{JobId, JobPhase, JobRecord, JobSpec};
use crate::protocol::{MachineName, TaskStatus};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The state that the tasks of a gang share.
#[derive(Debug, Clone, Default)]
pub struct Gang {
    /// The number of the latest attempt.
    pub attempt: u64,
    /// Whether the attempt can't continue, because a task of it ended or was not placed. The remaining
    /// tasks are stopped without time to checkpoint.
    pub broken: bool,
    /// Whether a task has completed, which makes all tasks of the gang count as completed.
    pub completed: bool,
    /// Whether all tasks were asked to stop. Unless the attempt is broken, they may checkpoint.
    pub stopping: bool,
}

/// A job's row in the state service, with times converted to this node's steady clock.
#[derive(Debug, Clone)]
pub struct StoredJob {
    /// The job's record.
    pub record: JobRecord,
    /// The row's mod revision.
    pub mod_revision: u64,
    /// When the job was accepted.
    pub accepted_at: Duration,
    /// When the job was cancelled.
    pub cancelled_at: Option<Duration>,
    /// The number of tasks in each of the job's original chunks. Rechunking replaces them by smaller ones.
    pub tasks_per_chunk: u32,
}

/// A job with its attempts, as the leader knows it.
#[derive(Debug, Clone)]
pub struct JobEntry {
    /// The job's specification.
    pub spec: Arc<JobSpec>,
    /// The state that the tasks share, if the job is a gang.
    pub gang: Option<Gang>,
    /// The phase as stored in the state service.
    pub phase: JobPhase,
    /// The mod revision of the job's row.
    pub mod_revision: u64,
    /// When the job was accepted, on this node's steady clock.
    pub accepted_at: Duration,
    /// When the job was cancelled, on this node's steady clock.
    pub cancelled_at: Option<Duration>,
    /// The number of tasks in each chunk.
    pub tasks_per_chunk: u32,
    /// The chunks that hold tasks, by number.
    pub chunks: BTreeMap<u32, Chunk>,
    /// Whether the job was rechunked, so that its chunks are stored under the keys for smaller chunks.
    pub rechunked: bool,
    /// Keys of chunks from before rechunking, which are deleted once the job is over.
    pub superseded_keys: Vec<ObsoleteKey>,
    /// The tasks with this index and higher ones were never placed.
    pub first_unplaced: u32,
    /// The indices of the pending tasks below `first_unplaced`. The latest attempt of such a task is
    /// proven over without having completed, or no attempt of the task is stored.
    pub to_restart: BTreeSet<u32>,
    /// The number of tasks that are done.
    pub done: u32,
    /// The number of attempts not proven over.
    pub placed: u32,
    /// The number of attempts that were running according to the latest heartbeat that listed them.
    pub running: u32,
    /// The number of attempts not proven over in each zone; zones without any are left out.
    pub attempts_by_zone: BTreeMap<Arc<str>, u32>,
    /// The number of failed attempts since a task last completed.
    pub consecutive_errors: u32,
    /// The machines on which those attempts failed.
    pub failed_machines: BTreeSet<MachineName>,
    /// No task is placed before this time, because attempts failed or were refused.
    pub backoff_until: Duration,
    /// Whether a write of the final record is in flight.
    pub final_write_in_flight: bool,
    /// Whether the job's row must be read again before anything is written for the job.
    pub revision_uncertain: bool,
    /// Whether it was logged that the job is late.
    pub late_logged: bool,
}

impl JobEntry {
    /// Creates the entry of a job whose placements are not loaded. Returns `None` if the record has no
    /// specification.
    pub(super) fn new(job: StoredJob) -> Option<Self> {
        let spec = job.record.spec?;
        let gang = spec.gang.then(Gang::default);
        Some(Self {
            spec: Arc::new(spec),
            gang,
            phase: job.record.phase,
            mod_revision: job.mod_revision,
            accepted_at: job.accepted_at,
            cancelled_at: job.cancelled_at,
            tasks_per_chunk: job.tasks_per_chunk,
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
        })
    }

    /// Returns the number of tasks that can be placed.
    pub fn pending(&self) -> u32 {
        self.spec.tasks - self.first_unplaced + self.to_restart.len() as u32
    }

    /// Returns the number of tasks that are not done.
    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.done
    }

    /// Whether the job has tasks that can be placed. The tasks of a gang are placed together, once the
    /// previous attempt is over for all of them.
    pub fn is_placeable(&self) -> bool {
        self.pending() > 0 && (self.gang.is_none() || self.placed == 0)
    }

    /// Whether every task of the job has a durable placement. The tasks of a gang may only start then.
    pub fn all_placements_durable(&self) -> bool {
        self.placed == self.spec.tasks
            && self.chunks.values().all(|chunk| chunk.placement_version <= chunk.durable_version)
    }

    /// Whether the job is a gang whose attempt must end without time to checkpoint.
    pub fn is_gang_broken(&self) -> bool {
        self.gang.as_ref().is_some_and(|gang| gang.broken)
    }

    /// Whether the job is a gang whose attempt must end, with or without time to checkpoint.
    pub fn is_gang_ending(&self) -> bool {
        self.gang.as_ref().is_some_and(|gang| gang.broken || gang.stopping)
    }

    /// Whether the job is a gang of which a task has completed, so that all tasks count as completed.
    pub(super) fn is_gang_completed(&self) -> bool {
        self.gang.as_ref().is_some_and(|gang| gang.completed)
    }

    /// Returns all keys under which placements of the job are or may be stored.
    pub fn stored_keys(&self, id: &JobId) -> Vec<ObsoleteKey> {
        let superseded = self.superseded_keys.iter().cloned();
        let written =
            self.chunks.iter().filter(|(_, chunk)| chunk.mod_revision > 0 || chunk.revision_uncertain);
        let stored_key = |(number, chunk): (&u32, &Chunk)| ObsoleteKey {
            key: id.chunk_key(*number, self.rechunked),
            revision: (!chunk.revision_uncertain).then_some(chunk.mod_revision),
        };
        superseded.chain(written.map(stored_key)).collect()
    }

    /// Returns the number of the chunk that contains the task.
    pub(super) fn chunk_number(&self, index: u32) -> u32 {
        index / self.tasks_per_chunk
    }

    /// Returns the chunk that contains the task.
    pub(super) fn chunk_of(&self, index: u32) -> Option<&Chunk> {
        self.chunks.get(&self.chunk_number(index))
    }

    /// Returns the chunk that contains the task.
    pub(super) fn chunk_of_mut(&mut self, index: u32) -> Option<&mut Chunk> {
        let number = self.chunk_number(index);
        self.chunks.get_mut(&number)
    }

    /// Returns the task's attempt, if it has one that is not proven over.
    pub(super) fn attempt(&self, index: u32) -> Option<&Attempt> {
        match &self.chunk_of(index)?.tasks.get(&index)?.state {
            TaskState::Placed(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Returns the attempts not proven over, with the indices of their tasks.
    pub fn attempts(&self) -> impl Iterator<Item = (u32, &Attempt)> {
        self.chunks.values().flat_map(|chunk| &chunk.tasks).filter_map(|(index, task)| match &task.state {
            TaskState::Placed(attempt) => Some((*index, attempt)),
            _ => None,
        })
    }

    /// Removes the next task from the pending ones and returns its index. The job must have a pending
    /// task.
    pub(super) fn take_pending(&mut self) -> u32 {
        self.to_restart.pop_first().unwrap_or_else(|| {
            self.first_unplaced += 1;
            self.first_unplaced - 1
        })
    }

    /// Adds an attempt that no heartbeat has listed yet to the counts.
    pub(super) fn count_attempt(&mut self, zone: &Arc<str>) {
        self.placed += 1;
        *self.attempts_by_zone.entry(zone.clone()).or_default() += 1;
    }

    /// Removes an attempt from the counts.
    pub(super) fn uncount_attempt(&mut self, zone: &Arc<str>, reported_status: Option<TaskStatus>) {
        self.placed -= 1;
        if reported_status == Some(TaskStatus::Running) {
            self.running -= 1;
        }
        if let Some(count) = self.attempts_by_zone.get_mut(zone) {
            *count -= 1;
            if *count == 0 {
                self.attempts_by_zone.remove(zone);
            }
        }
    }
}
