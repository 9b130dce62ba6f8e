//! CPU time of the control state machine and size of its heartbeats.

use std::sync::Arc;

use bytes::BytesMut;
use flamingorock_config::{parse_services, services_text};
use flamingorock_core::HostId;
use flamingorock_core::configuration::Configuration;
use flamingorock_core::control::Event;
use flamingorock_core::message::{ControlMessage, OwnershipUpdate};
use flamingorock_peer::encode_heartbeat;

use crate::fixture::configuration;
use crate::meter::{RUNS, median, repeat, timed};
use crate::node_bench::{NodeBench, TickCause};
use crate::report::{heading, line};

const TICK_CAUSES: [(TickCause, &str); 4] = [
    (TickCause::HeartbeatReceived, "heartbeat received"),
    (TickCause::HeartbeatSent, "heartbeat sent"),
    (TickCause::StatusSent, "status call sent"),
    (TickCause::StatusCompleted, "status call completed"),
];

pub fn run() {
    for hosts in [5, 50, 500] {
        for databases in [3, 78, 780] {
            heading(&format!("Control: {hosts} hosts, {databases} databases"));
            measure_host(hosts, databases);
        }
    }
    heading("Configuration documents: parsing and validation");
    for databases in [3, 30, 78, 300, 780, 3_000] {
        let text = services_text(&configuration(1, databases, 5));
        let values = repeat(|| timed(|| drop(parse_services(&text, "document", 2))));
        line(&format!("{databases} databases, {} bytes", text.len()), "us", &values);
    }
}

fn measure_host(hosts: u16, databases: usize) {
    let now = Arc::new(configuration(1, databases, 5));
    let text = services_text(&now);
    let runs: Vec<NodeBench> = (0..RUNS).map(|_| warmed_up(hosts, &now, &text)).collect();
    for (cause, name) in TICK_CAUSES {
        let samples = runs.iter().filter_map(|run| run.samples.get(&cause));
        line(name, "us", &samples.map(|values| median(values.clone())).collect::<Vec<_>>());
    }
    let owned = runs[0].served_count();
    println!("databases owned by the measured host: {owned}");
    report_heartbeat_sizes(&runs[0]);
    let mut runs = runs;
    let changes: Vec<f64> =
        runs.iter_mut().map(|run| measure_ownership_change(run, hosts)).collect();
    line("one ownership change received in a heartbeat", "us", &changes);
    let changes = runs.iter_mut().map(|run| measure_configuration_change(run, databases, &text));
    line("configuration change, without parsing", "us", &changes.collect::<Vec<_>>());
}

/// Runs a control state machine until it serves its share of the databases, at most for 150 s, and then
/// samples 6 s.
fn warmed_up(hosts: u16, configuration: &Arc<Configuration>, text: &str) -> NodeBench {
    let mut bench = NodeBench::new(hosts, Arc::clone(configuration), text);
    let share = configuration.databases.len().div_ceil(usize::from(hosts));
    for _ in 0..50 {
        bench.run_for(3_000_000);
        if bench.served_count() >= share {
            break;
        }
    }
    bench.samples.clear();
    bench.run_for(6_000_000);
    bench
}

fn report_heartbeat_sizes(bench: &NodeBench) {
    let Some(heartbeat) = bench.last_heartbeat.as_deref() else { return };
    let mut heartbeat = heartbeat.clone();
    let mut buffer = BytesMut::new();
    encode_heartbeat(&heartbeat, &mut buffer).expect("the heartbeat is encoded");
    let idle = buffer.len();
    let update = |number: u32| OwnershipUpdate {
        database: flamingorock_core::DatabaseId::from_name(&format!("ledger-{number}")),
        owner: HostId(400),
        epoch: 300,
    };
    heartbeat.updates = (0..10).map(update).collect();
    encode_heartbeat(&heartbeat, &mut buffer).expect("the heartbeat is encoded");
    let (owned, heard) = (heartbeat.owned.len(), heartbeat.heard.len());
    println!(
        "heartbeat: {idle} bytes idle, {} bytes with 10 updates ({owned} owned, {heard} heard)",
        buffer.len()
    );
}

fn measure_ownership_change(bench: &mut NodeBench, hosts: u16) -> f64 {
    let before = median(bench.samples[&TickCause::HeartbeatReceived].clone());
    let times_us = (2..=hosts.min(21)).map(|host| {
        let event = bench.heartbeat(host, 5);
        bench.tick(Some(event))
    });
    let times_us: Vec<f64> = times_us.collect();
    median(times_us) - before
}

fn measure_configuration_change(bench: &mut NodeBench, databases: usize, text: &str) -> f64 {
    let message = ControlMessage::ConfigurationDocument { version: 2, text: text.to_owned() };
    let received = bench.tick(Some(Event::MessageReceived { from: HostId(2), message }));
    let result = Ok(Arc::new(configuration(2, databases, 5)));
    received + bench.tick(Some(Event::ConfigurationParsed { version: 2, result }))
}
