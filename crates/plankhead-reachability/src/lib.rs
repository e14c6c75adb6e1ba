//! What a node can reach, and what it may do in consequence: decisions without input or output.
//!
//! A node's reachability has two sides: the state service, and the workers. [`link`] judges each
//! connection by what was confirmed over it, [`side`] combines links with hysteresis and flap
//! damping ([`damping`]), [`mode`] names the four combinations of both sides, and [`permission`]
//! is the one table of what is allowed in which mode. [`monitor`] brings these together.
//!
//! [`coverage`] exchanges with the other nodes which machines each of them hears, over a
//! [`numbering`] agreed on through the state service, and [`handover`] decides from it which node
//! should lead.

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
