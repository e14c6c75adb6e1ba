//! Leadership: the leader election, and the barrier that opens once every node has this
//! version.

pub mod election;
pub mod version_barrier;

/// A leader's term: the fencing token under which it leads, and the node. Ordered by token,
/// so that the greatest one is the latest known leader.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaderId {
    pub token: u64,
    pub host: String,
}
