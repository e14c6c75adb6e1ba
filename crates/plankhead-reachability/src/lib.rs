//! Reachability of a node: which of its links work, and which actions it is permitted as a result. The
//! crate makes decisions only; it performs no input or output.
//!
//! A node reaches two sides: the state service and the workers. [`link`] evaluates each connection by
//! the answers and messages received over it. [`side`] combines the links of a side, with hysteresis
//! and flap damping ([`damping`]). [`mode`] names the four combinations of both sides, and
//! [`permission`] defines what is permitted in each mode. [`monitor`] combines these modules.
//!
//! [`coverage`] is the exchange between nodes of the sets of machines whose heartbeats each of them
//! receives. The sets refer to a [`numbering`] of machines that is stored in the state service.
//! [`handover`] decides from the coverage which node should lead.

#![warn(missing_docs)]

pub mod bitmap;
pub mod coverage;
pub mod damping;
pub mod handover;
pub mod latency;
pub mod link;
pub mod mode;
pub mod monitor;
pub mod numbering;
pub mod permission;
pub mod settings;
pub mod side;
