//! The states of a shard as its leader sees it, and the transitions between them.

use std::fmt;
use thiserror::Error;

/// Where a shard is in its life.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum ShardState {
    /// Nobody has been named.
    #[default]
    Vacant,
    /// Its holder acts under the epoch.
    Held { holder: String, epoch: u64 },
    /// Its holder is to start nothing more, and to say when it has passed all on.
    Releasing { holder: String, epoch: u64, to: String },
    /// The holder has passed all on; the next one is to be named.
    Released { holder: String, epoch: u64, to: String },
}

/// What changes a shard's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Transition {
    /// A record names a holder at this revision: the first one, the same one in a new
    /// term, the one that the shard moves to, or another since the holder is silent.
    Name { holder: String, epoch: u64 },
    /// A record asks the holder to let go.
    BeginRelease { to: String },
    /// The holder has let go.
    ConfirmRelease { epoch: u64 },
}

#[derive(Debug, Error, PartialEq, Eq)]
#[error("a shard that is {state} can't take {transition:?}")]
pub struct ForbiddenTransition {
    state: String,
    transition: Transition,
}

impl ShardState {
    /// The state after a transition: the one place that says which are allowed.
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

    /// The controller that acts for the shard.
    pub fn holder(&self) -> Option<&str> {
        match self {
            Self::Vacant => None,
            Self::Held { holder, .. } | Self::Releasing { holder, .. } | Self::Released { holder, .. } => {
                Some(holder)
            }
        }
    }

    /// The shard's fencing token; 0 while nobody holds it.
    pub fn epoch(&self) -> u64 {
        match self {
            Self::Vacant => 0,
            Self::Held { epoch, .. } | Self::Releasing { epoch, .. } | Self::Released { epoch, .. } => *epoch,
        }
    }

    /// Who is to hold the shard next, while it moves.
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
