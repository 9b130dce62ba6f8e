//! Limits and faults of the database instance.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use flamingorock_standin::DatabaseConfig;
use support::{connect, rows, set_fault, start_primary, try_connect, wait_for};

/// Guards against more connections than configured, and against a count that does not go down.
#[test]
fn connections_are_limited() {
    let config = DatabaseConfig { connections: 2, ..DatabaseConfig::default() };
    let (primary, _control) = start_primary(&config);
    let mut first = connect(primary.address());
    let second = connect(primary.address());
    let refused = try_connect(primary.address()).map(drop).unwrap_err();
    assert_eq!(refused.code().unwrap().code(), "53300");
    drop(second);
    wait_for("connection is free", || try_connect(primary.address()).is_ok());
    assert_eq!(rows(&mut first, "SELECT 1"), ["1"]);
}

/// Guards against more statements at a time than slots, and against status calls or control
/// connections that wait for a slot.
#[test]
fn slots_limit_statements_but_not_status_calls() {
    let config = DatabaseConfig { slots: 1, service_time_us: 50_000, ..DatabaseConfig::default() };
    let (primary, mut control) = start_primary(&config);
    let address = primary.address();
    let select = move || connect(address).simple_query("SELECT 1").is_ok();
    let started_at = Instant::now();
    let selects: Vec<_> = (0..4).map(|_| thread::spawn(select)).collect();
    assert!(selects.into_iter().all(|select| select.join().unwrap()));
    assert!(started_at.elapsed() >= Duration::from_millis(4 * 50));

    set_fault(&mut control, "service_time_us", 86_400_000_000);
    let selects: Vec<_> = (0..2).map(|_| thread::spawn(select)).collect();
    thread::sleep(Duration::from_millis(100));
    let status =
        thread::spawn(move || rows(&mut connect(address), "SELECT ok FROM flamingorock_status()"));
    wait_for("status is answered", || status.is_finished());
    assert_eq!(status.join().unwrap(), ["t"]);
    assert_eq!(rows(&mut control, "SELECT 1"), ["1"]);
    assert!(selects.iter().all(|select| !select.is_finished()));
    drop(primary);
    assert!(selects.into_iter().all(|select| !select.join().unwrap()));
}

/// Guards against a lost answer whose commit is lost as well.
#[test]
fn drop_answer_keeps_the_commit() {
    let (primary, mut control) = start_primary(&DatabaseConfig::default());
    rows(&mut control, "CREATE TABLE lot (id int8 PRIMARY KEY)");
    for (id, sql) in [(1, "INSERT INTO lot VALUES (1)"), (2, "INSERT INTO lot VALUES (2); COMMIT")]
    {
        let mut client = connect(primary.address());
        rows(&mut client, if id == 1 { "SELECT 1" } else { "BEGIN" });
        set_fault(&mut control, "drop_answer", 1);
        assert!(client.simple_query(sql).unwrap_err().is_closed());
        assert_eq!(rows(&mut control, &format!("SELECT id FROM lot WHERE id = {id}")).len(), 1);
    }
    let mut client = connect(primary.address());
    assert_eq!(client.execute("INSERT INTO lot VALUES ($1)", &[&3_i64]).unwrap(), 1);
}

/// Guards against an answer that passes a cut, and against a statement that is lost in it although its
/// connection stays open.
#[test]
fn cut_proxies_freezes_data_connections() {
    let (primary, mut control) = start_primary(&DatabaseConfig::default());
    rows(&mut control, "CREATE TABLE lot (id int8 PRIMARY KEY)");
    let mut client = connect(primary.address());
    set_fault(&mut control, "cut_proxies", 1);
    let write = thread::spawn(move || rows(&mut client, "INSERT INTO lot VALUES (1) RETURNING id"));
    let address = primary.address();
    let opened = thread::spawn(move || rows(&mut connect(address), "SELECT 2"));
    thread::sleep(Duration::from_millis(100));
    assert!(!write.is_finished() && !opened.is_finished());
    assert_eq!(rows(&mut control, "SELECT count(*) FROM lot"), ["0"]);
    set_fault(&mut control, "cut_proxies", 0);
    assert_eq!(write.join().unwrap(), ["1"]);
    assert_eq!(opened.join().unwrap(), ["2"]);
}

/// Guards against a fault switch that is accepted without an effect.
#[test]
fn connections_are_refused_and_unknown_faults_rejected() {
    let (primary, mut control) = start_primary(&DatabaseConfig::default());
    set_fault(&mut control, "refuse_connections", 1);
    assert!(try_connect(primary.address()).is_err());
    set_fault(&mut control, "refuse_connections", 0);
    connect(primary.address());
    assert!(control.simple_query("SELECT standin_fault('no_such_fault', 1)").is_err());
}

/// Guards against time switches without an effect, and against one that delays the control port.
#[test]
fn statements_and_connections_take_their_time() {
    let (primary, mut control) = start_primary(&DatabaseConfig::default());
    set_fault(&mut control, "connect_time_us", 60_000);
    let started_at = Instant::now();
    let mut client = connect(primary.address());
    assert!(started_at.elapsed() >= Duration::from_millis(60));
    set_fault(&mut control, "service_time_us", 70_000);
    let started_at = Instant::now();
    assert_eq!(rows(&mut client, "SELECT 1; SELECT 2"), ["1", "2"]);
    assert!(started_at.elapsed() >= Duration::from_millis(140));
    let out_of_range = "SELECT standin_fault('service_time_us', 9223372036854775807)";
    assert!(control.simple_query(out_of_range).is_err());
    assert_eq!(rows(&mut control, "SELECT 1"), ["1"]);
}

/// Guards against a random byte stream that harms other connections.
#[test]
fn malformed_bytes_cost_their_connection_only() {
    let (primary, mut control) = start_primary(&DatabaseConfig::default());
    let mut client = connect(primary.address());
    let mut seed = 0x2545_f491_4f6c_dd1d_u64;
    for round in 0..60 {
        let mut stream = TcpStream::connect(primary.address()).unwrap();
        let startup = b"\0\0\0\x10\0\x03\0\0user\0a\0\0";
        let replication = b"\0\0\0\x08\x04\xd2\x17\x40\0\0\0\x20";
        let prefix: &[u8] = match round % 3 {
            0 => b"",
            1 => startup,
            _ => replication,
        };
        let mut bytes = prefix.to_vec();
        for _ in 0..200 {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let byte = (seed >> 33) as u8;
            // Message types and short lengths lead deeper into the decoders.
            bytes.extend_from_slice(&[b"QPBDECSHX"[usize::from(byte) % 9], 0, 0, 0, byte % 40]);
            bytes.extend(std::iter::repeat_n(byte, usize::from(byte % 40)));
        }
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let _ = stream.read_to_end(&mut Vec::new());
    }
    assert_eq!(rows(&mut client, "SELECT 1"), ["1"]);
    assert_eq!(rows(&mut control, "SELECT ok FROM flamingorock_status()"), ["t"]);
    drop(client);
    connect(primary.address());
}
