//! The state of the other nodes, as reported in their peer heartbeats.

use crate::protocol::PeerHeartbeat;
use crate::settings::Settings;
use plankhead_fencing::leaderless::PeerClaims;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How often a node sends a heartbeat to its peers.
const PEER_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// A peer is silent if its latest heartbeat is at least this old.
const PEER_HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

/// A peer's latest heartbeat and the time at which it arrived.
#[derive(Debug)]
struct ReceivedHeartbeat {
    received_at: Duration,
    heartbeat: PeerHeartbeat,
}

impl ReceivedHeartbeat {
    fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.received_at) < PEER_HEARTBEAT_TIMEOUT
    }
}

/// The latest heartbeat of each peer, and the schedule of this node's own heartbeats.
#[derive(Debug)]
pub(super) struct Peers {
    settings: Arc<Settings>,
    heartbeats: HashMap<String, ReceivedHeartbeat>,
    next_heartbeat_at: Duration,
}

impl Peers {
    pub fn new(settings: Arc<Settings>) -> Self {
        Self { settings, heartbeats: HashMap::new(), next_heartbeat_at: Duration::ZERO }
    }

    /// Whether the settings list the host as a peer.
    pub fn contains(&self, host: &String) -> bool {
        self.settings.peers.contains(host)
    }

    /// Returns the latest heartbeats of the peers that are not silent.
    pub fn fresh_heartbeats(&self, now: Duration) -> impl Iterator<Item = &PeerHeartbeat> {
        let fresh = self.heartbeats.values().filter(move |received| received.is_fresh(now));
        fresh.map(|received| &received.heartbeat)
    }

    /// Whether at least one peer is not silent.
    pub fn any_alive(&self, now: Duration) -> bool {
        self.fresh_heartbeats(now).next().is_some()
    }

    /// Whether there are peers and all of them are silent.
    pub fn all_silent(&self, now: Duration) -> bool {
        !self.settings.peers.is_empty() && !self.any_alive(now)
    }

    /// Whether the state service answers at least one peer that is not silent.
    pub fn any_reaches_kv(&self, now: Duration) -> bool {
        self.fresh_heartbeats(now).any(|heartbeat| heartbeat.kv_available)
    }

    /// Whether no peer is silent and none claims to lead.
    pub fn none_leads(&self, now: Duration) -> bool {
        self.settings.peers.iter().all(|host| {
            let received = self.heartbeats.get(host);
            received.is_some_and(|received| received.is_fresh(now) && received.heartbeat.token == 0)
        })
    }

    /// Returns what the heartbeats show about who leads, for a node that the state service may fail.
    pub fn claims(&self, now: Duration) -> PeerClaims {
        if self.any_reaches_kv(now) {
            PeerClaims::StoreReachable
        } else if self.none_leads(now) {
            PeerClaims::NoneLeads
        } else {
            PeerClaims::Unclear
        }
    }

    /// Whether the peer's latest heartbeat already claimed to lead under this token.
    pub fn claims_to_lead(&self, host: &str, token: u64) -> bool {
        self.heartbeats.get(host).is_some_and(|received| received.heartbeat.token == token)
    }

    pub fn record(&mut self, now: Duration, heartbeat: PeerHeartbeat) {
        self.heartbeats.insert(heartbeat.host.clone(), ReceivedHeartbeat { received_at: now, heartbeat });
    }

    /// Returns when this node's next heartbeat to its peers is due.
    pub fn next_due(&self) -> Duration {
        self.next_heartbeat_at
    }

    /// Returns whether this node's heartbeat to its peers is due; if so, schedules the next one.
    pub fn take_heartbeat_due(&mut self, now: Duration) -> bool {
        let due = now >= self.next_heartbeat_at;
        if due {
            self.next_heartbeat_at = now + PEER_HEARTBEAT_INTERVAL;
        }
        due
    }

    /// Returns the `peers` array of the operators' view.
    pub fn view(&self, now: Duration) -> Vec<serde_json::Value> {
        let peer = |received: &ReceivedHeartbeat| {
            let ReceivedHeartbeat { received_at, heartbeat } = received;
            serde_json::json!({
                "host": heartbeat.host,
                "heardS": now.saturating_sub(*received_at).as_secs_f64(),
                "kvAvailable": heartbeat.kv_available,
                "leads": heartbeat.token > 0,
            })
        };
        self.heartbeats.values().map(peer).collect()
    }
}
