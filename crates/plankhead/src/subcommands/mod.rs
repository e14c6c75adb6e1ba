//! The subcommands, each with what it reads and what it prints.

pub mod intents;
pub mod node_views;
pub mod reachability;
pub mod shards;
