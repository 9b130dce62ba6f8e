//! Canonical text of service files.

use core::fmt::{self, Write};

use flamingorock_core::configuration::{Configuration, Database, Service};

use crate::value::Decimal;

/// Canonical text of a configuration: every key in a fixed order, databases sorted by name. It reads
/// back as the same configuration; its version is not part of it.
#[must_use]
pub fn services_text(configuration: &Configuration) -> String {
    let mut text = String::new();
    for service in &configuration.services {
        write_service(&mut text, service).expect("writing to a string does not fail");
    }
    let mut databases: Vec<_> = configuration.databases.iter().collect();
    databases.sort_by_key(|database| &database.name);
    for database in databases {
        let service = configuration.service_of(database);
        write_database(&mut text, database, service).expect("writing to a string does not fail");
    }
    text
}

fn write_service(out: &mut String, service: &Service) -> fmt::Result {
    let ranks: Vec<_> = service.ranks.iter().map(|rank| rank.name.as_str()).collect();
    separate(out);
    writeln!(out, "[service {}]", service.name)?;
    writeln!(out, "durability = {}", service.durability)?;
    writeln!(out, "max_staleness_ms = {}", service.max_staleness_us / 1000)?;
    writeln!(out, "ranks = {}", ranks.join(", "))?;
    if let Some(rank) = service.rank(service.default_rank) {
        writeln!(out, "default_rank = {}", rank.name)?;
    }
    writeln!(out, "queue_limit = {}", service.queue_limit)?;
    writeln!(out, "callers_limit = {}", service.callers_limit)?;
    writeln!(out, "max_request_bytes = {}", service.max_request_bytes)?;
    writeln!(out, "max_answer_bytes = {}", service.max_answer_bytes)?;
    writeln!(out, "idle_transaction_ms = {}", service.idle_transaction_us / 1000)?;
    for rank in &service.ranks {
        separate(out);
        writeln!(out, "[rank {}/{}]", service.name, rank.name)?;
        writeln!(out, "target_latency_ms = {}", rank.target_latency_us / 1000)?;
        writeln!(out, "target_percent = {}", percent_text(rank.target_fraction))?;
        writeln!(out, "floor_percent = {}", rank.floor_percent)?;
        writeln!(out, "worth = {}", rank.worth)?;
        writeln!(out, "deadline_ms = {}", rank.deadline_us / 1000)?;
    }
    Ok(())
}

fn write_database(out: &mut String, database: &Database, service: &Service) -> fmt::Result {
    separate(out);
    writeln!(out, "[database {}]", database.name)?;
    writeln!(out, "service = {}", service.name)?;
    for instance in &database.instances {
        separate(out);
        writeln!(out, "[instance {}/{}]", database.name, instance.name)?;
        writeln!(out, "address = {}", instance.address)?;
        writeln!(out, "data_centre = {}", instance.data_centre)?;
        writeln!(out, "slots = {}", instance.slots)?;
        writeln!(out, "connections = {}", instance.connections)?;
    }
    Ok(())
}

/// Writes an empty line between sections.
fn separate(out: &mut String) {
    if !out.is_empty() {
        out.push('\n');
    }
}

/// A share as percent with as many decimals as it needs.
fn percent_text(fraction: f64) -> String {
    let text = format!("{:.*}", Decimal::MAX_DECIMALS, fraction * 100.0);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}
