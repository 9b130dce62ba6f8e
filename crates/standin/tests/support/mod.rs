//! Helpers shared by the tests.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

pub(crate) mod web;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use flamingorock_standin::{Database, DatabaseConfig};
use postgres::{Client, NoTls, SimpleQueryMessage};

/// Time after which a state that does not come counts as missing; far above any expected delay.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) fn start(config: &DatabaseConfig) -> Database {
    Database::start(any_port(), config).unwrap()
}

pub(crate) fn try_connect(address: SocketAddr) -> Result<Client, postgres::Error> {
    let url = format!("host={} port={} user=test dbname=test", address.ip(), address.port());
    Client::connect(&url, NoTls)
}

pub(crate) fn connect(address: SocketAddr) -> Client {
    try_connect(address).unwrap()
}

/// Result of a simple query: one line for each row, with its values joined by `|`.
pub(crate) fn rows(client: &mut Client, sql: &str) -> Vec<String> {
    let messages = client.simple_query(sql).unwrap();
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    let text = |row: &postgres::SimpleQueryRow| {
        let values = (0..row.len()).map(|index| row.get(index).unwrap_or("NULL"));
        values.collect::<Vec<_>>().join("|")
    };
    rows.map(text).collect()
}

/// SQLSTATE that a statement fails with.
pub(crate) fn sqlstate(client: &mut Client, sql: &str) -> String {
    let error = client.simple_query(sql).unwrap_err();
    error.code().unwrap_or_else(|| panic!("no SQLSTATE: {error:?}")).code().to_owned()
}

/// Polls until a state is reached.
pub(crate) fn wait_for(what: &str, mut reached: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !reached() {
        assert!(started_at.elapsed() < WAIT_LIMIT, "state not reached: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A primary of term 1 and its control connection.
pub(crate) fn start_primary(config: &DatabaseConfig) -> (Database, Client) {
    let primary = start(config);
    let mut control = connect(primary.control_address());
    rows(&mut control, "SELECT * FROM flamingorock_promote(1)");
    (primary, control)
}

/// A replica of `primary` and its control connection.
pub(crate) fn start_replica(primary: &Database, term: u64) -> (Database, Client) {
    let replica = start(&DatabaseConfig::default());
    let mut control = connect(replica.control_address());
    follow(&mut control, term, primary);
    (replica, control)
}

pub(crate) fn follow(control: &mut Client, term: u64, primary: &Database) {
    let call = format!("SELECT ok FROM flamingorock_follow({term}, '{}')", primary.address());
    assert_eq!(rows(control, &call), ["t"]);
}

/// Accepted term, term and number of the last log entry, and role.
pub(crate) fn status(control: &mut Client) -> String {
    rows(control, "SELECT accepted_term, log_term, lsn, role FROM flamingorock_status()").remove(0)
}

pub(crate) fn set_fault(control: &mut Client, name: &str, value: u64) {
    rows(control, &format!("SELECT standin_fault('{name}', {value})"));
}
