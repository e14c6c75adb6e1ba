//! Chunks. A chunk is a range of a job's tasks whose placements are stored under one key of the state
//! service.

use crate::jobs::attempt::{Attempt, Task, TaskState};
use crate::jobs::job::{JobId, CHUNK_PREFIX};
use crate::protocol::{KeyValue, MachineName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use thiserror::Error;

/// The number of bytes that a task takes in a chunk's value in the worst case: machine and zone names
/// may have 40 characters together.
const MAX_TASK_BYTES: usize = 64;
/// Bounds of the number of tasks in a chunk.
const MIN_TASKS_PER_CHUNK: usize = 8;
const MAX_TASKS_PER_CHUNK: usize = 400;

/// Returns the number of tasks per chunk such that a chunk's value takes at most `value_bytes` in the
/// worst case.
pub fn tasks_per_chunk(value_bytes: usize) -> u32 {
    (value_bytes / MAX_TASK_BYTES).clamp(MIN_TASKS_PER_CHUNK, MAX_TASKS_PER_CHUNK) as u32
}

/// The key of a stored chunk, see [`JobId::chunk_key`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkKey {
    /// The job.
    pub job: JobId,
    /// Whether it is one of the smaller chunks that replace the job's original chunks after the maximum
    /// size of values was reduced.
    pub rechunked: bool,
    /// The chunk's number in the job.
    pub number: u32,
}

impl ChunkKey {
    /// Parses a key.
    pub fn parse(key: &str) -> Option<Self> {
        let (job, number) = key.strip_prefix(CHUNK_PREFIX)?.split_once('/')?;
        let rechunked_number = number.strip_prefix('s');
        Some(Self {
            job: JobId::parse(job).ok()?,
            rechunked: rechunked_number.is_some(),
            number: rechunked_number.unwrap_or(number).parse().ok()?,
        })
    }
}

/// A range of a job's tasks, stored under one key. Every change increments the chunk's version, and a
/// stored value contains all changes up to its version.
#[derive(Debug, Clone, Default)]
pub struct Chunk {
    /// The mod revision of the chunk's key; 0 if it was never written.
    pub mod_revision: u64,
    /// The version of the latest change.
    pub version: u64,
    /// The highest version that is known to be durable.
    pub durable_version: u64,
    /// The tasks that were placed at least once, by index in the job.
    pub tasks: BTreeMap<u32, Task>,
    /// Whether a write of the chunk is in flight.
    pub write_in_flight: bool,
    /// Whether the key's mod revision must be read again, because a write conflicted or its outcome is
    /// unknown.
    pub revision_uncertain: bool,
    /// When the first of the ends of attempts that still wait to be written was recorded.
    pub ends_pending_since: Option<Duration>,
    /// The version of the latest placement; later versions only record ended attempts.
    pub placement_version: u64,
}

/// The encoded value of a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedChunk {
    /// The value as JSON.
    pub value: String,
    /// The chunk version that the value contains.
    pub version: u64,
}

/// The reason why a stored chunk can't be decoded.
#[derive(Debug, Error)]
pub enum ChunkError {
    /// The value is not the JSON of a chunk.
    #[error("invalid chunk JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A task or machine index is out of range, or a task is listed twice.
    #[error("a task or machine index is out of range, or a task is listed twice")]
    Range,
}

/// An attempt whose end is not stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAttempt {
    /// The attempt's number.
    pub number: u64,
    /// The machine that the task was placed on.
    pub machine: MachineName,
    /// The worker's incarnation for which the task was placed; the attempt can't run in another one.
    pub incarnation: u64,
}

/// The value of a `run/<id>/<n>` key.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct StoredChunk {
    /// Machines as (name, incarnation, zone).
    #[serde(rename = "h")]
    machines: Vec<(String, u64, String)>,
    /// Tasks as (task index, latest attempt, index in `machines` or -1 if pending).
    #[serde(rename = "t")]
    tasks: Vec<(u32, u64, i32)>,
    /// Done tasks, as the first and last task index of each consecutive range.
    #[serde(rename = "d")]
    done: Vec<(u32, u32)>,
}

impl StoredChunk {
    /// Parses the value of a chunk's key.
    pub(super) fn parse(value: &str) -> Result<Self, ChunkError> {
        Ok(serde_json::from_str(value)?)
    }

    /// Converts the value to a chunk of a job with `job_tasks` tasks. Its attempts count as placed at
    /// `now`.
    pub(super) fn into_chunk(
        self,
        mod_revision: u64,
        job_tasks: u32,
        now: Duration,
    ) -> Result<Chunk, ChunkError> {
        let mut chunk = Chunk { mod_revision, ..Chunk::default() };
        for (first, last) in &self.done {
            if first > last || *last >= job_tasks {
                return Err(ChunkError::Range);
            }
            for index in *first..=*last {
                chunk.tasks.insert(index, Task { latest_attempt: 0, end_version: 0, state: TaskState::Done });
            }
        }
        for (index, latest_attempt, machine_index) in &self.tasks {
            let state = self.task_state(*latest_attempt, *machine_index, now)?;
            if *index >= job_tasks || chunk.tasks.contains_key(index) {
                return Err(ChunkError::Range);
            }
            chunk.tasks.insert(*index, Task { latest_attempt: *latest_attempt, end_version: 0, state });
        }
        Ok(chunk)
    }

    /// Applies the chunk to the attempts that were read from the job's other chunks so far. A smaller
    /// chunk replaces what the original ones say of its tasks, so it must be applied after them.
    pub(super) fn apply_to(&self, attempts: &mut BTreeMap<u32, StoredAttempt>) -> Result<(), ChunkError> {
        for (first, last) in &self.done {
            attempts.retain(|index, _| index < first || index > last);
        }
        for (index, number, machine_index) in &self.tasks {
            let Ok(machine_index) = usize::try_from(*machine_index) else {
                attempts.remove(index);
                continue;
            };
            let (machine, incarnation, _) = self.machines.get(machine_index).ok_or(ChunkError::Range)?;
            let (machine, incarnation) = (machine.as_str().into(), *incarnation);
            attempts.insert(*index, StoredAttempt { number: *number, machine, incarnation });
        }
        Ok(())
    }

    /// Returns the state of a stored task. If it has an attempt, an earlier leader placed it.
    fn task_state(&self, attempt: u64, machine_index: i32, now: Duration) -> Result<TaskState, ChunkError> {
        let Ok(machine_index) = usize::try_from(machine_index) else { return Ok(TaskState::Pending) };
        let (machine, incarnation, zone) = self.machines.get(machine_index).ok_or(ChunkError::Range)?;
        let attempt = Attempt::new(attempt, machine.as_str().into(), *incarnation, zone.as_str().into(), now);
        Ok(TaskState::Placed(Attempt { inherited: true, ..attempt }))
    }
}

/// Returns the attempts of a job by task index, from the rows of all its chunks.
///
/// # Errors
///
/// Returns [`ChunkError`] if a value can't be decoded.
pub fn stored_attempts(rows: &[KeyValue]) -> Result<BTreeMap<u32, StoredAttempt>, ChunkError> {
    let is_rechunked = |row: &&KeyValue| ChunkKey::parse(&row.key).is_some_and(|key| key.rechunked);
    let (rechunked, original): (Vec<_>, Vec<_>) = rows.iter().partition(is_rechunked);
    let mut attempts = BTreeMap::new();
    for row in original.into_iter().chain(rechunked) {
        StoredChunk::parse(&row.value)?.apply_to(&mut attempts)?;
    }
    Ok(attempts)
}

impl Chunk {
    /// Encodes the chunk at its current version.
    pub(super) fn encode(&self) -> Option<EncodedChunk> {
        let mut stored = StoredChunk::default();
        let mut machine_indices: HashMap<(&str, u64), i32> = HashMap::new();
        for (index, task) in &self.tasks {
            match &task.state {
                TaskState::Done => match stored.done.last_mut() {
                    Some((_, last)) if *last + 1 == *index => *last = *index,
                    _ => stored.done.push((*index, *index)),
                },
                TaskState::Pending => stored.tasks.push((*index, task.latest_attempt, -1)),
                TaskState::Placed(attempt) => {
                    let machine_index = *machine_indices
                        .entry((&attempt.machine, attempt.incarnation))
                        .or_insert_with(|| {
                            stored.machines.push((
                                attempt.machine.to_string(),
                                attempt.incarnation,
                                attempt.zone.to_string(),
                            ));
                            stored.machines.len() as i32 - 1
                        });
                    stored.tasks.push((*index, task.latest_attempt, machine_index));
                }
            }
        }
        Some(EncodedChunk { value: serde_json::to_string(&stored).ok()?, version: self.version })
    }
}
