//! Placement: which pending task starts on which machine.
//!
//! [`fair_share`] decides the order in which work is served, [`backfill`] runs a placement pass.

pub mod backfill;
mod choose;
pub mod fair_share;
mod gang;
pub mod index;
mod reservation;
pub mod slot;
