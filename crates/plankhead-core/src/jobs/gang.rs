//! Gangs. The tasks of a gang start together, and when one of them ends, all of them do.

use crate::jobs::attempt::{EndedAttempt, TaskState};
use crate::jobs::job::{JobId, JobPhase};
use crate::jobs::job_entry::JobEntry;
use crate::jobs::job_table::JobTable;
use crate::protocol::{ExitReason, TaskId};

impl JobTable {
    /// Breaks the gang's attempt if only some of its tasks are placed. This occurs after a placement
    /// pass in which some task found no machine; nothing has been started then, since starts wait until
    /// all placements are durable. It also occurs after loading, if some task has ended or was never
    /// placed.
    pub fn break_incomplete_gang(&mut self, id: &JobId) {
        let is_incomplete =
            |entry: &JobEntry| entry.gang.is_some() && entry.placed > 0 && entry.placed < entry.spec.tasks;
        if self.jobs.get(id).is_some_and(|entry| is_incomplete(entry) && !entry.is_gang_ending()) {
            self.break_gang(id);
        }
    }

    /// Breaks the gang's attempt: marks it as unable to continue and stops its remaining tasks.
    pub(super) fn break_gang(&mut self, id: &JobId) {
        let Some(entry) = self.jobs.get_mut(id) else { return };
        let Some(gang) = entry.gang.as_mut().filter(|gang| !gang.broken && !gang.completed) else { return };
        gang.broken = entry.placed > 0;
        self.stop_gang(id);
    }

    /// Breaks a gang's attempt after one of its tasks has ended. A task that exits as stopped does not
    /// break the attempt if the whole gang was asked to stop with time to checkpoint.
    pub(super) fn break_gang_after_end(&mut self, end: &EndedAttempt) {
        let Some(entry) = self.jobs.get(&end.task.job) else { return };
        let Some(gang) = &entry.gang else { return };
        let is_orderly = gang.stopping && end.reason == Some(ExitReason::Stopped);
        if entry.placed > 0 && entry.phase == JobPhase::Active && !gang.completed && !is_orderly {
            self.break_gang(&end.task.job);
        }
    }

    /// Asks a task to stop. If it belongs to a gang, all tasks of the gang are asked, since they
    /// checkpoint together or not at all, and one task's resources can't be freed while the others run.
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
            let machine = attempt.machine.clone();
            self.changed_machines.insert(machine);
        }
    }

    /// Stops every task of the gang's attempt. Attempts whose start was never offered to a worker end at
    /// once, the others once there is evidence. Commands to their machines are sent without delay.
    fn stop_gang(&mut self, id: &JobId) {
        let Some(entry) = self.jobs.get(id) else { return };
        let never_offered: Vec<u32> = entry
            .attempts()
            .filter(|(_, attempt)| !attempt.inherited && attempt.offered_under_token.is_none())
            .map(|(index, _)| index)
            .collect();
        for index in never_offered {
            self.end_attempt(&TaskId { job: id.clone(), index }, false);
        }
        let Some(entry) = self.jobs.get_mut(id) else { return };
        for task in entry.chunks.values_mut().flat_map(|chunk| chunk.tasks.values_mut()) {
            if let TaskState::Placed(attempt) = &mut task.state {
                // `kill_sent` is reset because a task may already be writing its checkpoint after an
                // earlier kill. If the gang is broken, the second kill ends it without a grace period.
                (attempt.stop_requested, attempt.kill_sent) = (true, false);
                self.changed_machines.insert(attempt.machine.clone());
                self.machines_to_stop.insert(attempt.machine.clone());
            }
        }
    }
}
