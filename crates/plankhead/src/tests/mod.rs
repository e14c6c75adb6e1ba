#![allow(clippy::unwrap_used)]

mod driver;
mod duties;
mod messages;
mod reachability;
mod service;
mod settings;
mod shards;
mod standins;
