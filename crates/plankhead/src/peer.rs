//! What passes between controllers, and the operators' view: both on the
//! controller port. Messages are rkyv, checked before use.

use crate::driver::{Command, Handle, Request as Ask};
use crate::http::{self, Client, Reply};
use hyper::body::Incoming;
use hyper::{Method, Request};
use plankhead_core::protocol::{Event, Progress, Pulse};
use rkyv::{Archive, Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(1);
const MOST_PULSE: usize = 128 * 1024;
const MOST_PROGRESS: usize = 1_000;

#[derive(Archive, Serialize, Deserialize)]
struct PulseMessage {
    host: String,
    state_ok: bool,
    baton: u64,
    /// (job, done, running)
    progress: Vec<(String, u32, u32)>,
}

pub fn encode(pulse: &Pulse) -> Option<Vec<u8>> {
    let message = PulseMessage {
        host: pulse.host.clone(),
        state_ok: pulse.state_ok,
        baton: pulse.baton,
        progress: pulse.progress.iter().map(|p| (p.id.clone(), p.done, p.running)).collect(),
    };
    rkyv::to_bytes::<rkyv::rancor::Error>(&message).ok().map(|bytes| bytes.to_vec())
}

pub fn decode(bytes: &[u8]) -> Option<Pulse> {
    // The archive must lie aligned in memory.
    let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    let message = rkyv::from_bytes::<PulseMessage, rkyv::rancor::Error>(&aligned).ok()?;
    if message.progress.len() > MOST_PROGRESS || message.host.len() > 200 {
        return None;
    }
    let progress = message.progress.into_iter();
    Some(Pulse {
        host: message.host,
        state_ok: message.state_ok,
        baton: message.baton,
        progress: progress.map(|(id, done, running)| Progress { id, done, running }).collect(),
    })
}

/// A sibling, told at most one thing at a time.
#[derive(Debug)]
pub struct Sibling {
    client: Client,
    busy: AtomicBool,
}

impl Sibling {
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(address), busy: AtomicBool::new(false) }
    }

    /// Sends a pulse, unless the one before is still on its way.
    pub fn tell(self: &Arc<Self>, bytes: Vec<u8>) {
        if self.busy.swap(true, Ordering::Relaxed) {
            return;
        }
        let sibling = self.clone();
        tokio::spawn(async move {
            let _ = sibling.client.call(Method::POST, "/pulse", bytes, PATIENCE).await;
            sibling.busy.store(false, Ordering::Relaxed);
        });
    }
}

pub async fn handle(handle: Handle, request: Request<Incoming>) -> Reply {
    match (request.method().clone(), request.uri().path()) {
        (Method::POST, "/pulse") => {
            let body = match http::body(request, MOST_PULSE).await {
                Ok(body) => body,
                Err(reply) => return reply,
            };
            let Some(pulse) = decode(&body) else {
                tracing::debug!("a malformed pulse was dropped");
                return Reply::error(400, "not a pulse");
            };
            match handle.send(Command::Event(Event::Pulse(pulse))) {
                Ok(()) => Reply { status: 200, body: Vec::new(), retry: None },
                Err(_) => Reply::error(503, "too much to do"),
            }
        }
        (Method::GET, "/view") => handle.ask(Ask::View).await,
        (_, "/pulse" | "/view") => Reply::error(405, "wrong method"),
        _ => Reply::error(404, "no such path"),
    }
}
