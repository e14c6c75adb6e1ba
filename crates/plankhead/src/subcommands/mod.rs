//! The subcommands. Each module collects the data of one subcommand and formats it; [`node_views`] fetches
//! the views of the controllers.

pub mod intents;
pub mod node_views;
pub mod reachability;
pub mod shards;
