//! Parsing of `[instance DATABASE/NAME]` sections.

use core::net::SocketAddr;
use std::collections::HashMap;

use flamingorock_core::configuration::Instance;

use super::named_section::NamedSection;
use super::section_index::SectionIndex;
use crate::ConfigError;
use crate::section_reader::SectionReader;
use crate::value::{Address, Integer, Name, ValueKind};

/// Connections to an instance that are reserved for monitoring by the proxies.
const MONITOR_CONNECTIONS: u16 = 2;

/// Parses an instance.
pub(super) fn read(
    index: &SectionIndex<'_>,
    named: &NamedSection<'_>,
    errors: &mut Vec<ConfigError>,
) -> Option<Instance> {
    let mut reader =
        SectionReader::new(index.file, &named.section.name, Some(named.section), errors);
    let instance = read_keys(&mut reader, named.name);
    reader.finish();
    instance
}

fn read_keys(reader: &mut SectionReader<'_>, name: &str) -> Option<Instance> {
    let address = reader.required("address", &Address::CONNECT);
    let data_centre = reader.required("data_centre", &Name);
    let slots: Option<u16> = reader.required("slots", &Integer::new(1, 1000));
    let connections: Option<u16> = reader.required("connections", &Integer::new(3, 10_000));
    if let (Some(slots), Some(connections)) = (slots, connections)
        && connections < slots + MONITOR_CONNECTIONS
    {
        let found = format!("\"{connections}\", which is too few for {slots} slots");
        let allowed = format!("at least slots + {MONITOR_CONNECTIONS}");
        reader.error("connections", &found, &allowed);
    }
    Some(Instance {
        name: name.to_owned(),
        address: address?,
        data_centre: data_centre?,
        slots: slots?,
        connections: connections?,
    })
}

/// Reports instances whose database has no section.
pub(super) fn report_unknown_databases(index: &SectionIndex<'_>, errors: &mut Vec<ConfigError>) {
    for instance in &index.instances {
        if !index.databases.iter().any(|database| database.name == instance.parent) {
            let found =
                format!("an instance of the database {}, which does not exist", instance.parent);
            let allowed = "an instance of a database of this file";
            errors.push(ConfigError::in_section(index.file, instance.section, &found, allowed));
        }
    }
}

/// Reports instances with the same address.
pub(super) fn report_duplicate_addresses(index: &SectionIndex<'_>, errors: &mut Vec<ConfigError>) {
    let mut instance_by_address: HashMap<SocketAddr, &NamedSection<'_>> = HashMap::new();
    for instance in &index.instances {
        let entry = instance.section.entry("address");
        let Some(address) = entry.and_then(|entry| Address::CONNECT.parse(&entry.value)) else {
            continue;
        };
        if let Some(other) = instance_by_address.insert(address, instance) {
            let found = format!("\"{address}\", the address of {}/{}", other.parent, other.name);
            let allowed = "an address that no other instance has";
            errors.push(ConfigError::in_key(
                index.file,
                instance.section,
                "address",
                &found,
                allowed,
            ));
        }
    }
}
