//! The client of a peer's controller port, for heartbeats, coverage, relays and shard messages.

use crate::http::{Client, Reply};
use crate::peer_messages::{coverage, heartbeat, relay, shards};
use hyper::{Method, StatusCode};
use plankhead_core::shards::messages::Delivery;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The time limit for relaying a heartbeat, including the reply.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1500);
/// The time after a failed relay during which no heartbeats are relayed to the peer.
const RELAY_RETRY_INTERVAL: Duration = Duration::from_secs(3);
/// The largest number of concurrent relays to one peer.
const MAX_RELAYS: usize = 24;

/// The clients of the other nodes, by name.
pub type PeerClients = Arc<HashMap<String, Arc<PeerClient>>>;

/// The client of one peer. Heartbeats with coverage, relays and shard messages have separate connections.
#[derive(Debug)]
pub struct PeerClient {
    /// The connections for heartbeats and coverage.
    client: Client,
    heartbeat_in_flight: AtomicBool,
    relay_client: Client,
    relays_in_flight: AtomicUsize,
    last_relay_failure: Mutex<Option<Instant>>,
    shard_client: Client,
}

impl PeerClient {
    /// Creates a client of the controller port at this address. It connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::new(address),
            heartbeat_in_flight: AtomicBool::new(false),
            relay_client: Client::new(address),
            relays_in_flight: AtomicUsize::new(0),
            last_relay_failure: Mutex::new(None),
            shard_client: Client::new(address),
        }
    }

    /// Relays a worker's heartbeat and returns the reply to the worker. Returns `None` if the peer gives no
    /// reply, if too many relays are in progress, or for `RELAY_RETRY_INTERVAL` after a failure.
    pub async fn relay(&self, heartbeat: &[u8]) -> Option<Reply> {
        let request = relay::encode_request(heartbeat)?;
        if self.is_relaying_paused() || self.relays_in_flight.load(Ordering::Relaxed) >= MAX_RELAYS {
            return None;
        }
        self.relays_in_flight.fetch_add(1, Ordering::Relaxed);
        let answer = self.relay_client.call(Method::POST, relay::PATH, request, RELAY_TIMEOUT).await;
        self.relays_in_flight.fetch_sub(1, Ordering::Relaxed);
        match answer {
            Ok((StatusCode::OK, body)) => relay::decode_reply(&body),
            _ => {
                *self.last_relay_failure() = Some(Instant::now());
                None
            }
        }
    }

    fn last_relay_failure(&self) -> std::sync::MutexGuard<'_, Option<Instant>> {
        self.last_relay_failure.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_relaying_paused(&self) -> bool {
        self.last_relay_failure().is_some_and(|failed_at| failed_at.elapsed() < RELAY_RETRY_INTERVAL)
    }

    /// Sends coverage and returns whether the peer answered. Any answer counts, since a peer whose version
    /// does not support the path is reachable, too.
    pub async fn send_coverage(&self, message: Vec<u8>) -> bool {
        self.client.call(Method::POST, coverage::PATH, message, CALL_TIMEOUT).await.is_ok()
    }

    /// Sends a message about shards and returns its delivery.
    pub async fn send_shard_message(&self, message: Vec<u8>) -> Delivery {
        match self.shard_client.call(Method::POST, shards::PATH, message, CALL_TIMEOUT).await {
            Ok((StatusCode::OK, _)) => Delivery::Accepted,
            Ok((StatusCode::GONE, _)) => Delivery::FullSyncNeeded,
            Ok((StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED, _)) => Delivery::Unsupported,
            Ok(_) => Delivery::Rejected,
            Err(_) => Delivery::NoResponse,
        }
    }

    /// Sends a heartbeat in the background, unless the previous one is still in progress.
    pub fn send_heartbeat(self: &Arc<Self>, message: Vec<u8>) {
        if self.heartbeat_in_flight.swap(true, Ordering::Relaxed) {
            return;
        }
        let peer = self.clone();
        tokio::spawn(async move {
            // A failed heartbeat is not repeated. The peer notices that it is missing.
            let _ = peer.client.call(Method::POST, heartbeat::PATH, message, CALL_TIMEOUT).await;
            peer.heartbeat_in_flight.store(false, Ordering::Relaxed);
        });
    }
}
