//! Events that the core takes and effects that it asks for.

use crate::jobs::job::{JobId, JobPhase, JobSpec};
use crate::shards::messages::{Delivery, ShardMessage, ShardMessageError};
use plankhead_fencing::gate::PermittedAction;
use plankhead_reachability::coverage::{Coverage, CoverageError};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// A request that waits for an answer.
pub type RequestId = u64;
/// A call made to the outside whose reply is awaited.
pub type CallId = u64;
pub type MachineName = Arc<str>;

#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    Submit {
        request: RequestId,
        id: JobId,
        job: Result<JobSpec, InvalidSpec>,
    },
    Poll {
        request: RequestId,
        id: JobId,
    },
    Cancel {
        request: RequestId,
        id: JobId,
    },
    /// `relayed`: through a sibling, since the worker can't reach this node.
    Heartbeat {
        request: RequestId,
        heartbeat: Heartbeat,
        relayed: bool,
    },
    KvReply {
        call: CallId,
        reply: Result<KvReply, CallError>,
    },
    CloudReply {
        call: CallId,
        reply: Result<CloudReply, CallError>,
    },
    CommandReply {
        call: CallId,
        reply: CommandReply,
    },
    PeerHeartbeat(PeerHeartbeat),
    /// What a peer tells of its reach, or why its message was refused.
    Coverage(Result<Box<Coverage>, CoverageError>),
    /// A message of a peer about shards, or why it was refused.
    ShardMessage {
        request: RequestId,
        message: Result<ShardMessage, ShardMessageError>,
    },
    /// What became of a message about shards.
    ShardMessageDelivery {
        call: CallId,
        delivery: Delivery,
    },
    /// What came of telling a peer something.
    PeerDelivery {
        host: String,
        confirmed: bool,
    },
    /// Asks for the operators' view.
    View {
        request: RequestId,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    Respond {
        request: RequestId,
        response: Response,
    },
    CallKv {
        call: CallId,
        request: KvRequest,
    },
    CallCloud {
        call: CallId,
        request: CloudRequest,
    },
    SendCommands {
        call: CallId,
        address: Arc<str>,
        token: u64,
        incarnation: u64,
        commands: Vec<WorkerCommand>,
    },
    /// Tells every sibling.
    SendPeerHeartbeat(PeerHeartbeat),
    /// Tells every sibling of this node's reach.
    SendCoverage(Box<Coverage>),
    /// Tells one sibling something about shards; what becomes of it comes back.
    SendShardMessage {
        call: CallId,
        to: String,
        message: ShardMessage,
    },
    Log(LogLevel, String),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    Error,
    Info,
    Debug,
}

/// What a node tells its siblings about every second.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PeerHeartbeat {
    pub host: String,
    pub kv_available: bool,
    /// The token under which the sender leads, or 0.
    pub token: u64,
    pub progress: Vec<JobProgress>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct JobProgress {
    pub id: String,
    pub done: u32,
    pub running: u32,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// 201 or 200 with the job's state.
    Job {
        created: bool,
        id: JobId,
        status: JobStatus,
        done: u32,
        running: u32,
    },
    /// 400: the job can't be read or stored.
    BadRequest(InvalidSpec),
    /// 422: no fleet that is allowed could run the job.
    Unprocessable(UnsatisfiableSpec),
    NotFound,
    /// 503, with the time after which to try again.
    Unavailable {
        retry_after: Duration,
    },
    Commands {
        token: u64,
        commands: Vec<WorkerCommand>,
    },
    /// 421, with the node to report to where it is known.
    Redirect {
        leader: Option<String>,
    },
    /// The worker knows this leader already, so that it can't reach it now:
    /// its report is to be passed on, and the answer passed back.
    Relay {
        leader: String,
    },
    View(serde_json::Value),
    /// What became of a peer's message about shards.
    ShardMessageDelivery(Delivery),
}

/// Why a job's specification can't be used, in the text that its user gets.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum InvalidSpec {
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
    #[error("no such team")]
    UnknownTeam,
    #[error("one task needs more than the team's limit")]
    TaskOverTeamLimit,
    #[error("all tasks together need more than the team's limit")]
    GangOverTeamLimit,
    #[error("the tasks can't all be in one zone and at most half of them in each")]
    SpreadInOneZone,
    #[error("no allowed machine type can hold a task")]
    NoMachineTypeFits,
}

/// A job's state as its user sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStatus {
    Queued,
    Running,
    Done,
    Cancelled,
}

impl JobStatus {
    pub fn of(phase: JobPhase, running: u32) -> Self {
        match phase {
            JobPhase::Active if running > 0 => Self::Running,
            JobPhase::Active => Self::Queued,
            JobPhase::Done => Self::Done,
            JobPhase::Cancelled => Self::Cancelled,
        }
    }
}

/// One task of one job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

/// What a worker says of itself. Cheap to clone: most reports say nothing new, and are
/// kept whole.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    pub machine: MachineName,
    pub address: Arc<str>,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub incarnation: u64,
    pub sequence: u64,
    pub token: u64,
    pub preemption_notice: Option<Duration>,
    pub tasks: Arc<[ReportedTask]>,
}

/// `Eq`, so that comparing a list with itself takes no look at the tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedTask {
    pub task: TaskId,
    pub attempt: u64,
    pub status: TaskStatus,
}

/// What a worker says of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskStatus {
    FetchingImage,
    /// A task of a gang that waits for the others.
    WaitingForGang,
    Running,
    Checkpointing,
    /// A word that is not known here: the attempt is there, and no more is said.
    Unrecognized,
    Exited(ExitReason),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    Completed,
    Stopped,
    Failed,
    InsufficientResources,
    AttemptConflict,
    UnknownJob,
    /// Another task of the gang is gone.
    GangMemberLost,
    /// The gang was not complete in time.
    GangIncomplete,
    /// A word that is not known here: the attempt is over all the same.
    Unrecognized,
}

#[derive(Debug, Clone, PartialEq)]
pub enum WorkerCommand {
    Run { task: TaskId, attempt: u64 },
    Kill { task: TaskId, attempt: u64, grace: Duration },
    Acknowledge { task: TaskId, attempt: u64 },
}

impl WorkerCommand {
    /// What a worker's next report must show: a run, or the end of an attempt.
    pub fn expected_effect(&self) -> Option<(TaskId, u64, bool)> {
        match self {
            WorkerCommand::Run { task, attempt } => Some((task.clone(), *attempt, true)),
            WorkerCommand::Kill { task, attempt, .. } => Some((task.clone(), *attempt, false)),
            WorkerCommand::Acknowledge { .. } => None,
        }
    }
}

/// What came of commands sent straight to a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandReply {
    /// Carried out, or refused as a whole (409): the worker's report.
    Answered(Heartbeat),
    /// Never left this node.
    NotSent,
    /// May be carried out at any later time.
    Unanswered,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// Certainly not carried out.
    Refused,
    /// Certainly not carried out, since too much was asked at the moment.
    RateLimited,
    /// May have been carried out, or may be later.
    OutcomeUnknown,
    /// Certainly not carried out, since it was larger than is allowed by now.
    TooLarge,
}

#[derive(Debug, Clone, PartialEq)]
pub enum KvRequest {
    Get { key: String },
    List { prefix: String, after: Option<String> },
    Txn { conditions: Vec<Condition>, changes: Vec<KvChange> },
    GrantLease { ttl: Duration },
    RenewLease { lease: u64 },
    RevokeLease { lease: u64 },
    Watch { prefix: String, after: u64, wait: Duration },
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    pub key: String,
    pub mod_revision: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KvChange {
    /// The value is JSON text.
    Put {
        key: String,
        value: String,
        lease: Option<u64>,
    },
    Delete {
        key: String,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    pub key: String,
    pub value: String,
    pub mod_revision: u64,
}

#[derive(Debug, Clone, PartialEq)]
pub enum KvReply {
    Value(Option<KeyValue>),
    Page {
        rows: Vec<KeyValue>,
        truncated: bool,
        revision: u64,
    },
    Committed {
        revision: u64,
    },
    Conflict {
        failed: Vec<String>,
    },
    /// The grant named by a write or a touch is over.
    NoSuchLease,
    LeaseGranted {
        lease: u64,
    },
    LeaseRenewed,
    Events {
        revision: u64,
        events: Vec<WatchEvent>,
    },
    /// The history asked for is gone; read the keys again.
    Compacted,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    Put(KeyValue),
    Delete { key: String, revision: u64 },
}

#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    ListMachineTypes,
    ListInstances {
        after: Option<MachineName>,
    },
    /// What can't be taken back, once it has passed the gate.
    Execute(PermittedAction),
}

#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    MachineTypes(Vec<MachineType>),
    Instances { instances: Vec<Instance>, truncated: bool },
    Rented(Vec<MachineName>),
    NoCapacity,
    Released,
}

/// A machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: String,
    pub cpus: f64,
    pub gpus: f64,
    pub ram: f64,
    pub image_cache_gb: f64,
    pub image_fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot_time: Duration,
    pub zones: Vec<String>,
}

/// Machines that the cloud treats alike: of one type, in one zone, spot or ordinary.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pool {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

impl Pool {
    /// The pool that a report names.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        Self {
            machine_type: heartbeat.machine_type.to_string(),
            zone: heartbeat.zone.to_string(),
            spot: heartbeat.spot,
        }
    }

    pub fn matches(&self, heartbeat: &Heartbeat) -> bool {
        *self.machine_type == *heartbeat.machine_type
            && *self.zone == *heartbeat.zone
            && self.spot == heartbeat.spot
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct Instance {
    pub name: MachineName,
    pub address: Arc<str>,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub status: InstanceStatus,
    pub age: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceStatus {
    Booting,
    Running,
    Failed,
}
