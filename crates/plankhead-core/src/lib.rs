//! The scheduling core of plankhead: every decision, and no input or output.
//!
//! [`node::Node::step`] takes a batch of events and the time, and returns the effects that the
//! adapters carry out. The same events at the same times give the same effects.
//!
//! From the bottom up:
//!
//! - [`protocol`], [`calls`], [`effects`], [`settings`]: messages with the outside, what replies
//!   are for, what a step collects, and what the deployment is like;
//! - [`jobs`], [`fleet`], [`shards`]: the state of jobs, machines and shards;
//! - [`placement`], [`sizing`]: which task starts where, and how many machines there should be;
//! - [`leadership`], [`reachability`], [`requests`]: which node leads, which links of it work,
//!   and what its users ask for;
//! - [`leader`], [`holder`]: the two roles in which a node answers workers;
//! - [`node`]: all of these as one node.

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
