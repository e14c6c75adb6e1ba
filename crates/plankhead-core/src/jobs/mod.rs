//! Jobs: what users ask for, and what became of each task.
//!
//! [`job`] holds what is submitted and stored, [`job_table`] every job with its attempts as the
//! leader knows it. The other modules each hold one concern of the table.

pub mod attempt;
pub mod chunk;
mod gang;
pub mod job;
pub mod job_entry;
pub mod job_table;
mod loading;
mod rechunk;
pub mod reconcile;
