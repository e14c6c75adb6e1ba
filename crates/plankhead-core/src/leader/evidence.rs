//! What the leader knows of its own links: which sides it reaches, and whether the
//! silence of workers is theirs or its own.

use plankhead_reachability::mode::Mode;
use std::time::Duration;

/// What a node knows of its links and of its lease at one step.
#[derive(Debug, Clone, Copy)]
pub struct LeaderEvidence {
    /// The leader's lease was renewed within its time, so that its writes make sense.
    pub lease_valid: bool,
    /// And no call to the state service has failed since.
    pub kv_undisputed: bool,
    /// Every peer is heard, and none of them leads.
    pub no_peer_leads: bool,
    /// The process has no processor time left.
    pub cpu_starved: bool,
    /// Which links of this node work.
    pub mode: Mode,
    /// Every other node hears no worker either.
    pub peers_agree: bool,
}

/// What the leader keeps of the evidence between steps.
#[derive(Debug)]
pub(super) struct Evidence {
    mode: Mode,
    peers_agree: bool,
    cpu_starved: bool,
    /// When the state service last failed this node, or was about to.
    lease_doubted_at: Option<Duration>,
    /// A worker has reached this node itself since the last step.
    direct_heartbeat_arrived: bool,
    /// When a worker was last found to have reached this node itself.
    last_direct_heartbeat_at: Duration,
    /// Whether the silence of a machine could be blamed on the machine.
    silence_is_reliable: bool,
}

impl Evidence {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            mode: Mode::Whole,
            peers_agree: false,
            cpu_starved: false,
            lease_doubted_at: None,
            direct_heartbeat_arrived: false,
            last_direct_heartbeat_at: now,
            silence_is_reliable: true,
        }
    }

    /// Takes in the evidence of a step. `is_loading`: workers are not answered yet, so
    /// that their silence says nothing.
    pub(super) fn update(&mut self, evidence: &LeaderEvidence, is_loading: bool, now: Duration) {
        self.cpu_starved = evidence.cpu_starved;
        self.mode = evidence.mode;
        self.peers_agree = evidence.peers_agree;
        if !evidence.kv_undisputed {
            self.lease_doubted_at = Some(now);
        }
        if std::mem::take(&mut self.direct_heartbeat_arrived) || is_loading {
            self.last_direct_heartbeat_at = now;
        }
    }

    /// Which links of this node work.
    pub(super) fn mode(&self) -> Mode {
        self.mode
    }

    /// Whether every other node hears no worker either.
    pub(super) fn peers_agree(&self) -> bool {
        self.peers_agree
    }

    /// The process is behind: starts go with the answers to heartbeats only.
    pub(super) fn is_cpu_starved(&self) -> bool {
        self.cpu_starved
    }

    /// Whether the state service has failed this node at or after a time.
    pub(super) fn is_lease_doubted_since(&self, at: Duration) -> bool {
        self.lease_doubted_at.is_some_and(|doubted| doubted >= at)
    }

    /// A worker has reached this node itself.
    pub(super) fn direct_heartbeat_arrived(&mut self) {
        self.direct_heartbeat_arrived = true;
    }

    /// For how long no worker has reached this node itself.
    pub(super) fn time_without_direct_heartbeat(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_direct_heartbeat_at)
    }

    /// From now on silence may be blamed on a machine; false: so it was before.
    pub(super) fn trust_silence(&mut self) -> bool {
        !std::mem::replace(&mut self.silence_is_reliable, true)
    }

    /// Silence is this node's own fault until it is trusted again.
    pub(super) fn distrust_silence(&mut self) {
        self.silence_is_reliable = false;
    }
}
