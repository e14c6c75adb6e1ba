//! Placement: which pending task starts on which machine.
//!
//! [`fair_share`] says whose turn it is, [`backfill`] what starts where in a pass.

pub mod backfill;
mod choose;
pub mod fair_share;
mod gang;
pub mod index;
mod reservation;
pub mod slot;
