//! What a controller can reach, and what it may do with that: decisions without input or
//! output.
//!
//! A controller sees two sides: the state service, and the workers. [`link`] judges each
//! connection by what was confirmed over it, [`side`] puts links together with hysteresis
//! and flap damping, [`mode`] names the four cases, and [`permission`] is the one table of
//! what may be done in which. [`coverage`] exchanges with the other controllers which
//! machines each of them hears, over a [`numbering`] agreed on through the state service,
//! and [`handover`] decides from it who should lead. [`monitor`] is the way in.

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
