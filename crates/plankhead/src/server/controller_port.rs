//! The HTTP port for the other controllers and for the operators' view.

use crate::http::{self, Reply};
use crate::node_handle::{NodeHandle, NodeMessage, NodeRequest};
use crate::peer_messages::{coverage, heartbeat, relay, shards};
use crate::wire::workers::parse_heartbeat;
use hyper::body::Incoming;
use hyper::{Method, Request};
use plankhead_core::protocol::Event;

/// The path of the operators' view.
pub const VIEW_PATH: &str = "/view";

/// Handles a request on the controller port.
pub async fn handle(node: NodeHandle, request: Request<Incoming>) -> Reply {
    let reply = match (request.method().clone(), request.uri().path()) {
        (Method::POST, heartbeat::PATH) => receive_heartbeat(&node, request).await,
        (Method::POST, coverage::PATH) => receive_coverage(&node, request).await,
        (Method::POST, shards::PATH) => receive_shard_message(&node, request).await,
        (Method::POST, relay::PATH) => receive_relayed_heartbeat(&node, request).await,
        (Method::GET, VIEW_PATH) => Ok(node.reply(NodeRequest::View).await),
        (_, heartbeat::PATH | coverage::PATH | shards::PATH | relay::PATH | VIEW_PATH) => {
            Err(Reply::error(405, "wrong method"))
        }
        _ => Err(Reply::error(404, "no such path")),
    };
    reply.unwrap_or_else(|error_reply| error_reply)
}

/// Adds an event to the node's queue and replies without waiting until it is processed.
fn enqueue(node: &NodeHandle, event: Event) -> Result<Reply, Reply> {
    match node.send(NodeMessage::Event(event)) {
        Ok(()) => Ok(Reply { status: 200, body: Vec::new(), retry_after: None }),
        Err(_) => Err(Reply::error(503, "too much to do")),
    }
}

async fn receive_heartbeat(node: &NodeHandle, request: Request<Incoming>) -> Result<Reply, Reply> {
    let body = http::read_body(request, heartbeat::MAX_MESSAGE).await?;
    let heartbeat = heartbeat::decode(&body).ok_or_else(|| {
        tracing::debug!("peer heartbeat rejected: reason=malformed");
        Reply::error(400, "not a pulse")
    })?;
    enqueue(node, Event::PeerHeartbeat(heartbeat))
}

/// Malformed coverage is passed to the core, too, since it shows that its sender can reach this node.
async fn receive_coverage(node: &NodeHandle, request: Request<Incoming>) -> Result<Reply, Reply> {
    let body = http::read_body(request, coverage::MAX_MESSAGE).await?;
    let coverage = coverage::decode(&body).map(Box::new);
    let error = coverage.as_ref().err().map(ToString::to_string);
    let reply = enqueue(node, Event::Coverage(coverage))?;
    Ok(error.map_or(reply, |error| Reply::error(400, &error)))
}

/// Malformed messages are passed to the core, too, which counts them.
async fn receive_shard_message(node: &NodeHandle, request: Request<Incoming>) -> Result<Reply, Reply> {
    let body = http::read_body(request, shards::MAX_MESSAGE).await?;
    let message = shards::decode(&body);
    let error = message.as_ref().err().map(ToString::to_string);
    let reply = node.reply(NodeRequest::ShardMessage { message }).await;
    Ok(error.map_or(reply, |error| Reply::error(400, &error)))
}

async fn receive_relayed_heartbeat(node: &NodeHandle, request: Request<Incoming>) -> Result<Reply, Reply> {
    let body = http::read_body(request, relay::MAX_MESSAGE).await?;
    let heartbeat = relay::decode_request(&body).and_then(|body| parse_heartbeat(&body).ok());
    let heartbeat = heartbeat.ok_or_else(|| Reply::error(400, "not a report"))?;
    let reply = node.reply(NodeRequest::Heartbeat { heartbeat, relayed: true }).await;
    let body = relay::encode_reply(&reply).ok_or_else(|| Reply::error(503, "no answer"))?;
    Ok(Reply { status: 200, body, retry_after: None })
}
