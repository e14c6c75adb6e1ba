//! The port for the other controllers, and for the operators' view.

use crate::http::{self, Reply};
use crate::node_handle::{NodeHandle, NodeMessage, NodeRequest};
use crate::peer_messages::{coverage, heartbeat, relay, shards};
use crate::wire::workers::parse_heartbeat;
use hyper::body::Incoming;
use hyper::{Method, Request};
use plankhead_core::protocol::Event;

/// The path of the operators' view.
pub const VIEW_PATH: &str = "/view";

/// Answers a request.
pub async fn handle(node: NodeHandle, request: Request<Incoming>) -> Reply {
    let reply = match (request.method().clone(), request.uri().path()) {
        (Method::POST, heartbeat::PATH) => take_heartbeat(&node, request).await,
        (Method::POST, coverage::PATH) => take_coverage(&node, request).await,
        (Method::POST, shards::PATH) => take_shard_message(&node, request).await,
        (Method::POST, relay::PATH) => take_relayed_heartbeat(&node, request).await,
        (Method::GET, VIEW_PATH) => Ok(node.reply(NodeRequest::View).await),
        (_, heartbeat::PATH | coverage::PATH | shards::PATH | relay::PATH | VIEW_PATH) => {
            Err(Reply::error(405, "wrong method"))
        }
        _ => Err(Reply::error(404, "no such path")),
    };
    reply.unwrap_or_else(|refusal| refusal)
}

/// Puts an event into the node's queue; the sender is answered at once.
fn enqueue(node: &NodeHandle, event: Event) -> Result<Reply, Reply> {
    match node.send(NodeMessage::Event(event)) {
        Ok(()) => Ok(Reply { status: 200, body: Vec::new(), retry: None }),
        Err(_) => Err(Reply::error(503, "too much to do")),
    }
}

async fn take_heartbeat(node: &NodeHandle, request: Request<Incoming>) -> Result<Reply, Reply> {
    let body = http::body(request, heartbeat::MAX_MESSAGE).await?;
    let heartbeat = heartbeat::decode(&body).ok_or_else(|| {
        tracing::debug!("peer heartbeat rejected: reason=malformed");
        Reply::error(400, "not a pulse")
    })?;
    enqueue(node, Event::PeerHeartbeat(heartbeat))
}

/// The core is told of malformed coverage, too: its sender can reach this node.
async fn take_coverage(node: &NodeHandle, request: Request<Incoming>) -> Result<Reply, Reply> {
    let body = http::body(request, coverage::MAX_MESSAGE).await?;
    let coverage = coverage::decode(&body).map(Box::new);
    let error = coverage.as_ref().err().map(ToString::to_string);
    let reply = enqueue(node, Event::Coverage(coverage))?;
    Ok(error.map_or(reply, |error| Reply::error(400, &error)))
}

/// The core is told of malformed messages, too, and counts them.
async fn take_shard_message(node: &NodeHandle, request: Request<Incoming>) -> Result<Reply, Reply> {
    let body = http::body(request, shards::MAX_MESSAGE).await?;
    let message = shards::decode(&body);
    let error = message.as_ref().err().map(ToString::to_string);
    let reply = node.reply(NodeRequest::ShardMessage { message }).await;
    Ok(error.map_or(reply, |error| Reply::error(400, &error)))
}

async fn take_relayed_heartbeat(node: &NodeHandle, request: Request<Incoming>) -> Result<Reply, Reply> {
    let body = http::body(request, relay::MAX_MESSAGE).await?;
    let heartbeat = relay::decode_request(&body).and_then(|body| parse_heartbeat(&body).ok());
    let heartbeat = heartbeat.ok_or_else(|| Reply::error(400, "not a report"))?;
    let reply = node.reply(NodeRequest::Heartbeat { heartbeat, relayed: true }).await;
    let body = relay::encode_reply(&reply).ok_or_else(|| Reply::error(503, "no answer"))?;
    Ok(Reply { status: 200, body, retry: None })
}
