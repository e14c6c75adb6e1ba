//! An HTTP/1.1 client and server with limits on every time and size.

mod client;
mod server;

pub use client::Client;
pub use server::{read_body, serve, serve_per_connection, Reply, IDLE_TIMEOUT, MAX_REQUEST};
