//! Logs on standard error, at the level that `LOG_LEVEL` sets.

use plankhead_core::protocol::Level;
use tracing::level_filters::LevelFilter;

pub fn start() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => LevelFilter::ERROR,
        Ok("debug") => LevelFilter::DEBUG,
        _ => LevelFilter::INFO,
    };
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(level)
        .with_ansi(false)
        .with_target(false)
        .init();
}

pub fn emit(level: Level, text: &str) {
    match level {
        Level::Error => tracing::error!("{text}"),
        Level::Info => tracing::info!("{text}"),
        Level::Debug => tracing::debug!("{text}"),
    }
}
