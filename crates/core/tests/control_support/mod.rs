//! Simulation of a fleet of `Control` state machines on virtual time, with fakes for everything
//! outside them.

mod actions;
pub(crate) mod fake_group;
pub(crate) mod fake_store;
mod simulation;

pub(crate) use simulation::Simulation;

use std::sync::Arc;

use flamingorock_core::DatabaseId;
use flamingorock_core::configuration::{Configuration, Database, Instance};

pub(crate) const MS: u64 = 1_000;
pub(crate) const SECOND: u64 = 1_000_000;
/// Target for the longest service gap, from the design page.
pub(crate) const MAX_SERVICE_GAP_US: u64 = 5 * SECOND;

pub(crate) fn database(name: &str) -> DatabaseId {
    DatabaseId::from_name(name)
}

/// Parses a test configuration: names of databases, separated by spaces. A `?` is a syntax error.
pub(crate) fn parse(version: u64, text: &str) -> Result<Arc<Configuration>, String> {
    if text.contains('?') {
        return Err("line 1: unexpected '?'".to_owned());
    }
    let mut databases: Vec<Database> = text.split_whitespace().map(database_entry).collect();
    databases.sort_by_key(|database| database.id);
    Ok(Arc::new(Configuration { version, services: Vec::new(), databases }))
}

fn database_entry(name: &str) -> Database {
    let instances = (0..3u16).map(|index| Instance {
        name: ["a", "b", "c"][usize::from(index)].to_owned(),
        address: ([127, 0, 0, 1], 7000 + index).into(),
        data_centre: "port-louis".to_owned(),
        slots: 2,
        connections: 16,
    });
    let name = name.to_owned();
    Database { id: database(&name), name, service_index: 0, instances: instances.collect() }
}

/// Starts five hosts and runs them until they serve the given databases and have written their
/// records.
pub(crate) fn running_fleet(seed: u64, databases: &str) -> Simulation {
    running_fleet_of(5, seed, databases)
}

pub(crate) fn running_fleet_of(hosts: u16, seed: u64, databases: &str) -> Simulation {
    let mut simulation = Simulation::new(hosts, seed, databases);
    simulation.run_for(4 * SECOND);
    for name in databases.split(' ') {
        assert!(simulation.serving_host(name).is_some(), "{name}:\n{}", simulation.take_log());
    }
    simulation.log.clear();
    simulation
}

/// Formats the minimum, median and maximum of the measured gaps.
pub(crate) fn summarize(mut gaps_us: Vec<u64>) -> String {
    gaps_us.sort_unstable();
    let ms = |index: usize| gaps_us[index] / MS;
    format!("{} / {} / {} ms", ms(0), ms(gaps_us.len() / 2), ms(gaps_us.len() - 1))
}
