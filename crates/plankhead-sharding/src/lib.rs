//! Shards of machines: which node holds which of them, and how they move between nodes.
//!
//! One node, the leader, decides what runs where. The workers' side is partitioned: a machine
//! belongs to a shard by its zone and name, and each shard has one holder, which answers the
//! heartbeats of its machines and relays commands to them. The leader names holders in records
//! of the state service; the revision of that write is the shard's epoch, the fencing token of
//! everything that its holder sends to workers.
//!
//! Nothing here does input or output.
//!
//! - [`shard`]: which shard a machine belongs to;
//! - [`record`] and [`table`]: the stored records, and what a node knows of them;
//! - [`state`]: the states of a shard and the transitions between them;
//! - [`registry`]: which record the leader writes next;
//! - [`balance`]: which node should hold which shard;
//! - [`read_times`]: what a holder may do by what it has seen of the state service;
//! - [`sequence`] and [`machine_numbers`]: the messages between holders and the leader.

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
