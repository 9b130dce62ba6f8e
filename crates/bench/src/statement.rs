//! Statements that the load generator sends.

use std::fmt;
use std::io;

use bytes::BytesMut;
use postgres_protocol::IsNull;
use postgres_protocol::message::frontend;

/// Name of the prepared statement in each session.
const STATEMENT_NAME: &str = "bench";
const SELECT: &str = "SELECT amount FROM payments WHERE id = 1";
const INSERT: &str = "INSERT INTO receipts VALUES (1, 250)";
const PREPARED_SELECT: &str = "SELECT amount FROM payments WHERE id = $1";
/// OID of the type `int4`.
const INT4_OID: u32 = 23;

/// Statement that a measurement runs, with the protocol that it uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Statement {
    /// A read in the simple query protocol.
    Select,
    /// A write in the simple query protocol.
    Insert,
    /// A read by a prepared statement in the extended query protocol.
    PreparedSelect,
}

impl Statement {
    /// All statements, in the order of the report.
    pub const ALL: [Self; 3] = [Self::Select, Self::Insert, Self::PreparedSelect];
    /// Statements that create the tables and the row that the reads return.
    pub(crate) const SETUP: [&str; 3] = [
        "CREATE TABLE payments (id INT PRIMARY KEY, amount INT)",
        "CREATE TABLE receipts (id INT, amount INT)",
        "INSERT INTO payments VALUES (1, 250)",
    ];

    /// Messages that a session sends once before it runs the statement.
    ///
    /// # Errors
    ///
    /// The messages cannot be encoded.
    pub fn preparation(self) -> io::Result<BytesMut> {
        let mut bytes = BytesMut::new();
        if self == Self::PreparedSelect {
            frontend::parse(STATEMENT_NAME, PREPARED_SELECT, [INT4_OID], &mut bytes)?;
            frontend::sync(&mut bytes);
        }
        Ok(bytes)
    }

    /// Messages that run the statement.
    ///
    /// # Errors
    ///
    /// The messages cannot be encoded.
    pub fn messages(self) -> io::Result<BytesMut> {
        let mut bytes = BytesMut::new();
        match self {
            Self::Select => frontend::query(SELECT, &mut bytes)?,
            Self::Insert => frontend::query(INSERT, &mut bytes)?,
            Self::PreparedSelect => {
                let one = |_: (), buffer: &mut BytesMut| {
                    buffer.extend_from_slice(b"1");
                    Ok(IsNull::No)
                };
                let bound = frontend::bind("", STATEMENT_NAME, [0], [()], one, [0], &mut bytes);
                bound.map_err(|_| io::Error::other("the parameter cannot be encoded"))?;
                frontend::execute("", 0, &mut bytes)?;
                frontend::sync(&mut bytes);
            }
        }
        Ok(bytes)
    }
}

impl fmt::Display for Statement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Select => "SELECT",
            Self::Insert => "INSERT",
            Self::PreparedSelect => "prepared SELECT",
        })
    }
}
