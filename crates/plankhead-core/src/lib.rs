//! The scheduling core of plankhead: every decision, and no input or output.
//!
//! [`node::Node::step`] takes a batch of events and the time, and returns the
//! effects that the adapters carry out. The same events at the same times give
//! the same effects.

pub mod budget;
pub mod easy;
pub mod election;
pub mod fleet;
pub mod holder;
pub mod job;
pub mod key_watch;
pub mod leader;
pub mod ledger;
pub mod node;
pub mod places;
pub mod portions;
pub mod protocol;
pub mod queue;
pub mod reach;
pub mod replay;
pub mod requests;
pub mod settings;
pub mod shard_messages;
pub mod shard_records;
pub mod sizing;
pub mod version_barrier;
