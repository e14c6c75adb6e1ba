//! Attempts. An attempt is one start of a task, from its placement until there is evidence that it
//! is over.

use crate::protocol::{ExitReason, MachineName, TaskId, TaskStatus};
use std::sync::Arc;
use std::time::Duration;

/// An attempt to run a task on a machine, which is not proven over yet.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// The attempt's number, counted from 1 for each task; the tasks of a gang share it.
    pub number: u64,
    /// The machine that the task was placed on.
    pub machine: MachineName,
    /// The worker's incarnation for which the task was placed; the attempt can't run in another one.
    pub incarnation: u64,
    /// The machine's zone.
    pub zone: Arc<str>,
    /// The chunk version that must be durable before a start may be sent.
    pub chunk_version: u64,
    /// The status in the latest heartbeat that listed the attempt.
    pub reported_status: Option<TaskStatus>,
    /// When the task was placed, or when this leader loaded the attempt.
    pub placed_at: Duration,
    /// When a heartbeat first listed the attempt as running.
    pub running_since: Option<Duration>,
    /// Whether an earlier leader placed the task.
    pub inherited: bool,
    /// Whether the attempt must stop: it is preempted, its machine is drained or its gang is ending.
    pub stop_requested: bool,
    /// Whether a start was sent to the worker in a direct command. Only one such command is sent; the
    /// responses to heartbeats repeat the start.
    pub start_sent: bool,
    /// The highest fencing token or shard epoch under which this leader has offered a start to the
    /// worker, whether directly, in the reply to a heartbeat or through the holder of its shard.
    pub offered_under_token: Option<u64>,
    /// Whether a kill was sent to the worker in a direct command. Only one such command is sent,
    /// unless `JobTable::stop_gang` resets this; the responses to heartbeats repeat the kill.
    pub kill_sent: bool,
}

impl Attempt {
    /// Creates an attempt whose start has not been offered to a worker. Its `chunk_version` is 0, which
    /// always counts as durable; for a new placement, the caller must set it.
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

    /// Whether a worker that has seen this token refuses every start of the attempt that was offered
    /// so far. This is the case if this leader has offered none, or only under lower tokens: those of
    /// an earlier holder of the machine's shard.
    pub(super) fn is_fenced_by(&self, token: u64) -> bool {
        self.offered_under_token.is_none_or(|offered| offered < token)
    }
}

/// The state of a task.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskState {
    /// The task has no attempt that may still be alive, so it can be placed.
    Pending,
    /// The task has an attempt that is not proven over.
    Placed(Attempt),
    /// The task has completed.
    Done,
}

/// A task that was placed at least once.
#[derive(Debug, Clone, PartialEq)]
pub struct Task {
    /// The number of the latest attempt.
    pub latest_attempt: u64,
    /// The chunk version in which an attempt of the task was last recorded as ended.
    pub end_version: u64,
    /// The task's state.
    pub state: TaskState,
}

/// An attempt that a heartbeat has proven to be over.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedAttempt {
    /// The task of the attempt.
    pub task: TaskId,
    /// The attempt's number.
    pub attempt: u64,
    /// The reason that the worker gave, or `None` if the attempt is gone and none was reported.
    pub reason: Option<ExitReason>,
    /// How long the attempt ran, if this leader saw both its start and its exit.
    pub ran: Option<Duration>,
    /// Whether the attempt had been asked to stop.
    pub stopped: bool,
}
