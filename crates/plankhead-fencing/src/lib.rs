//! Fencing of the leader's effects on the cloud, which can't check a fencing token itself.
//!
//! The cloud carries out whatever it is asked, at once or minutes late. So the leader first
//! records its intent in the state service, in a transaction that is conditional on the key of
//! its lease, and only then asks the cloud. Its successor reads the open intents before it
//! acts, and finishes them. See `docs/fencing.md`.
//!
//! All decisions are made here, without input or output:
//!
//! - [`action`]: what may be asked of the cloud, and its digest;
//! - [`intent`]: one such action with its idempotency key and its states;
//! - [`record`]: the stored form of intents;
//! - [`intent_log`]: the intents of one leader's term, its own and the adopted ones;
//! - [`page_writes`]: the writes to the state service that the log asks for;
//! - [`errors`]: the log's errors;
//! - [`gate`]: the only place that lets an action through to the cloud;
//! - [`token`]: the highest fencing token seen, for resources that plankhead owns.

#![warn(missing_docs)]

pub mod action;
mod ended_intents;
pub mod errors;
pub mod gate;
pub mod intent;
pub mod intent_log;
pub mod page_writes;
mod pages;
pub mod record;
pub mod token;
