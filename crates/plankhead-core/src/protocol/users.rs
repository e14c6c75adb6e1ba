//! Answers to requests, first of all those of users.

use super::WorkerCommand;
use crate::jobs::job::{JobId, JobPhase};
use crate::shards::messages::Delivery;
use std::time::Duration;
use thiserror::Error;

/// The answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// To a user, 201 or 200: the job's state.
    Job {
        /// The request has created the job.
        created: bool,
        id: JobId,
        status: JobStatus,
        /// Tasks that completed.
        done: u32,
        /// Tasks that run now.
        running: u32,
    },
    /// To a user, 400: the job can't be read or stored.
    BadRequest(SpecRejection),
    /// To a user, 422: no fleet that is allowed could run the job.
    Unprocessable(UnsatisfiableSpec),
    /// To a user, 404: there is no such job.
    NotFound,
    /// To a user or a worker, 503: try again after this time.
    Unavailable { retry_after: Duration },
    /// To a worker: its commands, and a renewal of its lease.
    Commands {
        /// The leader's fencing token, or the epoch of the machine's shard.
        token: u64,
        commands: Vec<WorkerCommand>,
    },
    /// To a worker, 421: the node to report to, where it is known.
    Redirect { leader: Option<String> },
    /// To the adapter: the worker knows this leader already, so that it can't reach it now.
    /// Its heartbeat is to be relayed there, and the answer passed back.
    Relay { leader: String },
    /// To an operator: the JSON document of `GET /view`.
    View(serde_json::Value),
    /// To a peer: what became of its message about shards.
    ShardMessageDelivery(Delivery),
}

/// Why a job's specification can't be used, in the text that its user gets.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum SpecRejection {
    /// The submitted document could not be decoded.
    #[error("{0}")]
    Malformed(String),
    /// Its record would not fit under one key of the state service.
    #[error("the job's description is too long")]
    TooLong,
}

/// Why no allowed fleet could run a job, in the text that its user gets.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum UnsatisfiableSpec {
    /// The settings do not name the job's team.
    #[error("no such team")]
    UnknownTeam,
    /// A single task's demand is over the team's limit.
    #[error("one task needs more than the team's limit")]
    TaskOverTeamLimit,
    /// The demand of a gang, which runs as a whole, is over the team's limit.
    #[error("all tasks together need more than the team's limit")]
    GangOverTeamLimit,
    /// A gang is to be spread over zones, but only one zone can take it.
    #[error("the tasks can't all be in one zone and at most half of them in each")]
    SpreadInOneZone,
    /// No machine type that the job allows has room for a task.
    #[error("no allowed machine type can hold a task")]
    NoMachineTypeFits,
}

/// A job's state as its user sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStatus {
    /// None of its tasks runs now.
    Queued,
    /// At least one of its tasks runs now.
    Running,
    /// All of its tasks have completed.
    Done,
    Cancelled,
}

impl JobStatus {
    /// The state of a job in this phase, of which `running` tasks run.
    pub fn of(phase: JobPhase, running: u32) -> Self {
        match phase {
            JobPhase::Active if running > 0 => Self::Running,
            JobPhase::Active => Self::Queued,
            JobPhase::Done => Self::Done,
            JobPhase::Cancelled => Self::Cancelled,
        }
    }
}
