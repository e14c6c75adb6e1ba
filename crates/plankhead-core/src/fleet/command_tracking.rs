//! Commands sent straight to a worker, and what is known of them.

use crate::protocol::{CommandReply, TaskId};

/// A start in a direct command that may still be carried out.
#[derive(Debug, Clone, PartialEq)]
struct UnconfirmedStart {
    task: TaskId,
    attempt: u64,
    /// The worker's incarnation that the command was for; later ones refuse it.
    incarnation: u64,
}

/// The direct commands to one worker.
#[derive(Debug, Clone, Default)]
pub struct CommandTracking {
    /// A direct command is on its way.
    pub in_flight: bool,
    /// Direct commands in a row that got no answer.
    pub unanswered: u32,
    unconfirmed_starts: Vec<UnconfirmedStart>,
}

impl CommandTracking {
    /// Whether a direct start of the attempt may still be carried out.
    pub(super) fn has_unconfirmed_start(&self, task: &TaskId, attempt: u64) -> bool {
        self.unconfirmed_starts.iter().any(|start| start.task == *task && start.attempt == attempt)
    }

    /// A direct command with these starts is sent.
    pub(super) fn begin(&mut self, starts: &[(TaskId, u64)], incarnation: u64) {
        self.in_flight = true;
        self.unconfirmed_starts.extend(starts.iter().map(|(task, attempt)| UnconfirmedStart {
            task: task.clone(),
            attempt: *attempt,
            incarnation,
        }));
    }

    /// What came of a direct command with these starts.
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

    /// The worker is in this incarnation: it refuses commands for earlier ones from now on.
    pub(super) fn drop_earlier_incarnations(&mut self, incarnation: u64) {
        self.unconfirmed_starts.retain(|start| start.incarnation >= incarnation);
    }
}
