//! Shards of machines: their assignment to nodes and their moves between nodes.
//!
//! One node, the leader, decides which task runs on which machine. Communication with the workers is
//! partitioned: a machine belongs to a shard by its zone and name, and each shard has one holder, a
//! node that answers the heartbeats of its machines and relays commands to them. The leader names
//! the holders in records of the state service. The revision of the write that names a holder is the
//! shard's epoch, the fencing token of everything that the holder sends to workers.
//!
//! This crate makes the decisions and performs no I/O:
//!
//! - [`shard`]: the shard of a machine;
//! - [`record`] and [`table`]: the stored records, and a node's copy of them;
//! - [`state`]: the states of a shard and the transitions between them;
//! - [`registry`]: the records that the leader writes;
//! - [`balance`]: the distribution of shards among nodes;
//! - [`read_times`]: what a holder may do, depending on the age of its reads from the state service;
//! - [`sequence`] and [`machine_numbers`]: parts of the messages between holders and the leader;
//! - [`settings`]: the operators' settings.

#![warn(missing_docs)]

pub mod balance;
pub mod machine_numbers;
pub mod read_times;
pub mod record;
pub mod registry;
pub mod sequence;
pub mod settings;
pub mod shard;
pub mod state;
pub mod table;
