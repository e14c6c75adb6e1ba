//! The HTTP port for users, workers and the load balancer.

use crate::http::{self, Reply, MAX_REQUEST};
use crate::node_handle::{NodeHandle, NodeRequest};
use crate::wire::users::{parse_submission, Submission};
use crate::wire::workers::HeartbeatReader;
use hyper::body::Incoming;
use hyper::{Method, Request};
use plankhead_core::jobs::job::JobId;
use std::sync::{Arc, Mutex, PoisonError};

/// The state of one connection: the reader that caches the connection's latest heartbeat.
pub type ConnectionState = Arc<Mutex<HeartbeatReader>>;

/// Handles a request on the public port.
pub async fn handle(node: NodeHandle, connection: ConnectionState, request: Request<Incoming>) -> Reply {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    let reply = match (segments.as_slice(), method) {
        (["healthz"], Method::GET) => Ok(health(&node)),
        (["work"], Method::POST) => submit(&node, request).await,
        (["work", id], Method::GET) => Ok(with_job(&node, id, |id| NodeRequest::Poll { id }).await),
        (["work", id, "abort"], Method::POST) => {
            Ok(with_job(&node, id, |id| NodeRequest::Cancel { id }).await)
        }
        (["agent", "beat"], Method::POST) => heartbeat(&node, &connection, request).await,
        (["healthz" | "work"] | ["work", _] | ["work", _, "abort"] | ["agent", "beat"], _) => {
            Err(Reply::error(405, "wrong method"))
        }
        _ => Err(Reply::error(404, "no such path")),
    };
    reply.unwrap_or_else(|error_reply| error_reply)
}

fn health(node: &NodeHandle) -> Reply {
    if node.is_healthy() {
        Reply { status: 200, body: b"{}".to_vec(), retry_after: None }
    } else {
        Reply::error(503, "the state service refuses this node")
    }
}

async fn submit(node: &NodeHandle, request: Request<Incoming>) -> Result<Reply, Reply> {
    let body = http::read_body(request, MAX_REQUEST).await?;
    let Submission { id, job } =
        parse_submission(&body).map_err(|error| Reply::error(400, &error.to_string()))?;
    Ok(node.reply(NodeRequest::Submit { id, job }).await)
}

/// Handles a request for the job with this id. A malformed id gets the same reply as an unknown one.
async fn with_job(node: &NodeHandle, id: &str, request: impl FnOnce(JobId) -> NodeRequest) -> Reply {
    match JobId::parse(id) {
        Ok(id) => node.reply(request(id)).await,
        Err(_) => Reply::error(404, "no such job"),
    }
}

async fn heartbeat(
    node: &NodeHandle,
    connection: &ConnectionState,
    request: Request<Incoming>,
) -> Result<Reply, Reply> {
    let body = http::read_body(request, MAX_REQUEST).await?;
    let heartbeat = connection.lock().unwrap_or_else(PoisonError::into_inner).read(&body);
    let heartbeat = heartbeat.map_err(|error| {
        tracing::debug!("heartbeat rejected: reason={error}");
        Reply::error(400, &error.to_string())
    })?;
    Ok(node.reply_to_heartbeat(heartbeat, &body).await)
}
