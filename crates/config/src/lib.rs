//! Process settings and service files of flamingorock.
//!
//! Both are INI files. [`Settings`] holds the settings of one process; [`parse_services`] turns a
//! service file into the [`Configuration`](flamingorock_core::configuration::Configuration) of the
//! whole fleet. Every error of a file is found in one pass and names file, line, section, key, what
//! was found and what is allowed. Both have a canonical text form, for display and for comparing.

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
