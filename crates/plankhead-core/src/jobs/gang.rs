//! Gangs: tasks that start together, and that all end once one of them has.

use crate::jobs::attempt::{EndedAttempt, TaskState};
use crate::jobs::job::{JobId, JobPhase};
use crate::jobs::job_entry::JobEntry;
use crate::jobs::job_table::JobTable;
use crate::protocol::{ExitReason, TaskId};

impl JobTable {
    /// Ends a gang's attempt of which not every task found its machine after all: it does not
    /// wait for the rest, and none of it has been started.
    pub fn break_incomplete_gang(&mut self, id: &JobId) {
        let is_incomplete =
            |entry: &JobEntry| entry.gang.is_some() && entry.placed > 0 && entry.placed < entry.spec.tasks;
        if self.jobs.get(id).is_some_and(|entry| is_incomplete(entry) && !entry.is_gang_ending()) {
            self.break_gang(id);
        }
    }

    /// The gang's attempt can't go on: what is left of it is ended.
    pub(super) fn break_gang(&mut self, id: &JobId) {
        let Some(entry) = self.jobs.get_mut(id) else { return };
        let Some(gang) = entry.gang.as_mut().filter(|gang| !gang.broken && !gang.completed) else { return };
        gang.broken = entry.placed > 0;
        self.stop_gang(id);
    }

    /// What the end of one task means for the others of a gang: their attempt is broken, unless
    /// all were asked to stop with time to checkpoint and this one did.
    pub(super) fn break_gang_after_end(&mut self, end: &EndedAttempt) {
        let Some(entry) = self.jobs.get(&end.task.job) else { return };
        let Some(gang) = &entry.gang else { return };
        let is_orderly = gang.stopping && end.reason == Some(ExitReason::Stopped);
        if entry.placed > 0 && entry.phase == JobPhase::Active && !gang.completed && !is_orderly {
            self.break_gang(&end.task.job);
        }
    }

    /// Stops a task, and with it all others of a gang: of these, none is freed by
    /// itself, and they checkpoint together or not at all.
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

    /// Stops every task of the gang's attempt: what no worker was asked to start is over
    /// at once, the rest on evidence. Its machines get their commands without delay.
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
                // A worker that checkpoints is asked again, with no time left.
                (attempt.stop_requested, attempt.kill_sent) = (true, false);
                self.changed_machines.insert(attempt.machine.clone());
                self.machines_to_stop.insert(attempt.machine.clone());
            }
        }
    }
}
