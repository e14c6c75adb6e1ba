//! The handle through which the servers send messages to the event loop of the node.

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

/// The response to a worker while no leader is known that could answer it.
const NO_LEADER: Response = Response::Redirect { host: None };

/// A request to the node that requires a response.
#[derive(Debug)]
pub enum NodeRequest {
    /// Creates a job.
    Submit { id: JobId, job: Result<JobSpec, SubmissionError> },
    /// Returns a job's status.
    Poll { id: JobId },
    /// Cancels a job.
    Cancel { id: JobId },
    /// Processes a worker's heartbeat.
    Heartbeat {
        heartbeat: Heartbeat,
        /// Whether a peer relayed the heartbeat because the worker can't reach this node.
        relayed: bool,
    },
    /// Processes a peer's message about shards, or the reason why it could not be decoded.
    ShardMessage { message: Result<ShardMessage, ShardMessageError> },
    /// Returns the operators' view of the node.
    View,
}

impl NodeRequest {
    /// Converts the request into an event for the core.
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

/// A message in the queue of the event loop.
#[derive(Debug)]
pub enum NodeMessage {
    /// A request, and the channel for its response. The sender is dropped if there is no response in
    /// time.
    Request(NodeRequest, oneshot::Sender<Response>),
    /// An event that requires no response.
    Event(Event),
}

/// The error that the queue of the event loop has no room for another message.
#[derive(Debug, Error)]
#[error("the queue of the node is full")]
pub struct QueueFull;

/// The status that the event loop publishes after each step.
#[derive(Debug)]
pub struct NodeStatus {
    /// Whether the load balancer should send users to this node: see
    /// [`Node::is_healthy`](plankhead_core::node::Node::is_healthy).
    pub healthy: AtomicBool,
    /// The highest fencing token that the node has seen, or 0 while fencing is off.
    pub highest_token: AtomicU64,
}

impl Default for NodeStatus {
    fn default() -> Self {
        Self { healthy: AtomicBool::new(true), highest_token: AtomicU64::new(0) }
    }
}

/// A handle to the node that sends messages to its event loop and returns the replies.
#[derive(Debug, Clone)]
pub struct NodeHandle {
    queue: mpsc::Sender<NodeMessage>,
    status: Arc<NodeStatus>,
    peers: PeerClients,
}

impl NodeHandle {
    /// Creates a handle to the event loop that receives from `queue` and updates `status`.
    pub fn new(queue: mpsc::Sender<NodeMessage>, status: Arc<NodeStatus>, peers: PeerClients) -> Self {
        Self { queue, status, peers }
    }

    /// Returns whether the load balancer should send users to this node.
    pub fn is_healthy(&self) -> bool {
        self.status.healthy.load(Ordering::Relaxed)
    }

    /// Adds a message to the queue. Fails at once if the queue is full.
    pub fn send(&self, message: NodeMessage) -> Result<(), QueueFull> {
        self.queue.try_send(message).map_err(|_| QueueFull)
    }

    /// Returns the node's response, or a 503 reply if the queue is full or the response takes too long.
    async fn response(&self, request: NodeRequest) -> Result<Response, Reply> {
        let (sender, receiver) = oneshot::channel();
        if self.send(NodeMessage::Request(request, sender)).is_err() {
            return Err(Reply::error(503, "too much to do"));
        }
        receiver.await.map_err(|_| Reply::error(503, "no answer in time"))
    }

    /// Returns the reply to a request.
    pub async fn reply(&self, request: NodeRequest) -> Reply {
        match self.response(request).await {
            Ok(response) => encode_response(&response),
            Err(error_reply) => error_reply,
        }
    }

    /// Returns the reply to a worker's heartbeat. If the core requests it, the heartbeat is relayed to
    /// the peer that answers the worker. `body` is the request body that contained the heartbeat.
    pub async fn reply_to_heartbeat(&self, heartbeat: Heartbeat, body: &[u8]) -> Reply {
        match self.response(NodeRequest::Heartbeat { heartbeat, relayed: false }).await {
            Ok(Response::Relay { host }) => {
                self.relay(&host, body).await.unwrap_or_else(|| encode_response(&NO_LEADER))
            }
            Ok(response) => encode_response(&response),
            Err(error_reply) => error_reply,
        }
    }

    /// Relays a heartbeat to a peer. Returns the peer's reply unless it is missing or outdated.
    async fn relay(&self, leader: &str, body: &[u8]) -> Option<Reply> {
        let reply = self.peers.get(leader)?.relay(body).await?;
        self.has_current_token(&reply).then_some(reply)
    }

    /// Returns whether a reply to a worker carries no outdated token. The worker would ignore an
    /// outdated reply and go on sending its heartbeats to this node until its lease expires.
    fn has_current_token(&self, reply: &Reply) -> bool {
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
