//! Links: connections in one direction.
//!
//! A [`CallLink`] is evaluated by the answers to its calls. An [`ArrivalLink`] only receives messages and
//! is evaluated by the time since the latest one.

mod arrival_link;
mod call_link;

pub use arrival_link::ArrivalLink;
pub use call_link::CallLink;

use std::time::Duration;

/// The time without a confirmation after which a link that has not failed is unknown again.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Identifies a connection and its direction.
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
    /// Heartbeats of workers that arrive at this node.
    HeartbeatsIn,
    /// Replies to heartbeats of workers. The next heartbeat confirms a reply.
    HeartbeatReplies,
    /// Commands sent directly to workers.
    Commands,
    /// Calls to the cloud.
    Cloud,
    /// Heartbeats that arrive from the peer with this number.
    PeerIn(usize),
    /// Messages to the peer with this number. The peer's answer confirms a message.
    PeerOut(usize),
}

impl LinkId {
    /// Returns the link's name in log lines and views.
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

/// The condition of a link, according to recent evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkCondition {
    /// There is no recent evidence that the link works or has failed.
    Unknown,
    /// The link was confirmed recently.
    Up,
    /// There are signs of a failure, but not enough for the link to count as down.
    Suspect,
    /// The link has failed.
    Down,
}

impl LinkCondition {
    /// Returns the condition's name in views.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Up => "up",
            Self::Suspect => "suspect",
            Self::Down => "down",
        }
    }
}

/// The result of a link's latest evaluation, and its counts since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkStatus {
    /// The condition as of the latest evaluation.
    pub condition: LinkCondition,
    /// The time at which the link entered this condition.
    pub since: Duration,
    /// The numbers of confirmations and failures.
    pub counts: LinkCounts,
}

impl LinkStatus {
    fn new(now: Duration) -> Self {
        Self { condition: LinkCondition::Unknown, since: now, counts: LinkCounts::default() }
    }

    /// Sets the condition, and returns whether it has changed.
    fn update(&mut self, condition: LinkCondition, now: Duration) -> bool {
        let changed = condition != self.condition;
        if changed {
            self.condition = condition;
            self.since = now;
        }
        changed
    }
}

/// Counts of one link since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// The number of answers and other confirmations.
    pub confirmed: u64,
    /// The number of failed calls and other failures.
    pub failed: u64,
}
