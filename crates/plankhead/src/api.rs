//! What users, workers and the load balancer ask of a node.

use crate::driver::{CoreRequest, Handle};
use crate::http::{self, Reply, MAX_REQUEST};
use crate::wire::users::{parse_submission, Submission};
use crate::wire::workers::HeartbeatReader;
use hyper::body::Incoming;
use hyper::{Method, Request};
use plankhead_core::jobs::job::JobId;
use std::sync::{Arc, Mutex, PoisonError};

/// What is remembered of a connection: its last report.
pub type Reader = Arc<Mutex<HeartbeatReader>>;

pub async fn handle(handle: Handle, reader: Reader, request: Request<Incoming>) -> Reply {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    match (parts.as_slice(), method) {
        (["healthz"], Method::GET) => match handle.healthy() {
            true => Reply { status: 200, body: b"{}".to_vec(), retry: None },
            false => Reply::error(503, "the state service refuses this node"),
        },
        (["work"], Method::POST) => {
            let body = match http::body(request, MAX_REQUEST).await {
                Ok(body) => body,
                Err(reply) => return reply,
            };
            match parse_submission(&body) {
                Ok(Submission { id, job }) => handle.ask(CoreRequest::Submit { id, job }).await,
                Err(error) => Reply::error(400, &error.to_string()),
            }
        }
        (["work", id], Method::GET) => match JobId::parse(id) {
            Ok(id) => handle.ask(CoreRequest::Poll { id }).await,
            Err(_) => Reply::error(404, "no such job"),
        },
        (["work", id, "abort"], Method::POST) => match JobId::parse(id) {
            Ok(id) => handle.ask(CoreRequest::Cancel { id }).await,
            Err(_) => Reply::error(404, "no such job"),
        },
        (["agent", "beat"], Method::POST) => {
            let body = match http::body(request, MAX_REQUEST).await {
                Ok(body) => body,
                Err(reply) => return reply,
            };
            let report = reader.lock().unwrap_or_else(PoisonError::into_inner).read(&body);
            match report {
                Ok(report) => handle.beat(report, &body).await,
                Err(error) => {
                    let reason = error.to_string();
                    tracing::debug!("heartbeat rejected: reason={reason}");
                    Reply::error(400, &reason)
                }
            }
        }
        (["healthz" | "work"] | ["work", _] | ["work", _, "abort"] | ["agent", "beat"], _) => {
            Reply::error(405, "wrong method")
        }
        _ => Reply::error(404, "no such path"),
    }
}
