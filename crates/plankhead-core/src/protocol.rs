//! Events that the core takes and effects that it asks for.

use crate::job::{JobId, JobSpec, Phase};
use crate::shard_messages::{Delivery, ShardMessage, ShardMessageError};
use plankhead_fencing::gate::PermittedAction;
use plankhead_reachability::coverage::{Coverage, CoverageError};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// A request that waits for an answer.
pub type RequestId = u64;
/// A call made to the outside whose reply is awaited.
pub type CallId = u64;
pub type MachineName = Arc<str>;

#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    Submit {
        ask: RequestId,
        id: JobId,
        job: Result<JobSpec, String>,
    },
    Poll {
        ask: RequestId,
        id: JobId,
    },
    Cancel {
        ask: RequestId,
        id: JobId,
    },
    /// `relayed`: through a sibling, since the worker can't reach this node.
    Heartbeat {
        ask: RequestId,
        report: Heartbeat,
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
        ask: RequestId,
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
        ask: RequestId,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    Respond {
        ask: RequestId,
        answer: Response,
    },
    CallKv {
        call: CallId,
        op: KvRequest,
    },
    CallCloud {
        call: CallId,
        op: CloudRequest,
    },
    SendCommands {
        call: CallId,
        address: Arc<str>,
        token: u64,
        shift: u64,
        orders: Vec<WorkerCommand>,
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
    pub state_ok: bool,
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
        fresh: bool,
        id: JobId,
        status: Status,
        done: u32,
        running: u32,
    },
    BadRequest(String),
    Unprocessable(String),
    NotFound,
    /// 503, with the time after which to try again.
    Unavailable {
        retry: Duration,
    },
    Commands {
        token: u64,
        orders: Vec<WorkerCommand>,
    },
    /// 421, with the node to report to where it is known.
    Redirect {
        foreman: Option<String>,
    },
    /// The worker knows this leader already, so that it can't reach it now:
    /// its report is to be passed on, and the answer passed back.
    Relay {
        foreman: String,
    },
    View(serde_json::Value),
    /// What became of a peer's message about shards.
    ShardMessageDelivery(Delivery),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    Queued,
    Running,
    Done,
    Cancelled,
}

impl Status {
    pub fn of(phase: Phase, running: u32) -> Self {
        match phase {
            Phase::Active if running > 0 => Self::Running,
            Phase::Active => Self::Queued,
            Phase::Done => Self::Done,
            Phase::Cancelled => Self::Cancelled,
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
    pub host: MachineName,
    pub address: Arc<str>,
    pub rig: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub shift: u64,
    pub tick: u64,
    pub token: u64,
    pub warning: Option<Duration>,
    pub tasks: Arc<[ReportedTask]>,
}

/// `Eq`, so that comparing a list with itself takes no look at the tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedTask {
    pub task: TaskId,
    pub attempt: u64,
    pub seen: TaskStatus,
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
    Kill { task: TaskId, attempt: u64, leeway: Duration },
    Acknowledge { task: TaskId, attempt: u64 },
}

impl WorkerCommand {
    /// What a worker's next report must show: a run, or the end of an attempt.
    pub fn asked(&self) -> Option<(TaskId, u64, bool)> {
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
    GrantLease { life: Duration },
    RenewLease { hold: u64 },
    RevokeLease { hold: u64 },
    Watch { prefix: String, after: u64, wait: Duration },
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    pub key: String,
    pub stamp: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KvChange {
    /// The value is JSON text.
    Put {
        key: String,
        value: String,
        hold: Option<u64>,
    },
    Delete {
        key: String,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    pub key: String,
    pub value: String,
    pub stamp: u64,
}

#[derive(Debug, Clone, PartialEq)]
pub enum KvReply {
    Value(Option<KeyValue>),
    Page {
        rows: Vec<KeyValue>,
        truncated: bool,
        epoch: u64,
    },
    Committed {
        epoch: u64,
    },
    Conflict {
        failed: Vec<String>,
    },
    /// The grant named by a write or a touch is over.
    NoSuchLease,
    LeaseGranted {
        hold: u64,
    },
    LeaseRenewed,
    Events {
        epoch: u64,
        events: Vec<WatchEvent>,
    },
    /// The history asked for is gone; read the keys again.
    Compacted,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    Put(KeyValue),
    Delete { key: String, stamp: u64 },
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
    Instances { hosts: Vec<Instance>, truncated: bool },
    Rented(Vec<MachineName>),
    NoCapacity,
    Released,
}

/// A machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub label: String,
    pub cpus: f64,
    pub gpus: f64,
    pub ram: f64,
    pub cache_gb: f64,
    pub pull_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot: Duration,
    pub zones: Vec<String>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Instance {
    pub host: MachineName,
    pub address: Arc<str>,
    pub rig: String,
    pub zone: String,
    pub spot: bool,
    pub status: InstanceStatus,
    pub held: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceStatus {
    Booting,
    Running,
    Failed,
}
