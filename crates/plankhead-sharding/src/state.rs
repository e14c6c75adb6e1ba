//! The states of a shard from the leader's point of view, and the transitions between them.

use std::fmt;
use thiserror::Error;

/// The state of a shard: whether it has a holder, and the progress of a move.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum ShardState {
    /// No holder has been named.
    #[default]
    Vacant,
    /// The holder acts under the epoch.
    Held {
        /// The node that holds the shard.
        holder: String,
        /// The revision at which the holder was named.
        epoch: u64,
    },
    /// The holder relays no more starts. It confirms the release once the leader has received the
    /// latest heartbeats of the shard's machines.
    Releasing {
        /// The node that holds the shard.
        holder: String,
        /// The revision at which the holder was named.
        epoch: u64,
        /// The node that is to hold the shard next.
        to: String,
    },
    /// The holder has confirmed the release. The next holder is to be named.
    Released {
        /// The node that has released the shard.
        holder: String,
        /// The revision at which the holder was named.
        epoch: u64,
        /// The node that is to hold the shard next.
        to: String,
    },
}

/// An event that changes the state of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Transition {
    /// A record names a holder: the first holder, the same one in a new term, the destination of a
    /// move, or a replacement for a holder that is gone.
    Name {
        /// The node named as holder.
        holder: String,
        /// The revision of the record.
        epoch: u64,
    },
    /// A record asks the holder to release the shard.
    BeginRelease {
        /// The node that is to hold the shard next.
        to: String,
    },
    /// The holder has released the shard.
    ConfirmRelease {
        /// The epoch under which the holder held the shard.
        epoch: u64,
    },
}

/// The error for a transition that the state of the shard does not allow.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("a shard in state {state} does not allow {transition:?}")]
pub struct ForbiddenTransition {
    state: String,
    transition: Transition,
}

impl ShardState {
    /// Returns the state after a transition, if the transition is allowed. This is the only list of
    /// allowed transitions.
    pub fn after(&self, transition: Transition) -> Result<Self, ForbiddenTransition> {
        use ShardState::{Held, Released, Releasing};
        match (self, &transition) {
            // Epochs are revisions of the state service and only increase.
            (state, Transition::Name { holder, epoch }) if state.epoch() < *epoch => {
                Ok(Held { holder: holder.clone(), epoch: *epoch })
            }
            (Held { holder, epoch }, Transition::BeginRelease { to }) if holder != to => {
                Ok(Releasing { holder: holder.clone(), epoch: *epoch, to: to.clone() })
            }
            (Releasing { holder, epoch, to }, Transition::ConfirmRelease { epoch: released })
                if epoch == released =>
            {
                Ok(Released { holder: holder.clone(), epoch: *epoch, to: to.clone() })
            }
            _ => Err(ForbiddenTransition { state: self.to_string(), transition }),
        }
    }

    /// Returns the node that holds the shard.
    pub fn holder(&self) -> Option<&str> {
        match self {
            Self::Vacant => None,
            Self::Held { holder, .. } | Self::Releasing { holder, .. } | Self::Released { holder, .. } => {
                Some(holder)
            }
        }
    }

    /// Returns the epoch of the shard, or 0 while it has no holder.
    pub fn epoch(&self) -> u64 {
        match self {
            Self::Vacant => 0,
            Self::Held { epoch, .. } | Self::Releasing { epoch, .. } | Self::Released { epoch, .. } => *epoch,
        }
    }

    /// Returns the destination of the move in progress.
    pub fn next_holder(&self) -> Option<&str> {
        match self {
            Self::Releasing { to, .. } | Self::Released { to, .. } => Some(to),
            Self::Vacant | Self::Held { .. } => None,
        }
    }
}

impl fmt::Display for ShardState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Vacant => "vacant",
            Self::Held { .. } => "held",
            Self::Releasing { .. } => "releasing",
            Self::Released { .. } => "released",
        })
    }
}
