//! Chunks: ranges of a job's placements, each kept under one key of the state service.

use crate::jobs::attempt::{Attempt, Task, TaskState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use thiserror::Error;

/// The bytes that a task takes of a chunk's value in the worst case: enough for names of a
/// machine and a zone of 40 letters together.
const MAX_TASK_BYTES: usize = 64;
/// Bounds of the number of tasks in one chunk.
const MIN_TASKS_PER_CHUNK: usize = 8;
const MAX_TASKS_PER_CHUNK: usize = 400;

/// The number of tasks in one chunk such that its value has at most `value_bytes` in the worst
/// case.
pub fn tasks_per_chunk(value_bytes: usize) -> u32 {
    (value_bytes / MAX_TASK_BYTES).clamp(MIN_TASKS_PER_CHUNK, MAX_TASKS_PER_CHUNK) as u32
}

/// A range of a job's tasks, kept under one key. Every change counts its version up; what is
/// written holds all changes up to some version.
#[derive(Debug, Clone, Default)]
pub struct Chunk {
    /// The mod revision of its key; 0: never written.
    pub mod_revision: u64,
    /// The version of the latest change.
    pub version: u64,
    /// The latest version that is known to be durable.
    pub durable_version: u64,
    /// Its tasks that were placed at least once, by index in the job.
    pub tasks: BTreeMap<u32, Task>,
    /// A write is on its way.
    pub write_in_flight: bool,
    /// A write was lost or refused: the key's mod revision must be read again.
    pub revision_uncertain: bool,
    /// Since when ends of attempts wait to be written.
    pub ends_pending_since: Option<Duration>,
    /// The version of the latest placement; later ones hold only ends.
    pub placement_version: u64,
}

/// A chunk's value, ready to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedChunk {
    /// The value in JSON.
    pub value: String,
    /// The chunk version that it holds.
    pub version: u64,
}

/// Why a stored chunk can't be read.
#[derive(Debug, Error)]
pub enum ChunkError {
    /// The value is not in the form of a chunk.
    #[error("not a chunk: {0}")]
    Json(#[from] serde_json::Error),
    /// It names a task or a machine outside its bounds, or a task twice.
    #[error("a task or machine out of range")]
    Range,
}

/// The value of a `run/<id>/<n>` key.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct StoredChunk {
    /// Machines as (name, incarnation, zone).
    #[serde(rename = "h")]
    machines: Vec<(String, u64, String)>,
    /// Tasks as (index, latest attempt, place in `machines` or -1 if pending).
    #[serde(rename = "t")]
    tasks: Vec<(u32, u64, i32)>,
    /// Done tasks, as the first and last index of each run of them.
    #[serde(rename = "d")]
    done: Vec<(u32, u32)>,
}

impl StoredChunk {
    /// Reads a value.
    pub(super) fn parse(value: &str) -> Result<Self, ChunkError> {
        Ok(serde_json::from_str(value)?)
    }

    /// The chunk of a job with `job_tasks` tasks. Its attempts count as placed at `now`.
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
        for (index, latest_attempt, place) in &self.tasks {
            let state = self.task_state(*latest_attempt, *place, now)?;
            if *index >= job_tasks || chunk.tasks.contains_key(index) {
                return Err(ChunkError::Range);
            }
            chunk.tasks.insert(*index, Task { latest_attempt: *latest_attempt, end_version: 0, state });
        }
        Ok(chunk)
    }

    /// The state of a stored task, whose attempt an earlier leader placed.
    fn task_state(&self, attempt: u64, place: i32, now: Duration) -> Result<TaskState, ChunkError> {
        let Ok(place) = usize::try_from(place) else { return Ok(TaskState::Pending) };
        let (machine, incarnation, zone) = self.machines.get(place).ok_or(ChunkError::Range)?;
        let attempt = Attempt::new(attempt, machine.as_str().into(), *incarnation, zone.as_str().into(), now);
        Ok(TaskState::Placed(Attempt { inherited: true, ..attempt }))
    }
}

impl Chunk {
    /// The chunk's value, with its present version.
    pub(super) fn encode(&self) -> Option<EncodedChunk> {
        let mut stored = StoredChunk::default();
        let mut places: HashMap<(&str, u64), i32> = HashMap::new();
        for (index, task) in &self.tasks {
            match &task.state {
                TaskState::Done => match stored.done.last_mut() {
                    Some((_, last)) if *last + 1 == *index => *last = *index,
                    _ => stored.done.push((*index, *index)),
                },
                TaskState::Pending => stored.tasks.push((*index, task.latest_attempt, -1)),
                TaskState::Placed(attempt) => {
                    let place = *places.entry((&attempt.machine, attempt.incarnation)).or_insert_with(|| {
                        stored.machines.push((
                            attempt.machine.to_string(),
                            attempt.incarnation,
                            attempt.zone.to_string(),
                        ));
                        stored.machines.len() as i32 - 1
                    });
                    stored.tasks.push((*index, task.latest_attempt, place));
                }
            }
        }
        Some(EncodedChunk { value: serde_json::to_string(&stored).ok()?, version: self.version })
    }
}
