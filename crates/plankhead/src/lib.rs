//! plankhead: a controller node of a cluster scheduler.
//!
//! The decisions are made in `plankhead-core`; here are the sockets, files and timers around
//! it. The library exists for the program, its tests and the stand-ins of
//! `plankhead-standins`; it is no stable interface.
//!
//! From the bottom up: [`http`], the messages ([`wire`], [`peer_messages`]), the [`clients`],
//! the [`node_handle`], the [`server`], the [`settings`], the [`runtime`] with the event loop,
//! the [`subcommands`], and the command line ([`cli`]).

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
