//! Sizing: determines by online simulation how many machines the fleet should have.

pub mod cpu_budget;
pub mod fleet_size_search;
pub mod replay;
