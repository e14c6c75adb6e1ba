//! Jobs and the state of their tasks.
//!
//! [`job`] defines job specifications and the stored job records. [`job_table`] holds the jobs and
//! their attempts as the leader knows them. Each of the other modules covers one aspect of the
//! table.

pub mod attempt;
pub mod chunk;
mod gang;
pub mod job;
pub mod job_entry;
pub mod job_table;
mod loading;
mod rechunk;
pub mod reconcile;
