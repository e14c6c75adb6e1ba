//! One connection in one direction, judged by what was confirmed over it.
//!
//! [`CallLink`] is judged by the answers to its calls, [`ArrivalLink`], which only receives, by
//! the silence since its latest message.

mod arrival_link;
mod call_link;

pub use arrival_link::ArrivalLink;
pub use call_link::CallLink;

use std::time::Duration;

/// A link without any confirmation for so long is unknown again.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Which connection, and in which direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LinkId {
    /// Reads of the state service.
    KvReads,
    /// Transactions of the state service.
    KvWrites,
    /// Watches of the state service.
    KvWatch,
    /// Renewals of the leader's lease.
    KvLeaseRenewal,
    /// Workers' heartbeats that reach this node.
    HeartbeatsIn,
    /// Replies to heartbeats, which the next heartbeat confirms.
    HeartbeatReplies,
    /// Commands sent directly to workers.
    Commands,
    /// Calls to the cloud.
    Cloud,
    /// Heartbeats that arrive from the peer with this number.
    PeerIn(usize),
    /// Messages to that peer, which it confirms.
    PeerOut(usize),
}

impl LinkId {
    /// The link's name in logs and views.
    pub fn name(self) -> &'static str {
        match self {
            Self::KvReads => "stateReads",
            Self::KvWrites => "stateWrites",
            Self::KvWatch => "stateWatch",
            Self::KvLeaseRenewal => "stateRenewal",
            Self::HeartbeatsIn => "reportsIn",
            Self::HeartbeatReplies => "answersAccepted",
            Self::Commands => "commandsOut",
            Self::Cloud => "cloud",
            Self::PeerIn(_) => "peerIn",
            Self::PeerOut(_) => "peerOut",
        }
    }
}

/// Whether a link works, as far as that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkCondition {
    /// Nothing was sent over it recently: neither up nor down.
    Unknown,
    /// It was confirmed recently.
    Up,
    /// It has begun to fail.
    Suspect,
    /// It has failed for long enough.
    Down,
}

impl LinkCondition {
    /// The condition's name in views.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Up => "up",
            Self::Suspect => "suspect",
            Self::Down => "down",
        }
    }
}

/// What a link was last judged to be, and what has happened on it since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkStatus {
    /// The condition as of the latest judgement.
    pub condition: LinkCondition,
    /// Since when the link is in that condition.
    pub since: Duration,
    /// How often it was confirmed and failed.
    pub counts: LinkCounts,
}

impl LinkStatus {
    fn new(now: Duration) -> Self {
        Self { condition: LinkCondition::Unknown, since: now, counts: LinkCounts::default() }
    }

    /// Takes in the present condition; returns whether it has changed.
    fn update(&mut self, condition: LinkCondition, now: Duration) -> bool {
        let changed = condition != self.condition;
        if changed {
            self.condition = condition;
            self.since = now;
        }
        changed
    }
}

/// Counts of one link since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Answers and other confirmations.
    pub confirmed: u64,
    /// Calls without an answer and other failures.
    pub failed: u64,
}
