#![allow(clippy::unwrap_used)]

mod driver;
mod messages;
mod service;
mod settings;
mod standins;
