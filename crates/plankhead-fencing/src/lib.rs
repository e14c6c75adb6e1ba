//! Fencing of the leader's actions on the cloud, which cannot check a fencing token itself.
//!
//! The cloud carries out every request that it receives, immediately or minutes later. The leader
//! therefore records its intent in the state service first, in a transaction that is conditional
//! on the key of its lease, and only then sends the request to the cloud. The next leader reads the
//! open intents before it acts, and completes or abandons them. See `docs/fencing.md`.
//!
//! This crate makes the decisions and performs no I/O:
//!
//! - [`action`]: the actions that the leader may request from the cloud, and their digests;
//! - [`intent`]: an action with its idempotency key and its state;
//! - [`record`]: the stored form of intents;
//! - [`intent_log`]: the intents of one leader's term, both its own and the adopted ones;
//! - [`page_writes`]: the writes to the state service that the log requests;
//! - [`errors`]: the errors of the log;
//! - [`leaderless`]: the one return that a node may request without leading;
//! - [`gate`]: the only module that permits actions on the cloud;
//! - [`token`]: the highest fencing token that a node has seen, and the refusal of lower ones.

#![warn(missing_docs)]

pub mod action;
mod ended_intents;
pub mod errors;
pub mod gate;
pub mod intent;
pub mod intent_log;
pub mod leaderless;
pub mod page_writes;
mod pages;
pub mod record;
pub mod token;
