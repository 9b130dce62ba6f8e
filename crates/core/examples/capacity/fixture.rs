//! Configurations and views for the measurements.

use std::sync::Arc;

use flamingorock_core::configuration::{
    Configuration, Database, Durability, Instance, Rank, Service,
};
use flamingorock_core::{DatabaseId, HostId, OwnerRoute, RankIndex, ServedDatabase, Term, View};

/// Returns the name of a database.
fn name(index: usize) -> String {
    format!("ledger-{index}")
}

fn service() -> Service {
    let rank = |name: &str| Rank {
        name: name.to_owned(),
        target_latency_us: 250_000,
        target_fraction: 0.99,
        floor_percent: 20,
        worth: 1,
        deadline_us: 5_000_000,
    };
    Service {
        name: "ledger-commun".to_owned(),
        durability: Durability::Replica,
        max_staleness_us: 2_000_000,
        ranks: vec![rank("urgent"), rank("normal"), rank("background")],
        default_rank: RankIndex(1),
        queue_limit: 100_000,
        callers_limit: 1_000_000,
        max_request_bytes: 1_048_576,
        max_answer_bytes: 16_777_216,
        idle_transaction_us: 30_000_000,
    }
}

fn database(number: usize, slots: u16) -> Database {
    let instance = |index: u16| Instance {
        name: ["a", "b", "c"][usize::from(index)].to_owned(),
        address: ([10, (number >> 8) as u8, number as u8, index as u8], 5_432).into(),
        data_centre: "port-louis".to_owned(),
        slots,
        connections: slots + 14,
    };
    let name = name(number);
    Database {
        id: DatabaseId::from_name(&name),
        name,
        service_index: 0,
        instances: (0..3).map(instance).collect(),
    }
}

/// Returns a configuration with one service and databases of three instances each.
pub fn configuration(version: u64, databases: usize, slots: u16) -> Configuration {
    let mut databases: Vec<Database> = (0..databases).map(|n| database(n, slots)).collect();
    databases.sort_by_key(|database| database.id);
    Configuration { version, services: vec![service()], databases }
}

/// Returns a view in which `owner` owns all databases and the receiver serves the first `served` of them.
pub fn view(configuration: Configuration, owner: HostId, served: usize) -> View {
    let ids: Vec<DatabaseId> = configuration.databases.iter().map(|entry| entry.id).collect();
    let owners = ids.iter().map(|&database| OwnerRoute { database, owner, epoch: 1 });
    let term = Term::first_of_epoch(1);
    let entry = |&database: &DatabaseId| ServedDatabase {
        database,
        term,
        primary_index: Some(0),
        admits: true,
    };
    View {
        sequence: 1,
        owners: owners.collect(),
        served: ids.iter().take(served).map(entry).collect(),
        configuration: Arc::new(configuration),
        leaving: Vec::new(),
        draining: false,
    }
}
