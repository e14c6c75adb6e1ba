//! Shards of machines: the messages between the leader and the holders of shards, and the shards'
//! records in the state service.

pub mod messages;
pub mod records;
