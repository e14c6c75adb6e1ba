//! What the leader knows about its own links: whether it reaches the state service and the workers,
//! and whether missing heartbeats are the fault of the workers or of its own links.

use plankhead_reachability::mode::Mode;
use std::time::Duration;

/// What a node knows about its links and its lease in one step.
#[derive(Debug, Clone, Copy)]
pub struct LeaderEvidence {
    /// Whether the leader's lease has been renewed in time, so that its writes may still succeed.
    pub lease_valid: bool,
    /// Whether the lease is valid and its latest renewal has not failed.
    pub lease_undisputed: bool,
    /// Whether heartbeats of every peer arrive and none of them claims to lead.
    pub no_peer_leads: bool,
    /// Whether the process gets too little CPU time to keep up.
    pub cpu_starved: bool,
    /// The reachability mode: which links of this node work.
    pub mode: Mode,
    /// Whether no peer receives heartbeats from any worker.
    pub no_peer_receives_heartbeats: bool,
}

/// The evidence that the leader keeps between steps.
#[derive(Debug)]
pub(super) struct Evidence {
    mode: Mode,
    no_peer_receives_heartbeats: bool,
    cpu_starved: bool,
    /// When the lease was last found invalid or its latest renewal failed.
    lease_uncertain_at: Option<Duration>,
    /// Whether a worker's heartbeat has arrived directly, not through a peer, since the last step.
    direct_heartbeat_arrived: bool,
    /// The time of the last step that found a direct heartbeat.
    last_direct_heartbeat_at: Duration,
    /// Whether missing heartbeats of a machine are evidence against the machine, and not against
    /// this node's links.
    silence_is_reliable: bool,
}

impl Evidence {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            mode: Mode::Whole,
            no_peer_receives_heartbeats: false,
            cpu_starved: false,
            lease_uncertain_at: None,
            direct_heartbeat_arrived: false,
            last_direct_heartbeat_at: now,
            silence_is_reliable: true,
        }
    }

    /// Records the evidence of a step. While `is_loading`, the time without direct heartbeats stays
    /// zero, since heartbeats are only answered with `Unavailable` then.
    pub(super) fn update(&mut self, evidence: &LeaderEvidence, is_loading: bool, now: Duration) {
        self.cpu_starved = evidence.cpu_starved;
        self.mode = evidence.mode;
        self.no_peer_receives_heartbeats = evidence.no_peer_receives_heartbeats;
        if !evidence.lease_undisputed {
            self.lease_uncertain_at = Some(now);
        }
        if std::mem::take(&mut self.direct_heartbeat_arrived) || is_loading {
            self.last_direct_heartbeat_at = now;
        }
    }

    /// Returns the reachability mode of this node.
    pub(super) fn mode(&self) -> Mode {
        self.mode
    }

    /// Returns whether no peer receives heartbeats from any worker.
    pub(super) fn no_peer_receives_heartbeats(&self) -> bool {
        self.no_peer_receives_heartbeats
    }

    /// Returns whether CPU time is short. Starts are then sent only in responses to heartbeats.
    pub(super) fn is_cpu_starved(&self) -> bool {
        self.cpu_starved
    }

    /// Returns whether the lease was uncertain at or after the time `at`: it was invalid, or its
    /// latest renewal had failed.
    pub(super) fn is_lease_uncertain_since(&self, at: Duration) -> bool {
        self.lease_uncertain_at.is_some_and(|uncertain_at| uncertain_at >= at)
    }

    /// Records that a heartbeat has arrived directly, not through a peer.
    pub(super) fn record_direct_heartbeat(&mut self) {
        self.direct_heartbeat_arrived = true;
    }

    /// Returns the time for which no heartbeat has arrived directly.
    pub(super) fn time_without_direct_heartbeat(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_direct_heartbeat_at)
    }

    /// Lets missing heartbeats count against machines again. Returns whether they did not count
    /// before.
    pub(super) fn mark_silence_reliable(&mut self) -> bool {
        !std::mem::replace(&mut self.silence_is_reliable, true)
    }

    /// Attributes missing heartbeats to this node's own links until
    /// [`Evidence::mark_silence_reliable`] is called.
    pub(super) fn mark_silence_unreliable(&mut self) {
        self.silence_is_reliable = false;
    }
}
