//! Direct commands that arrive at their workers once more, after they were carried out and answered.

use super::events::SimEvent;
use super::World;
use plankhead_core::protocol::{CallId, MachineName, TaskId, WorkerCommand};

/// The longest delay of a copy, more than three leases of the small deployment.
const MAX_DELAY_MS: u64 = 40_000;
/// The longest time from a change of leader, holder or process until the kept copies have arrived.
const MAX_DELAY_AFTER_CHANGE_MS: u64 = 400;

/// Commands as they reached a worker.
pub(super) struct DirectCommands {
    pub machine: MachineName,
    pub token: u64,
    pub incarnation: u64,
    pub commands: Vec<WorkerCommand>,
}

impl World {
    /// Plans copies of commands that a worker has carried out and answers now.
    pub(super) fn repeat_commands(&mut self, node: usize, call: CallId, sent: DirectCommands) {
        let DirectCommands { machine, token, incarnation, commands } = sent;
        let is_batch = commands.len() > 1;
        let copy = SimEvent::CommandsArrive { node, boot: 0, call, machine, token, incarnation, commands };
        if self.faults.repeats_after_changes > 0.0 && self.chance(self.faults.repeats_after_changes) {
            self.kept_commands.push(copy.clone());
            self.count_planned_repeat(is_batch);
        }
        if self.faults.repeated_commands > 0.0 && self.chance(self.faults.repeated_commands) {
            let late = self.random_ms(0, MAX_DELAY_MS);
            self.schedule_in(late, copy);
            self.count_planned_repeat(is_batch);
        }
    }

    fn count_planned_repeat(&mut self, is_batch: bool) {
        self.planned_repeats += 1;
        self.planned_repeated_batches += u32::from(is_batch);
    }

    /// Delivers the kept copies soon after a change of leader, holder or process.
    pub(super) fn deliver_kept_commands(&mut self) {
        for copy in std::mem::take(&mut self.kept_commands) {
            let late = self.random_ms(0, MAX_DELAY_AFTER_CHANGE_MS);
            self.schedule_in(late, copy);
        }
    }

    /// Counts the start of an attempt that the machine had forgotten after an acknowledgement.
    pub(super) fn count_acknowledged_restart(
        &mut self,
        machine: &MachineName,
        incarnation: u64,
        task: &TaskId,
        attempt: u64,
    ) {
        let attempt = (machine.clone(), incarnation, task.clone(), attempt);
        self.acknowledged_restarts += u32::from(self.acknowledged.contains(&attempt));
    }
}
