//! What passes between controllers, and the operators' view: both on the
//! controller port. Messages are rkyv, checked before use.

use crate::driver::{CoreMessage, CoreRequest, Handle};
use crate::http::{self, Client, Reply};
use crate::{coverage, shard_messages, wire};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use plankhead_core::node::MAX_PROGRESS_READ;
use plankhead_core::protocol::{Event, JobProgress, PeerHeartbeat};
use plankhead_core::shards::messages::Delivery;
use rkyv::{Archive, Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(1);
/// How long passing a report on may take, and the pause after a failure.
const RELAY: Duration = Duration::from_millis(1500);
const RELAY_PAUSE: Duration = Duration::from_secs(3);
/// Reports under way to one sibling at most.
const MAX_RELAYS: usize = 24;
const MAX_RELAY: usize = http::MAX_REQUEST + 1024;
const MAX_PULSE: usize = 1024 * 1024;

#[derive(Archive, Serialize, Deserialize)]
struct PulseMessage {
    host: String,
    state_ok: bool,
    baton: u64,
    /// (job, done, running)
    progress: Vec<(String, u32, u32)>,
}

pub fn encode(pulse: &PeerHeartbeat) -> Option<Vec<u8>> {
    let message = PulseMessage {
        host: pulse.host.clone(),
        state_ok: pulse.kv_available,
        baton: pulse.token,
        progress: pulse.progress.iter().map(|p| (p.id.clone(), p.done, p.running)).collect(),
    };
    rkyv::to_bytes::<rkyv::rancor::Error>(&message).ok().map(|bytes| bytes.to_vec())
}

pub fn decode(bytes: &[u8]) -> Option<PeerHeartbeat> {
    let message = rkyv::from_bytes::<PulseMessage, rkyv::rancor::Error>(&aligned(bytes)).ok()?;
    if message.progress.len() > MAX_PROGRESS_READ || message.host.len() > 200 {
        return None;
    }
    let progress = message.progress.into_iter();
    Some(PeerHeartbeat {
        host: message.host,
        kv_available: message.state_ok,
        token: message.baton,
        progress: progress.map(|(id, done, running)| JobProgress { id, done, running }).collect(),
    })
}

/// A worker's report, as it came, for the node that leads.
#[derive(Archive, Serialize, Deserialize)]
struct RelayMessage {
    report: Vec<u8>,
}

/// What the worker is to be answered.
#[derive(Archive, Serialize, Deserialize)]
struct RelayReply {
    status: u16,
    body: Vec<u8>,
    retry_ms: Option<u64>,
}

/// The archive must lie aligned in memory.
pub(crate) fn aligned(bytes: &[u8]) -> rkyv::util::AlignedVec<16> {
    let mut aligned = rkyv::util::AlignedVec::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    aligned
}

pub fn relay_message(report: &[u8]) -> Option<Vec<u8>> {
    let message = RelayMessage { report: report.to_vec() };
    rkyv::to_bytes::<rkyv::rancor::Error>(&message).ok().map(|bytes| bytes.to_vec())
}

fn relay_reply(reply: &Reply) -> Option<Vec<u8>> {
    let retry_ms = reply.retry.map(|r| r.as_millis() as u64);
    let message = RelayReply { status: reply.status, body: reply.body.clone(), retry_ms };
    rkyv::to_bytes::<rkyv::rancor::Error>(&message).ok().map(|bytes| bytes.to_vec())
}

/// A sibling, told at most one thing at a time.
#[derive(Debug)]
pub struct Sibling {
    client: Client,
    busy: AtomicBool,
    relays: Client,
    shards: Client,
    relaying: AtomicUsize,
    /// When passing a report on failed last.
    failed: Mutex<Option<Instant>>,
}

impl Sibling {
    pub fn new(address: SocketAddr) -> Self {
        let (client, relays) = (Client::new(address), Client::new(address));
        Self {
            shards: Client::new(address),
            client,
            busy: AtomicBool::new(false),
            relays,
            relaying: AtomicUsize::new(0),
            failed: Mutex::new(None),
        }
    }

    /// Passes a worker's report on, and the answer back. After a failure others
    /// are turned away at once for a while.
    pub async fn relay(&self, report: &[u8]) -> Option<Reply> {
        let failed = || self.failed.lock().unwrap_or_else(PoisonError::into_inner);
        let paused = failed().is_some_and(|at| at.elapsed() < RELAY_PAUSE);
        let message = relay_message(report)?;
        if paused || self.relaying.load(Ordering::Relaxed) >= MAX_RELAYS {
            return None;
        }
        self.relaying.fetch_add(1, Ordering::Relaxed);
        let answer = self.relays.call(Method::POST, "/relay", message, RELAY).await;
        self.relaying.fetch_sub(1, Ordering::Relaxed);
        match answer {
            Ok((StatusCode::OK, body)) => {
                let reply = rkyv::from_bytes::<RelayReply, rkyv::rancor::Error>(&aligned(&body)).ok()?;
                let retry = reply.retry_ms.map(Duration::from_millis);
                Some(Reply { status: reply.status, body: reply.body, retry })
            }
            _ => {
                *failed() = Some(Instant::now());
                None
            }
        }
    }

    /// Sends coverage, and tells whether the sibling answered: a version that does not know
    /// the path answers, too.
    pub async fn tell_coverage(&self, bytes: Vec<u8>) -> bool {
        self.client.call(Method::POST, coverage::PATH, bytes, PATIENCE).await.is_ok()
    }

    /// Sends a message about shards.
    pub async fn tell_shards(&self, bytes: Vec<u8>) -> Delivery {
        match self.shards.call(Method::POST, shard_messages::PATH, bytes, PATIENCE).await {
            Ok((StatusCode::OK, _)) => Delivery::Accepted,
            Ok((StatusCode::GONE, _)) => Delivery::FullSyncNeeded,
            Ok((StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED, _)) => Delivery::Unsupported,
            Ok(_) => Delivery::Rejected,
            Err(_) => Delivery::NoResponse,
        }
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
            let body = match http::body(request, MAX_PULSE).await {
                Ok(body) => body,
                Err(reply) => return reply,
            };
            let Some(pulse) = decode(&body) else {
                tracing::debug!("a malformed pulse was dropped");
                return Reply::error(400, "not a pulse");
            };
            match handle.send(CoreMessage::Event(Event::PeerHeartbeat(pulse))) {
                Ok(()) => Reply { status: 200, body: Vec::new(), retry: None },
                Err(_) => Reply::error(503, "too much to do"),
            }
        }
        (Method::POST, coverage::PATH) => {
            let told = match http::body(request, coverage::MAX_MESSAGE).await {
                Ok(body) => coverage::decode(&body).map(Box::new),
                Err(reply) => return reply,
            };
            let fault = told.as_ref().err().map(ToString::to_string);
            if handle.send(CoreMessage::Event(Event::Coverage(told))).is_err() {
                return Reply::error(503, "too much to do");
            }
            match fault {
                Some(fault) => Reply::error(400, &fault),
                None => Reply { status: 200, body: Vec::new(), retry: None },
            }
        }
        (Method::POST, shard_messages::PATH) => {
            let message = match http::body(request, shard_messages::MAX_WIRE).await {
                Ok(body) => shard_messages::decode(&body),
                Err(reply) => return reply,
            };
            let fault = message.as_ref().err().map(ToString::to_string);
            let answer = handle.ask(CoreRequest::ShardMessage { message }).await;
            fault.map_or(answer, |fault| Reply::error(400, &fault))
        }
        (Method::POST, "/relay") => {
            let body = match http::body(request, MAX_RELAY).await {
                Ok(body) => body,
                Err(reply) => return reply,
            };
            let message = rkyv::from_bytes::<RelayMessage, rkyv::rancor::Error>(&aligned(&body)).ok();
            let Some(report) = message.and_then(|m| wire::workers::parse_heartbeat(&m.report).ok()) else {
                return Reply::error(400, "not a report");
            };
            let answer = handle.ask(CoreRequest::Heartbeat { report, relayed: true }).await;
            match relay_reply(&answer) {
                Some(body) => Reply { status: 200, body, retry: None },
                None => Reply::error(503, "no answer"),
            }
        }
        (Method::GET, "/view") => handle.ask(CoreRequest::View).await,
        (_, "/pulse" | coverage::PATH | shard_messages::PATH | "/relay" | "/view") => {
            Reply::error(405, "wrong method")
        }
        _ => Reply::error(404, "no such path"),
    }
}

/// What the version in production before gangs (9ca3cb3) sent, recorded from it.
/// Messages of this kind don't extend: an added field would be unreadable to it, so
/// that what is new goes into messages of its own.
#[cfg(test)]
mod tests {
    use super::*;

    const PULSE: &str = "6a6f622d30303034313200008a000000f4ffffff030000000d0000006a6f622d37ffffff000000000100000000000000706c616e6b2d31ff01000000000000002900000000000000c4ffffff02000000";
    const RELAY: &str = "7b22686f7374223a22692d31227d0000f0ffffff0e000000";
    const REPLY: &str = "7b226261746f6e223a34312c226f7264657273223a5b5d7dc8000000e4ffffff18000000000000000100000000000000dc05000000000000";

    fn hex(bytes: &[u8]) -> String {
        bytes.iter().map(|b| format!("{b:02x}")).collect()
    }

    #[test]
    fn messages_are_those_of_the_version_before() {
        let progress = |id: &str, done, running| JobProgress { id: id.into(), done, running };
        let pulse = PeerHeartbeat {
            host: "plank-1".into(),
            kv_available: true,
            token: 41,
            progress: vec![progress("job-000412", 3, 13), progress("job-7", 0, 1)],
        };
        let bytes = encode(&pulse).unwrap();
        assert_eq!(hex(&bytes), PULSE);
        assert_eq!(decode(&bytes), Some(pulse));
        assert_eq!(hex(&relay_message(br#"{"host":"i-1"}"#).unwrap()), RELAY);
        let reply = Reply {
            status: 200,
            body: br#"{"baton":41,"orders":[]}"#.to_vec(),
            retry: Some(Duration::from_millis(1500)),
        };
        assert_eq!(hex(&relay_reply(&reply).unwrap()), REPLY);
    }
}
