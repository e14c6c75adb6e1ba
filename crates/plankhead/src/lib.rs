//! plankhead: a controller node of a cluster scheduler.
//!
//! The decisions are made in `plankhead-core`; here are the sockets, files and
//! timers round it. The library exists for the program, its tests and the
//! stand-ins of `plankhead-standins`; it is no stable interface.

pub mod agent;
pub mod api;
pub mod cli;
pub mod cloud;
pub mod config;
pub mod coverage;
pub mod driver;
pub mod duties;
pub mod fencing;
pub mod http;
pub mod log;
pub mod peer;
pub mod reachability;
pub mod shard_messages;
pub mod shard_table;
pub mod sharding;
pub mod state;
#[cfg(test)]
mod tests;
pub mod views;
pub mod wire;
