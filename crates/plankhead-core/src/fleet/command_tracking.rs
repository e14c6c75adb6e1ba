//! Commands sent directly to a worker, outside the responses to its heartbeats, and their state.

use crate::protocol::{CommandReply, TaskId};

/// A task start sent in a direct command that may still be carried out.
#[derive(Debug, Clone, PartialEq)]
struct UnconfirmedStart {
    task: TaskId,
    attempt: u64,
    /// The worker's incarnation that the command was sent to; later incarnations refuse it.
    incarnation: u64,
}

/// The direct commands to one worker.
#[derive(Debug, Clone, Default)]
pub struct CommandTracking {
    /// Whether a direct command is waiting for its reply.
    pub in_flight: bool,
    /// The number of consecutive direct commands without an answer.
    pub unanswered: u32,
    unconfirmed_starts: Vec<UnconfirmedStart>,
}

impl CommandTracking {
    /// Returns whether a direct start of the attempt may still be carried out.
    pub(super) fn has_unconfirmed_start(&self, task: &TaskId, attempt: u64) -> bool {
        self.unconfirmed_starts.iter().any(|start| start.task == *task && start.attempt == attempt)
    }

    /// Records that a direct command with these starts is being sent.
    pub(super) fn begin(&mut self, starts: &[(TaskId, u64)], incarnation: u64) {
        self.in_flight = true;
        self.unconfirmed_starts.extend(starts.iter().map(|(task, attempt)| UnconfirmedStart {
            task: task.clone(),
            attempt: *attempt,
            incarnation,
        }));
    }

    /// Handles the outcome of a direct command with these starts.
    pub(super) fn end(&mut self, starts: &[(TaskId, u64)], incarnation: u64, reply: &CommandReply) {
        self.in_flight = false;
        if !matches!(reply, CommandReply::Answered(_)) {
            self.unanswered += 1;
        }
        if !matches!(reply, CommandReply::Unanswered) {
            self.unconfirmed_starts.retain(|start| {
                start.incarnation != incarnation || !starts.contains(&(start.task.clone(), start.attempt))
            });
        }
    }

    /// Drops unconfirmed starts for incarnations before this one, the worker's current incarnation:
    /// the worker refuses them from now on.
    pub(super) fn drop_earlier_incarnations(&mut self, incarnation: u64) {
        self.unconfirmed_starts.retain(|start| start.incarnation >= incarnation);
    }
}
