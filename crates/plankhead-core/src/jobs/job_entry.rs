//! A job in the job table: its description, its chunks and the counts over its tasks.

use crate::calls::StoredKey;
use crate::jobs::attempt::{Attempt, TaskState};
use crate::jobs::chunk::Chunk;
use crate::jobs::job::{JobId, JobPhase, JobRecord, JobSpec};
use crate::protocol::{MachineName, TaskStatus};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// What the tasks of a gang have in common.
#[derive(Debug, Clone, Default)]
pub struct Gang {
    /// The latest attempt's number.
    pub attempt: u64,
    /// That attempt can't go on: what is left of it is ended at once.
    pub broken: bool,
    /// One of its tasks is done, and so are all.
    pub completed: bool,
    /// Some task was asked to stop and may checkpoint: the others are asked, too.
    pub stopping: bool,
}

/// A job's row in the state service, with its times on this node's clock.
#[derive(Debug, Clone)]
pub struct StoredJob {
    /// The row's value.
    pub record: JobRecord,
    /// The row's mod revision.
    pub mod_revision: u64,
    /// When the job was accepted.
    pub accepted_at: Duration,
    /// When it was cancelled.
    pub cancelled_at: Option<Duration>,
    /// How many tasks each of its chunks has, unless they were rechunked.
    pub tasks_per_chunk: u32,
}

/// A job with its attempts, as the leader knows it.
#[derive(Debug, Clone)]
pub struct JobEntry {
    /// What the user asked for.
    pub spec: Arc<JobSpec>,
    /// Of a gang: what its tasks have in common.
    pub gang: Option<Gang>,
    /// As the state service knows it.
    pub phase: JobPhase,
    /// The mod revision of the job's row.
    pub mod_revision: u64,
    /// When the job was accepted, on this node's clock.
    pub accepted_at: Duration,
    /// When it was cancelled, on this node's clock.
    pub cancelled_at: Option<Duration>,
    /// How many tasks each of the chunks has.
    pub tasks_per_chunk: u32,
    /// The chunks that hold tasks, by number.
    pub chunks: BTreeMap<u32, Chunk>,
    /// The job was rechunked: its chunks are under the keys for smaller ones.
    pub rechunked: bool,
    /// Keys that hold chunks of the layout before, dropped with the job.
    pub superseded_keys: Vec<StoredKey>,
    /// Tasks from here on were never placed.
    pub first_unplaced: u32,
    /// Tasks whose last attempt is proven over, and that are not done.
    pub to_restart: BTreeSet<u32>,
    /// Tasks that are done.
    pub done: u32,
    /// Attempts not proven over.
    pub placed: u32,
    /// Attempts that were last reported as running.
    pub running: u32,
    /// Attempts not proven over, by zone; only zones that have some.
    pub attempts_by_zone: BTreeMap<Arc<str>, u32>,
    /// Errors in a row.
    pub consecutive_errors: u32,
    /// The machines that those errors came from.
    pub failed_machines: BTreeSet<MachineName>,
    /// Nothing of the job is placed before this time, after errors.
    pub backoff_until: Duration,
    /// The final record is being written.
    pub final_write_in_flight: bool,
    /// The job's row must be read again before anything is written for it.
    pub revision_uncertain: bool,
    /// It was logged that the job is late.
    pub late_logged: bool,
}

impl JobEntry {
    /// A job none of whose placements are known; None for a record without a description.
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

    /// The number of tasks that could be placed now.
    pub fn pending(&self) -> u32 {
        self.spec.tasks - self.first_unplaced + self.to_restart.len() as u32
    }

    /// The number of tasks that are not done.
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
            && self.chunks.values().all(|chunk| chunk.placement_version <= chunk.durable_version)
    }

    /// Whether the job is a gang whose attempt is to end at once.
    pub fn is_gang_broken(&self) -> bool {
        self.gang.as_ref().is_some_and(|gang| gang.broken)
    }

    /// Whether the job is a gang whose attempt is to end, with or without time to checkpoint.
    pub fn is_gang_ending(&self) -> bool {
        self.gang.as_ref().is_some_and(|gang| gang.broken || gang.stopping)
    }

    /// Whether one task of a gang is done, and so all are.
    pub(super) fn is_gang_completed(&self) -> bool {
        self.gang.as_ref().is_some_and(|gang| gang.completed)
    }

    /// Every key that holds placements of the job.
    pub fn stored_keys(&self, id: &JobId) -> Vec<StoredKey> {
        let superseded = self.superseded_keys.iter().cloned();
        let written =
            self.chunks.iter().filter(|(_, chunk)| chunk.mod_revision > 0 || chunk.revision_uncertain);
        let stored_key = |(number, chunk): (&u32, &Chunk)| StoredKey {
            key: id.chunk_key(*number, self.rechunked),
            revision: (!chunk.revision_uncertain).then_some(chunk.mod_revision),
        };
        superseded.chain(written.map(stored_key)).collect()
    }

    /// The number of the chunk that holds this task.
    pub(super) fn chunk_number(&self, index: u32) -> u32 {
        index / self.tasks_per_chunk
    }

    /// The chunk that holds this task.
    pub(super) fn chunk_of(&self, index: u32) -> Option<&Chunk> {
        self.chunks.get(&self.chunk_number(index))
    }

    /// The chunk that holds this task.
    pub(super) fn chunk_of_mut(&mut self, index: u32) -> Option<&mut Chunk> {
        let number = self.chunk_number(index);
        self.chunks.get_mut(&number)
    }

    /// The task's attempt if it is not proven over.
    pub(super) fn attempt(&self, index: u32) -> Option<&Attempt> {
        match &self.chunk_of(index)?.tasks.get(&index)?.state {
            TaskState::Placed(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// The attempts not proven over, with the indices of their tasks.
    pub(super) fn attempts(&self) -> impl Iterator<Item = (u32, &Attempt)> {
        self.chunks.values().flat_map(|chunk| &chunk.tasks).filter_map(|(index, task)| match &task.state {
            TaskState::Placed(attempt) => Some((*index, attempt)),
            _ => None,
        })
    }

    /// Takes the next pending task, of which there must be one, and returns its index.
    pub(super) fn take_pending(&mut self) -> u32 {
        self.to_restart.pop_first().unwrap_or_else(|| {
            self.first_unplaced += 1;
            self.first_unplaced - 1
        })
    }

    /// Counts an attempt in this zone that no heartbeat has listed yet.
    pub(super) fn count_attempt(&mut self, zone: &Arc<str>) {
        self.placed += 1;
        *self.attempts_by_zone.entry(zone.clone()).or_default() += 1;
    }

    /// Takes an attempt out of the counts.
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
