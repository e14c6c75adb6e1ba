//! Loading: fills the job table from the rows of the state service.

use crate::jobs::attempt::{Task, TaskState};
use crate::jobs::chunk::{ChunkError, StoredChunk};
use crate::jobs::job::{JobId, JobPhase};
use crate::jobs::job_entry::{JobEntry, StoredJob};
use crate::jobs::job_table::{JobTable, TasksByMachine};
use crate::protocol::TaskId;
use std::collections::BTreeSet;
use std::time::Duration;

impl JobTable {
    /// Adds a job from its row, or updates a known job. A row that is older than the known one is ignored.
    /// Of a known job, only the revision is updated and, if the row says that an active job was
    /// cancelled, the phase and the time of the cancellation.
    pub fn upsert(&mut self, id: &JobId, job: StoredJob) {
        let Some(entry) = self.jobs.get_mut(id) else {
            if let Some(entry) = JobEntry::new(job) {
                self.jobs.insert(id.clone(), entry);
                self.check_ended(id);
            }
            return;
        };
        if job.mod_revision < entry.mod_revision {
            return;
        }
        entry.mod_revision = job.mod_revision;
        entry.revision_uncertain = false;
        if job.record.phase == JobPhase::Cancelled && entry.phase == JobPhase::Active {
            entry.phase = JobPhase::Cancelled;
            entry.cancelled_at = job.cancelled_at;
            self.check_ended(id);
        }
    }

    /// Adds a stored chunk to its job. A chunk whose job is not in the table is ignored, so the job records
    /// must be loaded first. The chunk's attempts count as placed at `now`.
    ///
    /// # Errors
    ///
    /// Returns [`ChunkError`] if the value can't be decoded. The caller must not start any task of the
    /// job then, since its attempts are unknown.
    pub fn load_chunk(
        &mut self,
        id: &JobId,
        number: u32,
        value: &str,
        mod_revision: u64,
        now: Duration,
    ) -> Result<(), ChunkError> {
        let stored = StoredChunk::parse(value)?;
        let Some(entry) = self.jobs.get_mut(id) else { return Ok(()) };
        // A chunk of this number exists already if the job was loaded from its original chunks and then
        // rechunked. The stored smaller chunk is authoritative for its range of tasks and replaces the one
        // that was derived from the original chunks.
        if let Some(superseded) = entry.chunks.remove(&number) {
            for (index, task) in &superseded.tasks {
                uncount_task(entry, &mut self.by_machine, TaskId { job: id.clone(), index: *index }, task);
            }
        }
        let chunk = stored.into_chunk(mod_revision, entry.spec.tasks, now)?;
        for (index, task) in &chunk.tasks {
            match &task.state {
                TaskState::Pending => {
                    entry.to_restart.insert(*index);
                }
                TaskState::Done => entry.done += 1,
                TaskState::Placed(attempt) => {
                    entry.count_attempt(&attempt.zone);
                    self.changed_machines.insert(attempt.machine.clone());
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

    /// Completes the table after all chunks are loaded: marks every task below the highest stored index
    /// that has no stored state as pending, breaks gangs of which only some tasks are placed, and finds
    /// the jobs that have ended.
    pub fn finish_loading(&mut self) {
        for entry in self.jobs.values_mut() {
            let known: BTreeSet<u32> =
                entry.chunks.values().flat_map(|chunk| chunk.tasks.keys().copied()).collect();
            entry.first_unplaced = known.last().map_or(0, |last| last + 1);
            let gaps: Vec<u32> = (0..entry.first_unplaced).filter(|index| !known.contains(index)).collect();
            entry.to_restart.extend(gaps);
            let attempts = entry.chunks.values().flat_map(|c| c.tasks.values()).map(|t| t.latest_attempt);
            if let Some(gang) = &mut entry.gang {
                gang.attempt = attempts.max().unwrap_or(0);
                gang.completed = entry.done > 0;
                if gang.completed {
                    entry.done = entry.spec.tasks;
                }
            }
        }
        for id in self.jobs.keys().cloned().collect::<Vec<_>>() {
            // If only some tasks of a gang are placed, the others have ended or were never placed, so the
            // gang can't go on in this attempt.
            self.break_incomplete_gang(&id);
            self.check_ended(&id);
        }
    }
}

/// Removes a loaded task from its job's counts and from its machine, which stays in `by_machine` even
/// if it has no other tasks.
fn uncount_task(entry: &mut JobEntry, by_machine: &mut TasksByMachine, id: TaskId, task: &Task) {
    match &task.state {
        TaskState::Pending => {
            entry.to_restart.remove(&id.index);
        }
        TaskState::Done => entry.done -= 1,
        TaskState::Placed(attempt) => {
            entry.uncount_attempt(&attempt.zone, attempt.reported_status);
            if let Some(tasks) = by_machine.get_mut(&attempt.machine) {
                tasks.remove(&id);
            }
        }
    }
}
