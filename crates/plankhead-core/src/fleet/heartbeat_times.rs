//! The times at which a machine was last heard from, by kind of evidence.

use std::time::Duration;

/// The times at which a machine was last heard from. The first three start at the time when this node
/// began to expect the machine.
#[derive(Debug, Clone)]
pub struct HeartbeatTimes {
    /// When the machine was last known to be alive. Also advanced when its silence so far is excused,
    /// for example by `reset_silence`.
    pub last_heard_at: Duration,
    /// When a heartbeat with a higher `HeartbeatId` than any before it last arrived, whatever its token.
    pub last_new_at: Duration,
    /// When the machine last reached this node, or its shard's holder, without a relay. Also
    /// advanced when its silence so far is excused.
    pub last_direct_at: Duration,
    /// When a peer last stated that it receives this machine's heartbeats. Recorded only while they are
    /// late here.
    pub reported_to_peer_at: Option<Duration>,
    /// When the machine was last granted time to find another node.
    rerouted_at: Duration,
}

impl HeartbeatTimes {
    /// Creates the times of a machine that is expected from `now` on.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            last_heard_at: now,
            last_new_at: now,
            last_direct_at: now,
            reported_to_peer_at: None,
            rerouted_at: Duration::ZERO,
        }
    }

    /// Restarts the silence at `now`, because the silence so far was not the machine's fault.
    pub(super) fn reset_silence(&mut self, now: Duration) {
        self.last_heard_at = now;
        self.last_direct_at = now;
    }

    /// Restarts the silence at `now` to give the machine time to find another node. Has no effect
    /// until the machine has sent a new heartbeat since the previous extension.
    pub(super) fn extend_for_reroute(&mut self, now: Duration) {
        if self.last_new_at >= self.rerouted_at {
            self.rerouted_at = now;
            self.last_heard_at = self.last_heard_at.max(now);
            self.last_direct_at = self.last_direct_at.max(now);
        }
    }

    /// Records that the holder of the machine's shard received a heartbeat of the machine at `at`.
    pub(super) fn observe_alive(&mut self, at: Duration) {
        self.last_heard_at = self.last_heard_at.max(at);
        self.last_new_at = self.last_new_at.max(at);
        self.last_direct_at = self.last_direct_at.max(at);
    }
}
