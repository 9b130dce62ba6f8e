//! Canonical text of service files.

use flamingorock_core::configuration::{Configuration, Database, Instance, Rank, Service};

use super::canonical_section::CanonicalSection;
use crate::value::Decimal;

/// Formats a configuration as canonical text: every key in a fixed order, databases sorted by name.
/// Parsing the text yields the same configuration, except for the version, which is not in the
/// text.
#[must_use]
pub fn services_text(configuration: &Configuration) -> String {
    let sections = services_sections(configuration);
    sections.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// Returns the sections of the canonical text of a configuration, in the order of the text.
#[must_use]
pub fn services_sections(configuration: &Configuration) -> Vec<CanonicalSection> {
    let mut sections = Vec::new();
    for service in &configuration.services {
        sections.push(service_section(service));
        sections.extend(service.ranks.iter().map(|rank| rank_section(service, rank)));
    }
    let mut databases: Vec<_> = configuration.databases.iter().collect();
    databases.sort_by_key(|database| &database.name);
    for database in databases {
        sections.push(CanonicalSection {
            name: format!("database {}", database.name),
            keys: vec![("service", configuration.service_of(database).name.clone())],
        });
        let instances = database.instances.iter();
        sections.extend(instances.map(|instance| instance_section(database, instance)));
    }
    sections
}

fn service_section(service: &Service) -> CanonicalSection {
    let ranks: Vec<_> = service.ranks.iter().map(|rank| rank.name.as_str()).collect();
    let default_rank = service.rank(service.default_rank).map_or("", |rank| &rank.name);
    CanonicalSection {
        name: format!("service {}", service.name),
        keys: vec![
            ("durability", service.durability.to_string()),
            ("max_staleness_ms", (service.max_staleness_us / 1000).to_string()),
            ("ranks", ranks.join(", ")),
            ("default_rank", default_rank.to_owned()),
            ("queue_limit", service.queue_limit.to_string()),
            ("callers_limit", service.callers_limit.to_string()),
            ("max_request_bytes", service.max_request_bytes.to_string()),
            ("max_answer_bytes", service.max_answer_bytes.to_string()),
            ("idle_transaction_ms", (service.idle_transaction_us / 1000).to_string()),
        ],
    }
}

fn rank_section(service: &Service, rank: &Rank) -> CanonicalSection {
    CanonicalSection {
        name: format!("rank {}/{}", service.name, rank.name),
        keys: vec![
            ("target_latency_ms", (rank.target_latency_us / 1000).to_string()),
            ("target_percent", percent_text(rank.target_fraction)),
            ("floor_percent", rank.floor_percent.to_string()),
            ("worth", rank.worth.to_string()),
            ("deadline_ms", (rank.deadline_us / 1000).to_string()),
        ],
    }
}

fn instance_section(database: &Database, instance: &Instance) -> CanonicalSection {
    CanonicalSection {
        name: format!("instance {}/{}", database.name, instance.name),
        keys: vec![
            ("address", instance.address.to_string()),
            ("data_centre", instance.data_centre.clone()),
            ("slots", instance.slots.to_string()),
            ("connections", instance.connections.to_string()),
        ],
    }
}

/// Formats a fraction as a percentage without trailing zeros.
fn percent_text(fraction: f64) -> String {
    let text = format!("{:.*}", Decimal::MAX_DECIMALS, fraction * 100.0);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}
