//! Terms, roles and replication of database instances.

mod support;

use flamingorock_standin::{Database, DatabaseConfig};
use support::{
    connect, follow, rows, set_fault, sqlstate, start_primary, start_replica, status, wait_for,
};

const LONG_SILENCE_MS: i64 = 300;

fn heard_ms(control: &mut postgres::Client) -> i64 {
    rows(control, "SELECT primary_heard_ms FROM flamingorock_status()")[0].parse().unwrap()
}

/// Guards against commits that do not reach the replicas, and against writes at a replica.
#[test]
fn replicas_apply_the_log_and_refuse_writes() {
    let (primary, mut control) = start_primary(&DatabaseConfig::default());
    let (replica, mut replica_control) = start_replica(&primary, 1);
    rows(&mut control, "CREATE TABLE lot (id int8 PRIMARY KEY); INSERT INTO lot VALUES (1), (2)");
    rows(&mut control, "DELETE FROM lot WHERE id = 1");
    assert_eq!(status(&mut control), "1|1|3|primary");
    wait_for("replica has the log", || status(&mut replica_control) == "1|1|3|replica");
    let mut client = connect(replica.address());
    assert_eq!(rows(&mut client, "SELECT * FROM lot"), ["2"]);
    assert_eq!(sqlstate(&mut client, "INSERT INTO lot VALUES (3)"), "25006");
    assert_eq!(heard_ms(&mut control), -1);
    assert!(heard_ms(&mut replica_control) >= 0);
}

/// Guards against an instance that accepts a term that is lower than one it has accepted, and against
/// a superseded primary that still commits an open transaction.
#[test]
fn lower_terms_are_refused() {
    let (primary, mut control) = start_primary(&DatabaseConfig::default());
    rows(&mut control, "CREATE TABLE lot (id int8 PRIMARY KEY)");
    let mut client = connect(primary.address());
    rows(&mut client, "BEGIN; INSERT INTO lot VALUES (1)");
    let call = "SELECT accepted_term, role, ok FROM flamingorock_accept_term($1)";
    let row = control.query_one(call, &[&5_i64]).unwrap();
    let values: (&str, &str, &str) = (row.get(0), row.get(1), row.get(2));
    assert_eq!(values, ("5", "replica", "t"));
    assert_eq!(sqlstate(&mut client, "COMMIT"), "25006");
    for call in ["accept_term(4)", "promote(4)", "follow(4, '127.0.0.1:9')"] {
        let call = format!("SELECT accepted_term, lsn, role, ok FROM flamingorock_{call}");
        assert_eq!(rows(&mut control, &call), ["5|2|replica|f"]);
    }
    rows(&mut control, "SELECT * FROM flamingorock_promote(5)");
    assert_eq!(status(&mut control), "5|5|3|primary");
    assert_eq!(rows(&mut control, "SELECT count(*) FROM lot"), ["0"]);
}

/// Guards against log entries of a superseded primary at an instance that accepted a higher term.
#[test]
fn replica_refuses_the_log_of_a_lower_term() {
    let (primary, mut control) = start_primary(&DatabaseConfig::default());
    let (_replica, mut replica_control) = start_replica(&primary, 1);
    rows(&mut control, "CREATE TABLE lot (id int8 PRIMARY KEY)");
    wait_for("replica has the table", || status(&mut replica_control) == "1|1|2|replica");
    rows(&mut replica_control, "SELECT * FROM flamingorock_accept_term(2)");
    rows(&mut control, "INSERT INTO lot VALUES (1)");
    wait_for("primary is not heard", || heard_ms(&mut replica_control) > LONG_SILENCE_MS);
    assert_eq!(status(&mut replica_control), "2|1|2|replica");
    // The same primary is accepted again with the new term.
    rows(&mut control, "SELECT * FROM flamingorock_promote(2)");
    wait_for("replica has caught up", || status(&mut replica_control) == "2|2|4|replica");
}

/// Guards against a superseded primary that keeps entries which the new primary never had.
#[test]
fn divergent_log_is_truncated_after_promotion() {
    let (old, mut old_control) = start_primary(&DatabaseConfig::default());
    let (new, mut new_control) = start_replica(&old, 1);
    rows(&mut old_control, "CREATE TABLE lot (id int8 PRIMARY KEY); INSERT INTO lot VALUES (1)");
    wait_for("replica has the log", || status(&mut new_control) == "1|1|2|replica");
    set_fault(&mut old_control, "cut_group", 1);
    rows(&mut old_control, "INSERT INTO lot VALUES (2)");
    rows(&mut old_control, "DELETE FROM lot WHERE id = 1");
    assert_eq!(status(&mut old_control), "1|1|4|primary");

    rows(&mut new_control, "SELECT * FROM flamingorock_promote(2)");
    rows(&mut new_control, "INSERT INTO lot VALUES (3)");
    set_fault(&mut old_control, "cut_group", 0);
    follow(&mut old_control, 2, &new);
    wait_for("old primary follows", || status(&mut old_control) == "2|2|4|replica");
    assert_eq!(rows(&mut old_control, "SELECT * FROM lot"), ["1", "3"]);
}

/// Guards against replication traffic through a cut, in either direction, and against a stream that
/// does not go on afterwards.
#[test]
fn cut_group_stops_replication_until_it_heals() {
    let (primary, mut control) = start_primary(&DatabaseConfig::default());
    let (_replica, mut replica_control) = start_replica(&primary, 1);
    rows(&mut control, "CREATE TABLE lot (id int8)");
    wait_for("replica has the table", || status(&mut replica_control) == "1|1|2|replica");
    for cut_replica in [false, true] {
        let before = status(&mut replica_control);
        let cut = if cut_replica { &mut replica_control } else { &mut control };
        set_fault(cut, "cut_group", 1);
        rows(&mut control, "INSERT INTO lot VALUES (1)");
        wait_for("primary is not heard", || heard_ms(&mut replica_control) > LONG_SILENCE_MS);
        assert_eq!(status(&mut replica_control), before);
        let cut = if cut_replica { &mut replica_control } else { &mut control };
        set_fault(cut, "cut_group", 0);
        let caught_up = status(&mut control).replace("primary", "replica");
        wait_for("replica has caught up", || status(&mut replica_control) == caught_up);
    }
}

/// Guards against a position that counts entries which reads do not see yet, and against keepalives
/// that are delayed together with the data.
#[test]
fn lag_delays_entries_but_not_keepalives() {
    let (primary, mut control) = start_primary(&DatabaseConfig::default());
    let (_replica, mut replica_control) = start_replica(&primary, 1);
    wait_for("replica follows", || status(&mut replica_control) == "1|1|1|replica");
    set_fault(&mut replica_control, "lag_ms", 3_600_000);
    rows(&mut control, "CREATE TABLE lot (id int8)");
    wait_for("silence", || heard_ms(&mut replica_control) > 50);
    wait_for("keepalive", || heard_ms(&mut replica_control) < 50);
    assert_eq!(status(&mut replica_control), "1|1|1|replica");
    assert_eq!(sqlstate(&mut replica_control, "SELECT * FROM lot"), "42P01");
    set_fault(&mut replica_control, "lag_ms", 0);
    wait_for("entry is applied", || status(&mut replica_control) == "1|1|2|replica");
}

/// Guards against a new primary with entries that it never reported: they can miss on a majority.
#[test]
fn promotion_drops_entries_that_are_not_applied() {
    let (primary, mut control) = start_primary(&DatabaseConfig::default());
    let (_replica, mut replica_control) = start_replica(&primary, 1);
    wait_for("replica follows", || status(&mut replica_control) == "1|1|1|replica");
    set_fault(&mut replica_control, "lag_ms", 3_600_000);
    rows(&mut control, "CREATE TABLE lot (id int8)");
    wait_for("silence", || heard_ms(&mut replica_control) > 50);
    wait_for("entry or keepalive after it", || heard_ms(&mut replica_control) < 50);
    rows(&mut replica_control, "SELECT * FROM flamingorock_promote(2)");
    set_fault(&mut replica_control, "lag_ms", 0);
    assert_eq!(status(&mut replica_control), "2|2|2|primary");
    assert_eq!(sqlstate(&mut replica_control, "SELECT * FROM lot"), "42P01");
}

/// Guards against an accepted term or a committed transaction that is lost with a crash.
#[test]
fn resumed_instance_keeps_term_and_log() {
    let (primary, mut control) = start_primary(&DatabaseConfig::default());
    rows(&mut control, "CREATE TABLE lot (id int8); INSERT INTO lot VALUES (1)");
    rows(&mut control, "SELECT * FROM flamingorock_accept_term(4)");
    let address = primary.address();
    let storage = primary.stop();
    let resumed = Database::resume(address, &DatabaseConfig::default(), storage).unwrap();
    let mut control = connect(resumed.control_address());
    assert_eq!(status(&mut control), "4|1|2|replica");
    assert_eq!(rows(&mut control, "SELECT * FROM lot"), ["1"]);
}
