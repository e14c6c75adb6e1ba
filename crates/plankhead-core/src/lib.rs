//! The scheduling core of plankhead. It makes every decision and performs no input or output.
//!
//! [`node::Node::step`] takes a batch of events and the time, and returns the effects for the
//! adapters to carry out. It is deterministic: the same events at the same times give the same
//! effects.
//!
//! The modules, from the lowest layer to the highest:
//!
//! - [`protocol`], [`calls`], [`effects`], [`settings`]: the messages to and from other processes,
//!   the purposes of calls, the effects of a step, and the settings of the deployment;
//! - [`key_watch`], [`job_watch`], [`token_bucket`]: helpers to watch stored keys and to limit rates;
//! - [`jobs`], [`fleet`], [`shards`]: the state of jobs, machines and shards;
//! - [`placement`], [`sizing`]: which task starts on which machine, and how many machines to rent;
//! - [`leadership`], [`reachability`], [`requests`]: the leader election, the state of a node's
//!   links, and the requests of users;
//! - [`reclaim`]: the return of machines with tasks of cancelled jobs while no node can lead;
//! - [`leader`], [`holder`]: the two roles in which a node responds to workers;
//! - [`node`]: a node, composed of all these modules.

pub mod calls;
pub mod effects;
pub mod fleet;
pub mod holder;
pub mod job_watch;
pub mod jobs;
pub mod key_watch;
pub mod leader;
pub mod leadership;
pub mod node;
pub mod placement;
pub mod protocol;
pub mod reachability;
pub mod reclaim;
pub mod requests;
pub mod settings;
pub mod shards;
pub mod sizing;
pub mod token_bucket;
pub mod token_range;
