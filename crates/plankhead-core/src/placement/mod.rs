//! Placement: which pending task starts on which machine.

pub mod backfill;
pub mod fair_share;
pub mod index;
