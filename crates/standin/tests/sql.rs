//! SQL subset and query protocols of the database instance.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use flamingorock_standin::{Database, DatabaseConfig};
use postgres::Client;
use support::{connect, rows, sqlstate, start_primary, wait_for};

fn primary_with_table() -> (Database, Client) {
    let (primary, _control) = start_primary(&DatabaseConfig::default());
    let mut client = connect(primary.address());
    rows(&mut client, "CREATE TABLE account (id int8 PRIMARY KEY, owner text, n int4, open bool)");
    (primary, client)
}

/// Guards against values that are lost or change in the binary format, and against types that the
/// client library would have to look up in a catalog.
#[test]
fn extended_query_carries_all_types() {
    let (_primary, mut client) = primary_with_table();
    let insert = "INSERT INTO account VALUES ($1, $2, $3, $4) RETURNING id";
    let inserted = client.query_one(insert, &[&7_i64, &"Ayşe", &-3_i32, &true]).unwrap();
    assert_eq!(inserted.get::<_, i64>(0), 7);
    client.execute(insert, &[&8_i64, &None::<&str>, &None::<i32>, &false]).unwrap();

    let row = client.query_one("SELECT * FROM account WHERE id = $1", &[&7_i64]).unwrap();
    let values: (i64, &str, i32, bool) = (row.get(0), row.get(1), row.get(2), row.get(3));
    assert_eq!(values, (7, "Ayşe", -3, true));
    let row = client.query_one("SELECT owner, n FROM account WHERE id = $1", &[&8_i64]).unwrap();
    assert_eq!((row.get::<_, Option<&str>>(0), row.get::<_, Option<i32>>(1)), (None, None));
    let row = client.query_one("SELECT count(*), sum(n) FROM account", &[]).unwrap();
    assert_eq!((row.get::<_, i64>(0), row.get::<_, i64>(1)), (2, -3));
    let row = client.query_one("SELECT $1::int8 + 1", &[&41_i64]).unwrap();
    assert_eq!(row.get::<_, i64>(0), 42);
}

/// Guards against wrong results of filters, ordering, limits, updates and deletes.
#[test]
fn statements_select_and_change_rows() {
    let (_primary, mut client) = primary_with_table();
    rows(&mut client, "INSERT INTO account (id, n) VALUES (1, 30), (2, 20), (3, 10)");
    let ordered = "SELECT id, n FROM account WHERE id > 0 AND id < 3 ORDER BY n";
    assert_eq!(rows(&mut client, ordered), ["2|20", "1|30"]);
    assert_eq!(rows(&mut client, "SELECT id FROM account ORDER BY id DESC LIMIT 1"), ["3"]);
    let update = "UPDATE account SET n = n + 1 WHERE id = 1 RETURNING n, owner";
    assert_eq!(rows(&mut client, update), ["31|NULL"]);
    assert_eq!(client.execute("DELETE FROM account WHERE n < $1", &[&15_i32]).unwrap(), 1);
    assert_eq!(rows(&mut client, "SELECT id, 'x', n FROM account"), ["1|x|31", "2|x|20"]);
    assert_eq!(client.execute("UPDATE account SET id = id + 1", &[]).unwrap(), 2);
    assert_eq!(rows(&mut client, "SELECT id FROM account"), ["2", "3"]);
}

/// Guards against errors that reach the client with another code than PostgreSQL's.
#[test]
fn errors_carry_their_sqlstate() {
    let (primary, mut client) = primary_with_table();
    rows(&mut client, "INSERT INTO account (id) VALUES (1)");
    for (sql, code) in [
        ("SELEC 1", "42601"),
        ("SELECT * FROM missing", "42P01"),
        ("SELECT missing FROM account", "42703"),
        ("INSERT INTO account (id) VALUES (2), (1)", "23505"),
        ("INSERT INTO account (id) VALUES ('x')", "22P02"),
        ("BEGIN READ ONLY; DELETE FROM account", "25006"),
        ("SELECT 1", "25P02"),
    ] {
        assert_eq!(sqlstate(&mut client, sql), code, "{sql}");
    }
    assert_eq!(rows(&mut client, "ROLLBACK; SELECT id FROM account"), ["1"]);
    let nested = format!("SELECT {}1", "(".repeat(100_000));
    assert_eq!(sqlstate(&mut client, &nested), "54001");
    let mut control = connect(primary.control_address());
    rows(&mut control, "SELECT * FROM flamingorock_accept_term(2)");
    assert_eq!(sqlstate(&mut client, "DELETE FROM account"), "25006");
}

/// Guards against changes that outlive a rollback, an error in an implicit transaction or a broken
/// connection, and against reads of changes that are not committed.
#[test]
fn transactions_are_atomic_and_isolated() {
    let (primary, mut client) = primary_with_table();
    let mut other = connect(primary.address());
    let count = "SELECT count(*) FROM account";
    assert_eq!(
        sqlstate(
            &mut client,
            "INSERT INTO account (id) VALUES (1); INSERT INTO account (id) VALUES (1)"
        ),
        "23505"
    );
    assert_eq!(rows(&mut other, count), ["0"]);

    let mut transaction = client.transaction().unwrap();
    transaction.execute("INSERT INTO account (id) VALUES (1)", &[]).unwrap();
    let mut nested = transaction.transaction().unwrap();
    nested.execute("INSERT INTO account (id) VALUES (2)", &[]).unwrap();
    nested.execute("INSERT INTO account (id) VALUES (2)", &[]).unwrap_err();
    nested.rollback().unwrap();
    assert_eq!(transaction.query_one(count, &[]).unwrap().get::<_, i64>(0), 1);
    assert_eq!(rows(&mut other, count), ["0"]);
    transaction.commit().unwrap();
    assert_eq!(rows(&mut other, count), ["1"]);

    rows(&mut client, "BEGIN; DELETE FROM account");
    drop(client);
    // The write lock is free again only after the broken connection has been rolled back.
    rows(&mut other, "UPDATE account SET n = 5 WHERE id = 1");
    assert_eq!(rows(&mut other, "SELECT id, n FROM account"), ["1|5"]);
}

/// Guards against two transactions that both write from the same state, which loses an update.
#[test]
fn writers_wait_for_each_other() {
    let (primary, mut client) = primary_with_table();
    rows(&mut client, "INSERT INTO account (id, n) VALUES (1, 0)");
    let address = primary.address();
    let writer = move || {
        let mut client = connect(address);
        for _ in 0..50 {
            rows(&mut client, "BEGIN; UPDATE account SET n = n + 1 WHERE id = 1; COMMIT");
        }
    };
    let writers: Vec<_> = (0..4).map(|_| std::thread::spawn(writer)).collect();
    writers.into_iter().for_each(|writer| writer.join().unwrap());
    assert_eq!(rows(&mut client, "SELECT n FROM account"), ["200"]);
}

/// Connection on the level of the protocol, whose cancel requests are known to be handled.
struct RawClient {
    stream: TcpStream,
    /// Process id and secret key.
    key: [u8; 8],
}

impl RawClient {
    fn connect(address: SocketAddr) -> Self {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(b"\0\0\0\x10\0\x03\0\0user\0a\0\0").unwrap();
        let greeting = read_to_ready(&mut stream);
        let tag = b"K\0\0\0\x0c";
        let start = greeting.windows(5).position(|bytes| bytes == tag).unwrap() + tag.len();
        Self { stream, key: greeting[start..start + 8].try_into().unwrap() }
    }

    /// Runs a query; returns whether it was cancelled.
    fn is_cancelled(&mut self, sql: &str) -> bool {
        let length = u32::try_from(sql.len() + 5).unwrap().to_be_bytes();
        let message = [b"Q", &length[..], sql.as_bytes(), b"\0"].concat();
        self.stream.write_all(&message).unwrap();
        read_to_ready(&mut self.stream).windows(5).any(|bytes| bytes == b"57014")
    }
}

/// Reads up to a `ReadyForQuery` message outside a transaction.
fn read_to_ready(stream: &mut TcpStream) -> Vec<u8> {
    let mut answer = Vec::new();
    while !answer.ends_with(b"Z\0\0\0\x05I") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        answer.extend(byte);
    }
    answer
}

/// Sends a cancel request and waits until the server has handled it and closes the connection.
fn cancel(address: SocketAddr, key: [u8; 8]) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(&[&b"\0\0\0\x10\x04\xd2\x16\x2e"[..], &key].concat()).unwrap();
    stream.read_to_end(&mut Vec::new()).unwrap();
}

/// Guards against a cancel request that is ignored, that needs no secret, or that hits a statement of
/// another time.
#[test]
fn cancel_interrupts_the_running_statement_only() {
    let (primary, _client) = primary_with_table();
    let address = primary.address();
    let mut client = RawClient::connect(address);
    let key = client.key;
    cancel(address, key);
    assert!(!client.is_cancelled("SELECT 1"));

    let sleeper = std::thread::spawn(move || {
        let cancelled = client.is_cancelled("SELECT pg_sleep(600)");
        (cancelled, client)
    });
    let mut wrong_key = key;
    wrong_key[7] ^= 1;
    cancel(address, wrong_key);
    assert!(!sleeper.is_finished());
    wait_for("cancelled", || {
        cancel(address, key);
        sleeper.is_finished()
    });
    let (cancelled, mut client) = sleeper.join().unwrap();
    assert!(cancelled);
    assert!(!client.is_cancelled("SELECT 2"));
}

/// Guards against settings and prepared statements that one user of a connection leaves to the next.
#[test]
fn discard_all_clears_the_session() {
    let (_primary, mut client) = primary_with_table();
    rows(&mut client, "SET flamingorock.rank = 'urgent'");
    assert_eq!(rows(&mut client, "SHOW flamingorock.rank"), ["urgent"]);
    let statement = client.prepare("SELECT 1").unwrap();
    client.query(&statement, &[]).unwrap();
    rows(&mut client, "DISCARD ALL");
    assert_eq!(sqlstate(&mut client, "SHOW flamingorock.rank"), "42704");
    let error = client.query(&statement, &[]).unwrap_err();
    assert_eq!(error.code().unwrap().code(), "26000");
}
