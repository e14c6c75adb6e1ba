//! HTTP/1.1 both ways, with every time and size bounded.

mod client;
mod server;

pub use client::Client;
pub use server::{body, serve, serve_each, Reply, IDLE_TIMEOUT, MAX_REQUEST};
