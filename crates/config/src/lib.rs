//! Parsing and validation of the process settings and service files of flamingorock.
//!
//! Both are INI files. [`Settings`] holds the settings of one process; [`parse_services`] turns a
//! service file into the [`Configuration`](flamingorock_core::configuration::Configuration) of the
//! whole fleet. Parsing reports all errors of a file at once, each with its file, line, section and
//! key, the invalid input and the allowed input. Both kinds of file have a canonical text form for
//! display and comparison.

mod config_error;
mod config_errors;
mod document;
mod entry;
mod line;
mod section;
mod section_reader;
mod services;
mod settings;
mod value;

pub use config_error::ConfigError;
pub use config_errors::ConfigErrors;
pub use services::{CanonicalSection, parse_services, services_sections, services_text};
pub use settings::{
    AdminKey, AdminSettings, DrainSettings, HostListSettings, HostSettings, ListenSettings,
    LogFormat, LogLevel, LogSettings, Settings, StoreSettings, TrafficSettings,
};
pub use value::ServiceUrl;
