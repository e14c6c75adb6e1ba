//! The log on standard error. The environment variable `LOG_LEVEL` sets its level: `error`, `info`
//! (the default) or `debug`.

use plankhead_core::protocol::LogLevel;
use tracing::level_filters::LevelFilter;

/// Initializes logging.
///
/// # Panics
///
/// Panics if it is called twice in a process.
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

/// Writes a log line of the core.
pub fn emit(level: LogLevel, text: &str) {
    match level {
        LogLevel::Error => tracing::error!("{text}"),
        LogLevel::Info => tracing::info!("{text}"),
        LogLevel::Debug => tracing::debug!("{text}"),
    }
}
