//! Heartbeats of workers, and the commands that workers carry out.

use crate::jobs::job::JobId;
use crate::token_range::WorkerTokens;
use std::sync::Arc;
use std::time::Duration;

/// The name of a machine, assigned by the cloud.
pub type MachineName = Arc<str>;

/// Identifies a task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    pub job: JobId,
    /// The index of the task in the job, from 0.
    pub index: u32,
}

/// A worker's heartbeat. It is cheap to clone, since the latest heartbeat of every machine is kept.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    pub machine: MachineName,
    /// The address at which the worker accepts direct commands.
    pub address: Arc<str>,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    /// The worker's session; a new one begins when the worker's lease expires.
    pub incarnation: u64,
    /// Orders the heartbeats of one incarnation, including those that answer commands.
    pub sequence: u64,
    /// The highest fencing token or epoch of its shard that the worker has seen.
    pub token: u64,
    /// The time after which the cloud will take the machine back, if it has announced that.
    pub preemption_notice: Option<Duration>,
    pub tasks: Arc<[ReportedTask]>,
}

/// An attempt as listed in a heartbeat. It implements `Eq`, so that the comparison of two `Arc`s to the
/// same list does not compare the tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedTask {
    pub task: TaskId,
    pub attempt: u64,
    pub status: TaskStatus,
}

/// The status of an attempt on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskStatus {
    /// The machine is fetching the task's image.
    FetchingImage,
    /// The task is waiting for the other tasks of its gang.
    WaitingForGang,
    Running,
    /// The attempt was asked to stop and is writing a checkpoint.
    Checkpointing,
    /// A status that this version does not know: the attempt exists, but nothing else is known of it.
    Unrecognized,
    /// The attempt has ended. It is listed until its end is acknowledged.
    Exited(ExitReason),
}

/// Why an attempt has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// The task has completed.
    Completed,
    /// The attempt was killed by a command.
    Stopped,
    /// The attempt failed, mostly due to a fault of the machine rather than of the task.
    Failed,
    /// The start was refused: the machine has not enough free resources.
    InsufficientResources,
    /// The start was refused: another attempt of the task is on the machine.
    AttemptConflict,
    /// The start was refused: the worker finds no such job or task.
    UnknownJob,
    /// Another task of the gang was lost.
    GangMemberLost,
    /// The tasks of the gang were not all present in time.
    GangIncomplete,
    /// A reason that this version does not know; the attempt has ended nevertheless.
    Unrecognized,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkerCommand {
    /// Starts an attempt.
    Run { task: TaskId, attempt: u64 },
    /// Stops an attempt, which has the time `grace` to write a checkpoint.
    Kill { task: TaskId, attempt: u64, grace: Duration },
    /// Acknowledges the end of an attempt, which the worker then no longer lists.
    Acknowledge { task: TaskId, attempt: u64 },
}

impl WorkerCommand {
    /// Returns the effect that the worker's next heartbeat must show if the worker carries out the command.
    /// An acknowledgement has none.
    pub fn expected_effect(&self) -> Option<ExpectedEffect> {
        let (task, attempt, kind) = match self {
            WorkerCommand::Run { task, attempt } => (task, attempt, EffectKind::Started),
            WorkerCommand::Kill { task, attempt, .. } => (task, attempt, EffectKind::Stopped),
            WorkerCommand::Acknowledge { .. } => return None,
        };
        Some(ExpectedEffect { task: task.clone(), attempt: *attempt, kind })
    }
}

/// The effect that a command should have on its worker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExpectedEffect {
    pub task: TaskId,
    pub attempt: u64,
    pub kind: EffectKind,
}

/// The kind of effect that a command has, by the attempt's status in the worker's next heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EffectKind {
    /// The attempt is listed.
    Started,
    /// The attempt is not listed, has exited, or is writing its checkpoint.
    Stopped,
}

/// The outcome of commands that were sent directly to a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandReply {
    /// The worker carried the commands out or refused all of them (409), and answered with its heartbeat.
    Answered(Heartbeat),
    /// The commands were not sent.
    NotSent,
    /// No answer came: the commands may have been carried out, or may be at any later time.
    Unanswered,
}

/// How a heartbeat reached this node, and how well connected this node is.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatPath {
    /// The tokens for the answer.
    pub tokens: WorkerTokens,
    /// Whether a peer relayed the heartbeat, since the worker can't reach this node.
    pub relayed: bool,
    /// Whether the state service does not answer this node in time and all peers are silent, so that
    /// another node may have taken over.
    pub node_is_disconnected: bool,
}
