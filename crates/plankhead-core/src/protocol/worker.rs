//! Workers: what their heartbeats show, and the commands that they carry out.

use crate::jobs::job::JobId;
use std::sync::Arc;
use std::time::Duration;

/// A machine's name, as the cloud gave it.
pub type MachineName = Arc<str>;

/// One task of one job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    pub job: JobId,
    /// Its place in the job, from 0.
    pub index: u32,
}

/// A worker's heartbeat. Cheap to clone: most bring nothing new, and are kept whole.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    pub machine: MachineName,
    /// Where commands can be sent to the worker directly.
    pub address: Arc<str>,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    /// The worker's session, which begins anew when its lease expires.
    pub incarnation: u64,
    /// Orders the heartbeats of one incarnation, and the answers to commands among them.
    pub sequence: u64,
    /// The highest fencing token, or epoch of its shard, that the worker has seen.
    pub token: u64,
    /// The cloud takes the machine back after this time.
    pub preemption_notice: Option<Duration>,
    pub tasks: Arc<[ReportedTask]>,
}

/// An attempt as a heartbeat lists it. `Eq`, so that comparing a list with itself does not
/// look at the tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedTask {
    pub task: TaskId,
    pub attempt: u64,
    pub status: TaskStatus,
}

/// The status of an attempt on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskStatus {
    /// It waits for its image.
    FetchingImage,
    /// A task of a gang that waits for the others.
    WaitingForGang,
    Running,
    /// It was told to stop and writes a checkpoint.
    Checkpointing,
    /// A status that this version does not know: the attempt exists, and no more is known.
    Unrecognized,
    /// It is over, and listed until that is acknowledged.
    Exited(ExitReason),
}

/// Why an attempt is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// The task is done.
    Completed,
    /// Killed by a command.
    Stopped,
    /// By a fault of its own or, mostly, of the machine.
    Failed,
    /// Refused: not enough free resources on the machine.
    InsufficientResources,
    /// Refused: another attempt of the task is on the machine.
    AttemptConflict,
    /// Refused: the worker finds no such job or task.
    UnknownJob,
    /// Another task of the gang is gone.
    GangMemberLost,
    /// The gang was not complete in time.
    GangIncomplete,
    /// A reason that this version does not know: the attempt is over all the same.
    Unrecognized,
}

/// What a worker is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkerCommand {
    /// Start an attempt.
    Run { task: TaskId, attempt: u64 },
    /// Stop an attempt, which has the grace to write a checkpoint.
    Kill { task: TaskId, attempt: u64, grace: Duration },
    /// Forget an attempt that has exited.
    Acknowledge { task: TaskId, attempt: u64 },
}

impl WorkerCommand {
    /// What the worker's next heartbeat must show if it carries the command out.
    pub fn expected_effect(&self) -> Option<ExpectedEffect> {
        let (task, attempt, kind) = match self {
            WorkerCommand::Run { task, attempt } => (task, attempt, EffectKind::Started),
            WorkerCommand::Kill { task, attempt, .. } => (task, attempt, EffectKind::Stopped),
            WorkerCommand::Acknowledge { .. } => return None,
        };
        Some(ExpectedEffect { task: task.clone(), attempt: *attempt, kind })
    }
}

/// What a command leads to on its worker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExpectedEffect {
    pub task: TaskId,
    pub attempt: u64,
    pub kind: EffectKind,
}

/// Whether a command starts an attempt or ends it, as the worker's next heartbeat shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EffectKind {
    /// The attempt is listed.
    Started,
    /// The attempt is not listed, has exited, or writes its checkpoint.
    Stopped,
}

/// What came of commands sent directly to a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandReply {
    /// Carried out, or refused as a whole (409): the worker's heartbeat.
    Answered(Heartbeat),
    /// The commands never left this node.
    NotSent,
    /// They may be carried out at any later time.
    Unanswered,
}

/// How a heartbeat reached this node.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatPath {
    /// It came through a peer, since the worker can't reach this node.
    pub relayed: bool,
    /// Neither the state service nor any peer is heard, so that another node may lead by
    /// now.
    pub is_cut_off: bool,
}
