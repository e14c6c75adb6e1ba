//! The client of a peer's controller port.

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
/// How long relaying a heartbeat may take, with its answer.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1500);
/// After a failure nothing is relayed for this long.
const RELAY_RETRY_INTERVAL: Duration = Duration::from_secs(3);
/// Relayed heartbeats under way to one peer.
const MAX_RELAYS: usize = 24;

/// The clients of the other nodes, by name.
pub type PeerClients = Arc<HashMap<String, Arc<PeerClient>>>;

/// The client of one peer.
#[derive(Debug)]
pub struct PeerClient {
    /// For heartbeats and coverage.
    client: Client,
    heartbeat_in_flight: AtomicBool,
    relay_client: Client,
    relays_in_flight: AtomicUsize,
    last_relay_failure: Mutex<Option<Instant>>,
    shard_client: Client,
}

impl PeerClient {
    /// A client of the controller port at this address; it connects when it is first used.
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

    /// Relays a worker's heartbeat, and returns what the worker is to be answered; `None` if
    /// the peer can't be asked. After a failure nothing is relayed for a while.
    pub async fn relay(&self, heartbeat: &[u8]) -> Option<Reply> {
        let request = relay::encode_request(heartbeat)?;
        if self.relays_paused() || self.relays_in_flight.load(Ordering::Relaxed) >= MAX_RELAYS {
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

    fn relays_paused(&self) -> bool {
        self.last_relay_failure().is_some_and(|failed_at| failed_at.elapsed() < RELAY_RETRY_INTERVAL)
    }

    /// Sends coverage, and returns whether the peer answered: a version that does not know
    /// the path answers, too.
    pub async fn send_coverage(&self, message: Vec<u8>) -> bool {
        self.client.call(Method::POST, coverage::PATH, message, CALL_TIMEOUT).await.is_ok()
    }

    /// Sends a message about shards.
    pub async fn send_shard_message(&self, message: Vec<u8>) -> Delivery {
        match self.shard_client.call(Method::POST, shards::PATH, message, CALL_TIMEOUT).await {
            Ok((StatusCode::OK, _)) => Delivery::Accepted,
            Ok((StatusCode::GONE, _)) => Delivery::FullSyncNeeded,
            Ok((StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED, _)) => Delivery::Unsupported,
            Ok(_) => Delivery::Rejected,
            Err(_) => Delivery::NoResponse,
        }
    }

    /// Sends a heartbeat in the background, unless the one before is still under way.
    pub fn send_heartbeat(self: &Arc<Self>, message: Vec<u8>) {
        if self.heartbeat_in_flight.swap(true, Ordering::Relaxed) {
            return;
        }
        let peer = self.clone();
        tokio::spawn(async move {
            // Heartbeats aren't repeated; that they don't arrive shows at the peer.
            let _ = peer.client.call(Method::POST, heartbeat::PATH, message, CALL_TIMEOUT).await;
            peer.heartbeat_in_flight.store(false, Ordering::Relaxed);
        });
    }
}
