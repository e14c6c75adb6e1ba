//! Rechunking: jobs whose chunks were laid out for larger values get smaller ones.
//!
//! Where values may be smaller than they were when a job was accepted, its chunks are written
//! anew under other keys. Each of the smaller ones stands for its range of tasks from when it is
//! written; until then, and for the other ranges, the old one does. So nothing is ever moved in
//! steps that need each other.

use crate::jobs::attempt::{Task, TaskState};
use crate::jobs::job::JobId;
use crate::jobs::job_entry::JobEntry;
use crate::jobs::job_table::JobTable;
use std::time::Duration;

/// What of a task is not durable yet when it moves into a smaller chunk.
struct UnwrittenChanges {
    end: bool,
    placement: bool,
}

impl JobTable {
    /// Has jobs whose chunks hold more than `tasks_per_chunk` tasks kept in smaller chunks from
    /// now on. What is on its way to the state service is waited for; true if some job still has
    /// to be rechunked.
    pub fn rechunk(&mut self, tasks_per_chunk: u32) -> bool {
        let mut is_left = false;
        let oversized: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, entry)| entry.tasks_per_chunk > tasks_per_chunk)
            .map(|(id, _)| id.clone())
            .collect();
        for id in oversized {
            is_left |= !self.rechunk_job(&id, tasks_per_chunk);
        }
        is_left
    }

    /// Rechunks one job; false while a write of it is on its way or in doubt.
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

/// Sets the task's versions for a chunk that has not been written yet, whose first write is
/// version 1: what is durable counts as version 0.
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

/// Puts the task into its new chunk.
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
