//! Errors for invalid requests of callers.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::support::{DATABASE, Fleet};

/// Guards against invalid statements and settings that end the caller's session, or whose error has
/// no SQLSTATE or an unspecific one.
#[test]
fn mistakes_of_a_caller_have_clear_errors() {
    let fleet = Fleet::start(1);
    let mut client = fleet.proxies[0].connect(DATABASE);
    client.batch_execute("CREATE TABLE payments (id INT4, amount INT4)").expect("the table");
    let mut code_of = |statement: &str| {
        let error = client.batch_execute(statement).expect_err("the statement is refused");
        let error = error.as_db_error().expect("an error of the server").clone();
        format!("{} {}", error.code().code(), error.message())
    };
    let too_large = format!("SELECT '{}'", "x".repeat(2 * 1024 * 1024));
    let statements = [
        ("oversized", too_large.as_str()),
        ("syntax", "SELEC 1"),
        ("wrong type", "INSERT INTO payments VALUES ('x', 1)"),
        ("unknown table", "SELECT * FROM invoices"),
        ("listen", "LISTEN payments"),
        ("copy", "COPY payments FROM STDIN"),
        ("unknown rank", "SET flamingorock.rank = 'nope'"),
        ("staleness", "SET flamingorock.max_staleness_ms = 'soon'"),
    ];
    let lines = statements.map(|(name, statement)| format!("{name}: {}", code_of(statement)));
    insta::assert_snapshot!(lines.join("\n"));
    client.batch_execute("SELECT 1").expect("the session goes on");
}

/// Guards against a startup message of an unsupported protocol version that gets no reply.
#[test]
fn an_unknown_protocol_version_is_refused() {
    let fleet = Fleet::start(1);
    let mut stream = TcpStream::connect(fleet.proxies[0].callers).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(30))).expect("a limit");
    stream.write_all(&[0, 0, 0, 9, 0, 2, 0, 0, 0]).expect("a startup message of version 2.0");
    let mut reply = Vec::new();
    stream.read_to_end(&mut reply).expect("a reply and the end of the connection");
    let text = String::from_utf8_lossy(&reply).replace('\0', " ");
    assert!(reply.starts_with(b"E") && text.contains("FATAL"), "{text}");
    assert!(text.contains("0A000") || text.contains("08P01"), "{text}");
}
