//! What the core takes and what it asks for: events, effects, and the ids that tie a reply to
//! its request.

use super::{
    CallError, CloudReply, CloudRequest, CommandReply, Heartbeat, KvReply, KvRequest, PeerHeartbeat,
    Response, SpecRejection, WorkerCommand,
};
use crate::jobs::job::{JobId, JobSpec};
use crate::shards::messages::{Delivery, ShardMessage, ShardMessageError};
use plankhead_reachability::coverage::{Coverage, CoverageError};
use std::sync::Arc;

/// A request from outside that waits for its [`Response`].
pub type RequestId = u64;
/// A call to the outside that waits for its reply.
pub type CallId = u64;

/// What has happened since the step before.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A user submits a job.
    Submit {
        request: RequestId,
        id: JobId,
        /// Or why the submitted document can't be read.
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
        /// It came through a peer, since the worker can't reach this node.
        relayed: bool,
    },
    /// The state service's reply to a call, or why there is none.
    KvReply { call: CallId, reply: Result<KvReply, CallError> },
    /// The cloud's reply to a call, or why there is none.
    CloudReply { call: CallId, reply: Result<CloudReply, CallError> },
    /// What came of commands sent directly to a worker.
    CommandReply { call: CallId, reply: CommandReply },
    /// A peer's heartbeat.
    PeerHeartbeat(PeerHeartbeat),
    /// A peer's coverage, or why its message was refused.
    Coverage(Result<Box<Coverage>, CoverageError>),
    /// A peer's message about shards, or why it was refused.
    ShardMessage { request: RequestId, message: Result<ShardMessage, ShardMessageError> },
    /// What became of this node's message about shards.
    ShardMessageDelivery { call: CallId, delivery: Delivery },
    /// What came of a message to a peer; `confirmed`: the peer answered it.
    PeerDelivery { host: String, confirmed: bool },
    /// An operator asks for this node's view.
    View { request: RequestId },
}

/// What the adapters are to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answer a request.
    Respond { request: RequestId, response: Response },
    /// Call the state service.
    CallKv { call: CallId, request: KvRequest },
    /// Call the cloud.
    CallCloud { call: CallId, request: CloudRequest },
    /// Send commands directly to a worker; without any, only to learn whether it answers.
    SendCommands {
        call: CallId,
        address: Arc<str>,
        /// The leader's fencing token, or the epoch of the machine's shard.
        token: u64,
        /// The worker's, for which the commands are meant.
        incarnation: u64,
        commands: Vec<WorkerCommand>,
    },
    /// Send every peer this node's heartbeat.
    SendPeerHeartbeat(PeerHeartbeat),
    /// Send every peer this node's coverage.
    SendCoverage(Box<Coverage>),
    /// Send one peer a message about shards; what becomes of it comes back.
    SendShardMessage { call: CallId, to: String, message: ShardMessage },
    /// Write a line to the log.
    Log(LogLevel, String),
}

/// How much a log line matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Something is wrong that an operator should see to.
    Error,
    /// An event in the life of the cluster.
    Info,
    /// For the developers.
    Debug,
}
