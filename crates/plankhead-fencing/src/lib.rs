//! Fencing of the lease holder's effects on what can't check a fencing token itself.
//!
//! The cloud carries out whatever it is asked, at once or minutes late. So the holder of
//! the leader's lease first makes its intention durable in the state service, under a
//! condition on the lease's key, and only then asks the cloud. Its successor reads the
//! open intentions before it acts, and finishes them. See `docs/fencing.md`.
//!
//! All decisions are made here, without input or output:
//!
//! - [`action`]: what may be asked of the cloud, and the digest of it;
//! - [`duty`]: one such action with its idempotency key, and its states;
//! - [`record`]: how duties are stored;
//! - [`log`]: the holder's duties, those that it inherited, and when to write which record;
//! - [`gate`]: the only place where an action becomes one that adapters accept;
//! - [`token`]: the highest fencing token seen, for what we own ourselves.

pub mod action;
pub mod gate;
pub mod intent;
pub mod intent_log;
mod pages;
pub mod record;
pub mod token;
