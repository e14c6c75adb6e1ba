//! Responses to requests of users, workers, operators and peers.

use super::WorkerCommand;
use crate::jobs::job::{JobId, JobPhase};
use crate::shards::messages::Delivery;
use std::time::Duration;
use thiserror::Error;

/// The response to a request. The number in the comments is the HTTP status code.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// To a user, 201 or 200: the state of the job.
    Job {
        /// Whether the request created the job.
        created: bool,
        id: JobId,
        status: JobStatus,
        /// The number of completed tasks.
        done: u32,
        /// The number of running tasks.
        running: u32,
    },
    /// To a user, 400: the job's specification can't be decoded or stored.
    BadRequest(SpecRejection),
    /// To a user, 422: no fleet within the settings could run the job.
    Unprocessable(UnsatisfiableSpec),
    /// To a user, 404: there is no such job.
    NotFound,
    /// To a user or a worker, 503: the request can be repeated after this time.
    Unavailable { retry_after: Duration },
    /// To a worker: its commands. The response also renews its lease.
    Commands {
        /// The leader's fencing token, or the epoch of the machine's shard.
        token: u64,
        commands: Vec<WorkerCommand>,
    },
    /// To a worker, 421: the node that it should send heartbeats to, if that is known.
    Redirect { host: Option<String> },
    /// To the adapter: relay the worker's heartbeat to the node `host` and pass the response back. The
    /// worker already knows of that node, so it evidently can't reach it.
    Relay { host: String },
    /// To an operator: the JSON document of `GET /view`.
    View(serde_json::Value),
    /// To a peer: the outcome of its message about shards.
    ShardMessageDelivery(Delivery),
}

/// Why a job's specification can't be used. The messages are sent to the user.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum SpecRejection {
    /// The submitted document could not be decoded.
    #[error("{0}")]
    Malformed(String),
    /// The job's record would exceed the size of a value in the state service.
    #[error("the job's description is too long")]
    TooLong,
}

/// Why no fleet within the settings could run a job. The messages are sent to the user.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum UnsatisfiableSpec {
    /// The settings do not name the job's team.
    #[error("no such team")]
    UnknownTeam,
    /// The demand of a single task exceeds the team's limit.
    #[error("one task needs more than the team's limit")]
    TaskOverTeamLimit,
    /// The demand of all tasks of a gang, which run at the same time, exceeds the team's limit.
    #[error("all tasks together need more than the team's limit")]
    GangOverTeamLimit,
    /// The tasks of a gang must be spread over zones, but only one zone can hold them.
    #[error("the tasks can't all be in one zone and at most half of them in each")]
    SpreadInOneZone,
    /// No machine type that the job allows is large enough for a task.
    #[error("no allowed machine type can hold a task")]
    NoMachineTypeFits,
}

/// The state of a job as shown to its user.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStatus {
    /// No task of the job is running.
    Queued,
    /// At least one task of the job is running.
    Running,
    /// All tasks of the job have completed.
    Done,
    Cancelled,
}

impl JobStatus {
    /// Returns the state of a job in this phase with `running` running tasks.
    pub fn of(phase: JobPhase, running: u32) -> Self {
        match phase {
            JobPhase::Active if running > 0 => Self::Running,
            JobPhase::Active => Self::Queued,
            JobPhase::Done => Self::Done,
            JobPhase::Cancelled => Self::Cancelled,
        }
    }
}
