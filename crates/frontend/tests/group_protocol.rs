//! Calls to database instances.

mod support;

use flamingorock_core::Term;
use flamingorock_core::control::InstanceOperation;
use flamingorock_frontend::{FunctionGroupProtocol, GroupProtocol};
use insta::assert_snapshot;
use support::{answer, dump, message};

const COLUMNS: [&str; 6] = ["accepted_term", "log_term", "lsn", "role", "primary_heard_ms", "ok"];

fn description(columns: &[&str]) -> Vec<u8> {
    let mut body = u16::try_from(columns.len()).expect("few columns").to_be_bytes().to_vec();
    for column in columns {
        body.extend_from_slice(column.as_bytes());
        body.extend_from_slice(b"\0\0\0\0\0\0\0\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0");
    }
    message(b'T', &body)
}

fn row(values: &[&str]) -> Vec<u8> {
    let mut body = u16::try_from(values.len()).expect("few columns").to_be_bytes().to_vec();
    for value in values {
        let length = if *value == "NULL" { -1 } else { i32::try_from(value.len()).expect("short") };
        body.extend_from_slice(&length.to_be_bytes());
        if length >= 0 {
            body.extend_from_slice(value.as_bytes());
        }
    }
    message(b'D', &body)
}

fn report(parts: &[Vec<u8>]) -> String {
    match FunctionGroupProtocol.report(&parts.concat()) {
        Ok(report) => format!("{report:?}\n"),
        Err(error) => format!("{error}\n"),
    }
}

/// Guards against calls that the instances do not know.
#[test]
fn calls() {
    let primary = "127.0.0.1:7001".parse().expect("an address");
    let operations = [
        InstanceOperation::Status,
        InstanceOperation::AcceptTerm(Term(65_537)),
        InstanceOperation::Promote(Term(u64::MAX)),
        InstanceOperation::Follow { term: Term(3), primary },
    ];
    let payloads = operations.map(|operation| dump(&FunctionGroupProtocol.payload(operation)));
    assert_snapshot!(payloads.concat());
}

/// Guards against a report that is misread when the columns come in another order or with others.
#[test]
fn reports() {
    let end = answer("CZ");
    let mut log = report(&[
        description(&COLUMNS),
        row(&["65537", "65536", "42", "replica", "120", "t"]),
        end.clone(),
    ]);
    log += &report(&[
        description(&[
            "ok",
            "extra",
            "role",
            "lsn",
            "log_term",
            "accepted_term",
            "primary_heard_ms",
        ]),
        row(&["f", "NULL", "primary", "42", "1", "2", "-1"]),
        end,
    ]);
    assert_snapshot!(log);
}

/// Guards against a report made of values that the instance did not give.
#[test]
fn answers_that_are_no_report() {
    let good = ["2", "1", "42", "replica", "-1", "t"];
    let mut log = report(&[answer("EZ")]);
    log += &report(&[description(&COLUMNS), answer("CZ")]);
    log += &report(&[description(&COLUMNS), row(&good), row(&good), answer("CZ")]);
    log += &report(&[description(&COLUMNS[..5]), row(&good[..5]), answer("CZ")]);
    log += &report(&[description(&COLUMNS), row(&good[..3]), answer("CZ")]);
    log += &report(&[row(&good)]);
    log += &report(&[description(&COLUMNS), message(b'D', b"\0\x01\0\0\0\x09cut")]);
    log += &report(&[vec![b'T', 0, 0, 0, 99]]);
    for (column, value) in
        [(0, "-1"), (1, ""), (2, "0/16B3748"), (3, "leader"), (4, "-2"), (5, "true"), (5, "NULL")]
    {
        let mut values = good;
        values[column] = value;
        log += &report(&[description(&COLUMNS), row(&values), answer("CZ")]);
    }
    assert_snapshot!(log);
}
