//! Jobs: what users ask for, and what became of each task.

pub mod job;
pub mod job_table;
