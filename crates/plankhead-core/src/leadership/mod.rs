//! Leadership: the leader election, and what waits until every node has this version.

pub mod election;
pub mod version_barrier;
