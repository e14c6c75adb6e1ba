//! The way from the servers to the node: the queue of its event loop.

use crate::clients::peers::PeerClients;
use crate::http::Reply;
use crate::wire::responses::encode_response;
use crate::wire::users::SubmissionError;
use crate::wire::workers::response_token;
use plankhead_core::jobs::job::{JobId, JobSpec};
use plankhead_core::protocol::{Event, Heartbeat, RequestId, Response, SpecRejection};
use plankhead_core::shards::messages::{ShardMessage, ShardMessageError};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

/// What a worker is answered that no node can help at the moment.
const NO_LEADER: Response = Response::Redirect { host: None };

/// A request that wants a response.
#[derive(Debug)]
pub enum NodeRequest {
    /// Create a job.
    Submit { id: JobId, job: Result<JobSpec, SubmissionError> },
    /// Tell a job's status.
    Poll { id: JobId },
    /// Cancel a job.
    Cancel { id: JobId },
    /// Take in a worker's heartbeat. `relayed`: it came through a peer, since the worker can't
    /// reach this node.
    Heartbeat { heartbeat: Heartbeat, relayed: bool },
    /// Take in a peer's message about shards, or why it was rejected.
    ShardMessage { message: Result<ShardMessage, ShardMessageError> },
    /// Tell the operators' view.
    View,
}

impl NodeRequest {
    /// The event that carries the request into the core.
    pub fn into_event(self, request: RequestId) -> Event {
        match self {
            NodeRequest::Submit { id, job } => {
                let job = job.map_err(|error| SpecRejection::Malformed(error.to_string()));
                Event::Submit { request, id, job }
            }
            NodeRequest::Poll { id } => Event::Poll { request, id },
            NodeRequest::Cancel { id } => Event::Cancel { request, id },
            NodeRequest::Heartbeat { heartbeat, relayed } => Event::Heartbeat { request, heartbeat, relayed },
            NodeRequest::ShardMessage { message } => Event::ShardMessage { request, message },
            NodeRequest::View => Event::View { request },
        }
    }
}

/// What the queue of the event loop takes.
#[derive(Debug)]
pub enum NodeMessage {
    /// A request, and where its response goes. The sender is dropped if there is none in time.
    Request(NodeRequest, oneshot::Sender<Response>),
    /// Anything else that the core takes.
    Event(Event),
}

/// The event loop has more to do than it can keep.
#[derive(Debug, Error)]
#[error("the queue of the node is full")]
pub struct QueueFull;

/// What the event loop makes known after each step.
#[derive(Debug)]
pub struct NodeStatus {
    /// Whether the state service answers this node.
    pub healthy: AtomicBool,
    /// The highest fencing token seen; 0 while fencing is off.
    pub highest_token: AtomicU64,
}

impl Default for NodeStatus {
    fn default() -> Self {
        Self { healthy: AtomicBool::new(true), highest_token: AtomicU64::new(0) }
    }
}

/// Hands requests to the node.
#[derive(Debug, Clone)]
pub struct NodeHandle {
    queue: mpsc::Sender<NodeMessage>,
    status: Arc<NodeStatus>,
    peers: PeerClients,
}

impl NodeHandle {
    /// A handle of the event loop that takes from this queue and keeps this status.
    pub fn new(queue: mpsc::Sender<NodeMessage>, status: Arc<NodeStatus>, peers: PeerClients) -> Self {
        Self { queue, status, peers }
    }

    /// Whether the state service answers this node.
    pub fn is_healthy(&self) -> bool {
        self.status.healthy.load(Ordering::Relaxed)
    }

    /// Puts a message into the queue, and does not wait for room.
    pub fn send(&self, message: NodeMessage) -> Result<(), QueueFull> {
        self.queue.try_send(message).map_err(|_| QueueFull)
    }

    /// The node's response, or the reply of one that has too much to do.
    async fn response(&self, request: NodeRequest) -> Result<Response, Reply> {
        let (sender, receiver) = oneshot::channel();
        if self.send(NodeMessage::Request(request, sender)).is_err() {
            return Err(Reply::error(503, "too much to do"));
        }
        receiver.await.map_err(|_| Reply::error(503, "no answer in time"))
    }

    /// The reply to a request.
    pub async fn reply(&self, request: NodeRequest) -> Reply {
        match self.response(request).await {
            Ok(response) => encode_response(&response),
            Err(refusal) => refusal,
        }
    }

    /// The reply to a worker's heartbeat. Where the core asks for it, the heartbeat is relayed
    /// to the peer that leads; `body` is the heartbeat as it came.
    pub async fn reply_to_heartbeat(&self, heartbeat: Heartbeat, body: &[u8]) -> Reply {
        match self.response(NodeRequest::Heartbeat { heartbeat, relayed: false }).await {
            Ok(Response::Relay { host }) => {
                self.relay(&host, body).await.unwrap_or_else(|| encode_response(&NO_LEADER))
            }
            Ok(response) => encode_response(&response),
            Err(refusal) => refusal,
        }
    }

    /// The leader's reply to a relayed heartbeat, if it gives one that is current.
    async fn relay(&self, leader: &str, body: &[u8]) -> Option<Reply> {
        let reply = self.peers.get(leader)?.relay(body).await?;
        self.is_current(&reply).then_some(reply)
    }

    /// Whether a reply for a worker is not under a token that is over: the worker would drop
    /// it, and stay here while its lease runs out.
    fn is_current(&self, reply: &Reply) -> bool {
        let highest = self.status.highest_token.load(Ordering::Relaxed);
        match response_token(&reply.body) {
            Some(token) if token < highest => {
                tracing::info!("relayed answer rejected: token={token} highest_token={highest}");
                false
            }
            _ => true,
        }
    }
}
