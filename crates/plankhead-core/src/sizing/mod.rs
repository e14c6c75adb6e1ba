//! Sizing: how many machines the fleet should have, by online simulation.

pub mod cpu_budget;
pub mod fleet_size_search;
pub mod replay;
