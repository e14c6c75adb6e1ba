//! Attempts: one start of a task each, from its placement to the evidence that it is over.

use crate::protocol::{ExitReason, MachineName, TaskId, TaskStatus};
use std::sync::Arc;
use std::time::Duration;

/// One start of a task on a machine, not yet proven over.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// Counts the starts of the task, from 1; all tasks of a gang share it.
    pub number: u64,
    /// The machine that the task was placed on.
    pub machine: MachineName,
    /// The worker's incarnation in which alone the attempt can run.
    pub incarnation: u64,
    /// The machine's zone.
    pub zone: Arc<str>,
    /// The chunk version that must be durable before `run` may be sent.
    pub chunk_version: u64,
    /// The status in the latest heartbeat that listed the attempt.
    pub reported_status: Option<TaskStatus>,
    /// When it was placed, or loaded by this leader.
    pub placed_at: Duration,
    /// When it was first reported as running.
    pub running_since: Option<Duration>,
    /// An earlier leader placed it.
    pub inherited: bool,
    /// It is to stop: preempted, or its machine is drained, or its gang ends.
    pub stop_requested: bool,
    /// A start was sent straight to the worker, once.
    pub start_sent: bool,
    /// The fencing token under which a start was last offered to the worker, whether directly,
    /// in the response to a heartbeat or by the holder of its shard.
    pub offered_under_token: Option<u64>,
    /// A stop was sent straight to the worker, once.
    pub kill_sent: bool,
}

impl Attempt {
    /// An attempt that nobody has been asked to start. Its placement counts as durable until
    /// `chunk_version` is set.
    pub(super) fn new(
        number: u64,
        machine: MachineName,
        incarnation: u64,
        zone: Arc<str>,
        placed_at: Duration,
    ) -> Self {
        Self {
            number,
            machine,
            incarnation,
            zone,
            chunk_version: 0,
            reported_status: None,
            placed_at,
            running_since: None,
            inherited: false,
            stop_requested: false,
            start_sent: false,
            offered_under_token: None,
            kill_sent: false,
        }
    }

    /// Whether a worker that knows this token refuses every command to run the attempt that
    /// was given so far: this leader gave none, or only under lower ones, by the holder of a
    /// shard that has moved since.
    pub(super) fn is_fenced_by(&self, token: u64) -> bool {
        self.offered_under_token.is_none_or(|offered| offered < token)
    }
}

/// How far a task has come.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskState {
    /// No attempt of it may be alive: it can be placed.
    Pending,
    /// It has an attempt that is not proven over.
    Placed(Attempt),
    /// It has completed.
    Done,
}

/// A task that was placed at least once.
#[derive(Debug, Clone, PartialEq)]
pub struct Task {
    /// The highest attempt number given out.
    pub latest_attempt: u64,
    /// The chunk version that holds the end of the latest ended attempt.
    pub end_version: u64,
    /// Where it stands.
    pub state: TaskState,
}

/// An attempt that is proven over by a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedAttempt {
    /// The task that it belonged to.
    pub task: TaskId,
    /// Its number.
    pub attempt: u64,
    /// How it exited; None: it is gone without the worker having said how.
    pub reason: Option<ExitReason>,
    /// How long it ran, where both ends were seen.
    pub ran: Option<Duration>,
    /// It had been asked to stop.
    pub stopped: bool,
}
