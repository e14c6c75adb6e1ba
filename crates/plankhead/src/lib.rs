//! A controller node of the plankhead cluster scheduler.
//!
//! `plankhead-core` makes the decisions; this crate provides the sockets, files and timers around
//! it. The library is used by the program, its tests and `plankhead-standins`. Its interface is not
//! stable.
//!
//! The modules, from the lowest layer to the highest:
//!
//! - [`http`]: the HTTP client and server;
//! - [`wire`], [`peer_messages`]: the messages of the published protocol and between controllers;
//! - [`clients`]: clients of the state service, the cloud, workers and peers;
//! - [`node_handle`], [`server`]: the queue of requests to the node, and the ports that fill it;
//! - [`settings`], [`log`]: the settings files and the log;
//! - [`runtime`]: the event loop, which steps the core;
//! - [`subcommands`], [`cli`]: the subcommands and the command line.

pub mod cli;
pub mod clients;
pub mod http;
pub mod log;
pub mod node_handle;
pub mod peer_messages;
pub mod runtime;
pub mod server;
pub mod settings;
pub mod subcommands;
#[cfg(test)]
mod tests;
pub mod wire;
