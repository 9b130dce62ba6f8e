//! The `[peers]` section of the settings file.

use core::net::SocketAddr;
use std::collections::BTreeMap;

use flamingorock_core::HostId;

use super::{HostSettings, ListenSettings};
use crate::ConfigError;
use crate::document::Document;
use crate::entry::Entry;
use crate::value::{Address, Integer, ValueKind};

/// Parses the addresses of all other proxies. The section may be absent: a
/// fleet may have one host.
pub(super) fn read(
    document: &Document,
    host: Option<&HostSettings>,
    listen: Option<&ListenSettings>,
    errors: &mut Vec<ConfigError>,
) -> BTreeMap<HostId, SocketAddr> {
    let mut peers = BTreeMap::new();
    let entries = document.section("peers").map_or(&[][..], |section| &section.entries[..]);
    for entry in entries {
        match read_peer(entry, &peers, host, listen) {
            Ok((id, address)) => {
                peers.insert(id, address);
            }
            Err((found, allowed)) => errors.push(ConfigError {
                file: document.file.clone(),
                line: entry.line,
                section: Some("peers".to_owned()),
                key: Some(entry.key.clone()),
                found,
                allowed,
            }),
        }
    }
    peers
}

/// Parses one peer. An error holds the texts for [`ConfigError::found`] and
/// [`ConfigError::allowed`].
fn read_peer(
    entry: &Entry,
    others: &BTreeMap<HostId, SocketAddr>,
    host: Option<&HostSettings>,
    listen: Option<&ListenSettings>,
) -> Result<(HostId, SocketAddr), (String, String)> {
    let id_kind = Integer::new(1, 65_535);
    let id = HostId(
        id_kind
            .parse(&entry.key)
            .ok_or_else(|| (format!("the host number \"{}\"", entry.key), id_kind.allowed()))?,
    );
    let address = Address::CONNECT
        .parse(&entry.value)
        .ok_or_else(|| (Address::CONNECT.found(&entry.value), Address::CONNECT.allowed()))?;
    let other_hosts = || "the numbers of other hosts, each once".to_owned();
    if host.is_some_and(|host| host.id == id) {
        return Err(("the number of this host".to_owned(), other_hosts()));
    }
    if others.contains_key(&id) {
        return Err((format!("a second address of host {id}"), other_hosts()));
    }
    let unique = || "an address that no other host has".to_owned();
    if listen.is_some_and(|listen| listen.peers == address) {
        return Err((format!("\"{address}\", the address of this host"), unique()));
    }
    match others.iter().find(|(_, other)| **other == address) {
        Some((other, _)) => Err((format!("\"{address}\", the address of host {other}"), unique())),
        None => Ok((id, address)),
    }
}
