//! plankhead: a controller node of a cluster scheduler.
//!
//! The decisions are made in `plankhead-core`; here are the sockets, files and
//! timers round it.

mod agent;
mod api;
mod cli;
mod cloud;
mod config;
mod driver;
mod http;
mod log;
mod peer;
mod state;
#[cfg(test)]
mod tests;
mod wire;

fn main() -> std::process::ExitCode {
    cli::main()
}
