//! Logs on standard error, at the level that `LOG_LEVEL` sets: `error`, `info` or `debug`.

use plankhead_core::protocol::LogLevel;
use tracing::level_filters::LevelFilter;

/// Sets logging up. It may be called once in a process.
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

/// Logs a line of the core.
pub fn emit(level: LogLevel, text: &str) {
    match level {
        LogLevel::Error => tracing::error!("{text}"),
        LogLevel::Info => tracing::info!("{text}"),
        LogLevel::Debug => tracing::debug!("{text}"),
    }
}
