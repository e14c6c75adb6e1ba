//! The leader election, and the version barrier, which opens once every node runs this version.

pub mod election;
pub mod version_barrier;

/// A leader, identified by its fencing token and its host. Values are ordered by token first, so the
/// greatest one is the latest leader.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaderId {
    pub token: u64,
    pub host: String,
}
