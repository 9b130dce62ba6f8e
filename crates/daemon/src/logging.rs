//! Log lines.

use flamingorock_config::{LogFormat, LogLevel, LogSettings};
use tracing::Level;

/// Sends log lines of the process to its standard error output. Does nothing if that has been done
/// before.
pub fn start(settings: &LogSettings) {
    let builder = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(level(settings.level));
    // The only error is that another subscriber is in place, as in tests.
    let _ = match settings.format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}

fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::ERROR,
        LogLevel::Warn => Level::WARN,
        LogLevel::Info => Level::INFO,
        LogLevel::Debug => Level::DEBUG,
        LogLevel::Trace => Level::TRACE,
    }
}
