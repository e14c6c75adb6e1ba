//! Rechunking: replaces a job's chunks by smaller ones after the maximum size of values was reduced.
//!
//! The smaller chunks are written under other keys than the original ones. From its first write, a
//! smaller chunk is authoritative for its range of tasks; until then, the original chunk is. Each
//! smaller chunk can therefore be written independently of the others.

use crate::jobs::attempt::{Task, TaskState};
use crate::jobs::job::JobId;
use crate::jobs::job_entry::JobEntry;
use crate::jobs::job_table::JobTable;
use std::time::Duration;

/// The changes of a task that are not durable yet when the task moves to a smaller chunk.
struct UnwrittenChanges {
    end: bool,
    placement: bool,
}

impl JobTable {
    /// Rechunks all jobs whose chunks contain more than `tasks_per_chunk` tasks, except those with writes
    /// in flight or of unknown outcome. Returns whether there are such jobs left to rechunk.
    pub fn rechunk(&mut self, tasks_per_chunk: u32) -> bool {
        let mut any_left = false;
        let oversized: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, entry)| entry.tasks_per_chunk > tasks_per_chunk)
            .map(|(id, _)| id.clone())
            .collect();
        for id in oversized {
            any_left |= !self.rechunk_job(&id, tasks_per_chunk);
        }
        any_left
    }

    /// Rechunks a job. Returns false, and changes nothing, if a write of one of its chunks is in flight
    /// or has an unknown outcome.
    fn rechunk_job(&mut self, id: &JobId, tasks_per_chunk: u32) -> bool {
        let Some(entry) = self.jobs.get_mut(id) else { return true };
        if entry.chunks.values().any(|chunk| chunk.write_in_flight || chunk.revision_uncertain) {
            return false;
        }
        entry.superseded_keys = entry.stored_keys(id);
        entry.tasks_per_chunk = tasks_per_chunk;
        entry.rechunked = true;
        for (old_number, old) in std::mem::take(&mut entry.chunks) {
            self.dirty_chunks.remove(&(id.clone(), old_number));
            self.dirty_placements.remove(&(id.clone(), old_number));
            for (index, mut task) in old.tasks {
                let unwritten = renumber_versions(&mut task, old.durable_version);
                move_task(entry, index, task, &unwritten, old.ends_pending_since);
                let key = (id.clone(), entry.chunk_number(index));
                if unwritten.placement {
                    self.dirty_placements.insert(key.clone());
                }
                if unwritten.end || unwritten.placement {
                    self.dirty_chunks.insert(key);
                }
            }
        }
        true
    }
}

/// Renumbers the task's versions for a chunk that has not been written yet: changes that are durable
/// belong to version 0, all others to version 1, which is the first to be written.
fn renumber_versions(task: &mut Task, durable_version: u64) -> UnwrittenChanges {
    let end = task.end_version > durable_version;
    task.end_version = u64::from(end);
    let mut placement = false;
    if let TaskState::Placed(attempt) = &mut task.state {
        placement = attempt.chunk_version > durable_version;
        attempt.chunk_version = u64::from(placement);
    }
    UnwrittenChanges { end, placement }
}

/// Moves the task to its new chunk.
fn move_task(
    entry: &mut JobEntry,
    index: u32,
    task: Task,
    unwritten: &UnwrittenChanges,
    ends_pending_since: Option<Duration>,
) {
    let number = entry.chunk_number(index);
    let chunk = entry.chunks.entry(number).or_default();
    if unwritten.end {
        chunk.ends_pending_since = chunk.ends_pending_since.or(ends_pending_since);
    }
    if unwritten.placement {
        chunk.placement_version = 1;
    }
    if unwritten.end || unwritten.placement {
        chunk.version = 1;
    }
    chunk.tasks.insert(index, task);
}
