//! Parsing and canonical text of the settings of one proxy process.

mod admin;
mod admin_key;
mod drain;
mod host;
mod host_list;
mod listen;
mod log;
mod log_format;
mod log_level;
mod peers;
mod store;
mod traffic;

use core::fmt;
use core::net::SocketAddr;
use std::collections::BTreeMap;
use std::path::Path;

use flamingorock_core::HostId;

pub use admin::AdminSettings;
pub use admin_key::AdminKey;
pub use drain::DrainSettings;
pub use host::HostSettings;
pub use host_list::HostListSettings;
pub use listen::ListenSettings;
pub use log::LogSettings;
pub use log_format::LogFormat;
pub use log_level::LogLevel;
pub use store::StoreSettings;
pub use traffic::TrafficSettings;

use crate::document::Document;
use crate::section_reader::SectionReader;
use crate::{ConfigError, ConfigErrors};

/// Allowed section names, in the order of the canonical text.
const SECTIONS: [&str; 9] =
    ["host", "listen", "peers", "store", "host_list", "traffic", "admin", "log", "drain"];

/// Settings of one proxy process. `Display` prints the canonical text, which parses to the same
/// settings and contains the admin key in clear text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Identity of the host that the process runs on.
    pub host: HostSettings,
    /// Addresses that the process listens on.
    pub listen: ListenSettings,
    /// Address of every other proxy by the number of its host; empty in a fleet of one host.
    pub peers: BTreeMap<HostId, SocketAddr>,
    /// Connection to the platform's key-value service.
    pub store: StoreSettings,
    /// Connection to the platform's host list service.
    pub host_list: HostListSettings,
    /// Number of traffic threads and limit of callers.
    pub traffic: TrafficSettings,
    /// Authentication of the admin port.
    pub admin: AdminSettings,
    /// Format and level of log lines.
    pub log: LogSettings,
    /// Graceful shutdown.
    pub drain: DrainSettings,
}

impl Settings {
    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors found in the file, or a single error if the file cannot be read.
    pub fn load(path: &Path) -> Result<Self, ConfigErrors> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&text, &file),
            Err(error) => {
                let found = format!("a file that cannot be read ({error})");
                let allowed = "a readable INI file in UTF-8";
                Err(ConfigErrors(vec![ConfigError::in_file(&file, 0, &found, allowed)]))
            }
        }
    }

    /// Parses and validates the text of a settings file. `file` is the file name used in errors.
    ///
    /// # Errors
    ///
    /// Returns all errors found in the text.
    pub fn parse(text: &str, file: &str) -> Result<Self, ConfigErrors> {
        let mut errors = Vec::new();
        let settings = Document::parse(text, file, &mut errors)
            .and_then(|document| Self::from_document(&document, &mut errors));
        ConfigErrors::ok_or_sorted(errors, settings)
    }

    fn from_document(document: &Document, errors: &mut Vec<ConfigError>) -> Option<Self> {
        for section in &document.sections {
            if !SECTIONS.contains(&section.name.as_str()) {
                let allowed = SECTIONS.join(", ");
                let found = "an unknown section";
                errors.push(ConfigError::in_section(&document.file, section, found, &allowed));
            }
        }
        let host = read(document, "host", errors, HostSettings::read);
        let listen = read(document, "listen", errors, ListenSettings::read);
        let peers = peers::read(document, host.as_ref(), listen.as_ref(), errors);
        let store = read(document, "store", errors, StoreSettings::read);
        let host_list = read(document, "host_list", errors, HostListSettings::read);
        let traffic = read(document, "traffic", errors, TrafficSettings::read);
        let admin = read(document, "admin", errors, AdminSettings::read);
        let log = read(document, "log", errors, LogSettings::read);
        let drain = read(document, "drain", errors, DrainSettings::read);
        Some(Self {
            host: host?,
            listen: listen?,
            peers,
            store: store?,
            host_list: host_list?,
            traffic: traffic?,
            admin: admin?,
            log: log?,
            drain: drain?,
        })
    }
}

/// Parses a section with `read` and reports its unknown keys.
fn read<T>(
    document: &Document,
    name: &'static str,
    errors: &mut Vec<ConfigError>,
    read: impl FnOnce(&mut SectionReader<'_>) -> Option<T>,
) -> Option<T> {
    let mut reader = SectionReader::new(&document.file, name, document.section(name), errors);
    let value = read(&mut reader);
    reader.finish();
    value
}

impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { host, listen, peers, store, host_list, traffic, admin, log, drain } = self;
        writeln!(f, "[host]\nid = {}\nname = {}", host.id, host.name)?;
        writeln!(f, "data_centre = {}", host.data_centre)?;
        writeln!(f, "\n[listen]\ncallers = {}\npeers = {}", listen.callers, listen.peers)?;
        writeln!(f, "admin = {}", listen.admin)?;
        writeln!(f, "\n[peers]")?;
        for (id, address) in peers {
            writeln!(f, "{id} = {address}")?;
        }
        writeln!(f, "\n[store]\nurl = {}\nprefix = {}", store.url, store.prefix)?;
        writeln!(f, "\n[host_list]\nurl = {}", host_list.url)?;
        writeln!(f, "\n[traffic]\nthreads = {}", traffic.threads)?;
        writeln!(f, "callers_limit = {}", traffic.callers_limit)?;
        writeln!(f, "\n[admin]\nkey = {}", admin.key.reveal())?;
        writeln!(f, "\n[log]\nformat = {}\nlevel = {}", log.format, log.level)?;
        writeln!(f, "\n[drain]\ndeadline_ms = {}", drain.deadline_ms)
    }
}
