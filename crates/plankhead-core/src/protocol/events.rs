//! The core's input and output: events, effects, and the ids that match replies to requests.

use super::{
    CallError, CloudReply, CloudRequest, CommandReply, Heartbeat, KvReply, KvRequest, PeerHeartbeat,
    Response, SpecRejection, WorkerCommand,
};
use crate::jobs::job::{JobId, JobSpec};
use crate::shards::messages::{Delivery, ShardMessage, ShardMessageError};
use plankhead_reachability::coverage::{Coverage, CoverageError};
use std::sync::Arc;

/// Identifies a request to this node that waits for its [`Response`].
pub type RequestId = u64;
/// Identifies a call by this node that waits for its reply.
pub type CallId = u64;

/// An event for the core to handle in its next step.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A user submits a job.
    Submit {
        request: RequestId,
        id: JobId,
        /// The submitted specification, or why it can't be used.
        job: Result<JobSpec, SpecRejection>,
    },
    /// A user asks for a job's state.
    Poll { request: RequestId, id: JobId },
    /// A user cancels a job.
    Cancel { request: RequestId, id: JobId },
    /// A worker's heartbeat.
    Heartbeat {
        request: RequestId,
        heartbeat: Heartbeat,
        /// Whether a peer relayed it, since the worker can't reach this node.
        relayed: bool,
    },
    /// The reply of the state service to a call, or the error with which the call failed.
    KvReply { call: CallId, reply: Result<KvReply, CallError> },
    /// The reply of the cloud to a call, or the error with which the call failed.
    CloudReply { call: CallId, reply: Result<CloudReply, CallError> },
    /// The outcome of commands that were sent directly to a worker.
    CommandReply { call: CallId, reply: CommandReply },
    /// A peer's heartbeat.
    PeerHeartbeat(PeerHeartbeat),
    /// A peer's coverage, which lists the machines whose heartbeats it receives, or why its message was
    /// refused.
    Coverage(Result<Box<Coverage>, CoverageError>),
    /// A peer's message about shards, or why it was refused.
    ShardMessage { request: RequestId, message: Result<ShardMessage, ShardMessageError> },
    /// The outcome of a message about shards that this node sent.
    ShardMessageDelivery { call: CallId, delivery: Delivery },
    /// The outcome of a message to a peer: `confirmed` is set if the peer answered it.
    PeerDelivery { host: String, confirmed: bool },
    /// An operator asks for this node's view.
    View { request: RequestId },
}

/// An action for the adapters to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answers a request.
    Respond { request: RequestId, response: Response },
    /// Calls the state service.
    CallKv { call: CallId, request: KvRequest },
    /// Calls the cloud.
    CallCloud { call: CallId, request: CloudRequest },
    /// Sends commands directly to a worker. An empty list only checks whether the worker answers.
    SendCommands {
        call: CallId,
        address: Arc<str>,
        /// The leader's fencing token, or the epoch of the machine's shard.
        token: u64,
        /// The worker incarnation that the commands are meant for.
        incarnation: u64,
        commands: Vec<WorkerCommand>,
    },
    /// Asks a worker for its heartbeat, without any commands. [`Event::CommandReply`] reports the answer.
    InspectWorker { call: CallId, address: Arc<str> },
    /// Sends this node's heartbeat to every peer.
    SendPeerHeartbeat(PeerHeartbeat),
    /// Sends this node's coverage to every peer.
    SendCoverage(Box<Coverage>),
    /// Sends a message about shards to one peer. [`Event::ShardMessageDelivery`] reports the outcome.
    SendShardMessage { call: CallId, to: String, message: ShardMessage },
    /// Writes a line to the log.
    Log(LogLevel, String),
}

/// The severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// A problem that needs an operator's attention.
    Error,
    /// A normal event in the operation of the cluster.
    Info,
    /// Details for developers.
    Debug,
}
