//! The states of a shard as its leader sees it, and the transitions between them.

use std::fmt;
use thiserror::Error;

/// Whether a shard has a holder, and how far a move of it is.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum ShardState {
    /// No holder has been named.
    #[default]
    Vacant,
    /// Its holder acts under the epoch.
    Held {
        /// The node that holds the shard.
        holder: String,
        /// The revision at which the holder was named.
        epoch: u64,
    },
    /// Its holder relays no more starts, and is to confirm once all that it relayed has arrived.
    Releasing {
        /// The node that holds the shard.
        holder: String,
        /// The revision at which the holder was named.
        epoch: u64,
        /// The node that is to hold the shard next.
        to: String,
    },
    /// The holder has confirmed the release; the next one is to be named.
    Released {
        /// The node that holds the shard.
        holder: String,
        /// The revision at which the holder was named.
        epoch: u64,
        /// The node that is to hold the shard next.
        to: String,
    },
}

/// What changes a shard's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Transition {
    /// A record names a holder: the first one, the same one in a new term, the one that the
    /// shard moves to, or another since the holder is gone.
    Name {
        /// The node that is named.
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
        /// The epoch that the holder held it under.
        epoch: u64,
    },
}

/// A transition that the shard's state does not allow.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("a shard that is {state} can't take {transition:?}")]
pub struct ForbiddenTransition {
    state: String,
    transition: Transition,
}

impl ShardState {
    /// The state after a transition, if it is allowed: the one list of those that are.
    pub fn after(&self, transition: Transition) -> Result<Self, ForbiddenTransition> {
        use ShardState::{Held, Released, Releasing};
        match (self, &transition) {
            // Epochs are revisions and only grow.
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

    /// The node that acts for the shard.
    pub fn holder(&self) -> Option<&str> {
        match self {
            Self::Vacant => None,
            Self::Held { holder, .. } | Self::Releasing { holder, .. } | Self::Released { holder, .. } => {
                Some(holder)
            }
        }
    }

    /// The shard's epoch; 0 while nobody holds it.
    pub fn epoch(&self) -> u64 {
        match self {
            Self::Vacant => 0,
            Self::Held { epoch, .. } | Self::Releasing { epoch, .. } | Self::Released { epoch, .. } => *epoch,
        }
    }

    /// The node that is to hold the shard next, while it moves.
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
