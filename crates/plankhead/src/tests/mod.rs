#![allow(clippy::unwrap_used)]

mod messages;
mod service;
mod settings;
mod standins;
