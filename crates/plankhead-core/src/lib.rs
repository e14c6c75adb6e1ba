//! The scheduling core of plankhead: every decision, and no input or output.
//!
//! [`node::Node::step`] takes a batch of events and the time, and returns the
//! effects that the adapters carry out. The same events at the same times give
//! the same effects.

pub mod calls;
pub mod effects;
pub mod fleet;
pub mod holder;
pub mod jobs;
pub mod key_watch;
pub mod leader;
pub mod leadership;
pub mod node;
pub mod placement;
pub mod protocol;
pub mod reachability;
pub mod requests;
pub mod settings;
pub mod shards;
pub mod sizing;
pub mod token_bucket;
