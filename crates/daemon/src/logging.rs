//! Setup of logging.

use flamingorock_config::{LogFormat, LogLevel, LogSettings};
use tracing::Level;

/// Installs the subscriber that writes log lines to standard error. Does nothing if a subscriber is
/// already installed.
pub fn start(settings: &LogSettings) {
    let builder = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(level(settings.level));
    // The only possible error is that a subscriber is already installed, as in tests.
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
