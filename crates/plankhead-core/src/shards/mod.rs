//! Shards of machines: the messages between the leader and holders, and the records.

pub mod messages;
pub mod records;
