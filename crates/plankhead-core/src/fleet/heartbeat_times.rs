//! When a machine was last heard, in which way.

use std::time::Duration;

/// When a machine was last heard. All times begin when this node begins to wait for it.
#[derive(Debug, Clone)]
pub struct HeartbeatTimes {
    /// When it last showed that it is alive.
    pub last_heard_at: Duration,
    /// When a heartbeat came that was newer than all before, whatever its token.
    pub last_new_at: Duration,
    /// When it last reached this node itself.
    pub last_direct_at: Duration,
    /// When a peer last said that it hears this machine, whose heartbeats are late here.
    pub heard_by_peer_at: Option<Duration>,
    /// When it was last given time to find another node.
    rerouted_at: Duration,
}

impl HeartbeatTimes {
    /// The times of a machine that is waited for from `now` on.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            last_heard_at: now,
            last_new_at: now,
            last_direct_at: now,
            heard_by_peer_at: None,
            rerouted_at: Duration::ZERO,
        }
    }

    /// Its silence up to now was not the machine's fault.
    pub(super) fn reset_silence(&mut self, now: Duration) {
        self.last_heard_at = now;
        self.last_direct_at = now;
    }

    /// Gives it time to find another node, once for every time that it is heard.
    pub(super) fn extend_for_reroute(&mut self, now: Duration) {
        if self.last_new_at >= self.rerouted_at {
            self.rerouted_at = now;
            self.last_heard_at = self.last_heard_at.max(now);
            self.last_direct_at = self.last_direct_at.max(now);
        }
    }

    /// Another node that answers its worker heard it at that time.
    pub(super) fn observe_alive(&mut self, at: Duration) {
        self.last_heard_at = self.last_heard_at.max(at);
        self.last_new_at = self.last_new_at.max(at);
        self.last_direct_at = self.last_direct_at.max(at);
    }
}
