//! Calls to database instances as SQL functions.

use core::str::FromStr;

use flamingorock_core::control::InstanceOperation;
use flamingorock_core::{InstanceReport, InstanceRole, Lsn, Position, Term};

use super::{GroupError, GroupProtocol};
use crate::backend::error_fields;
use crate::wire::{HEADER_BYTES, Header, Reader};

/// Columns of a report.
const COLUMNS: [&str; 6] = ["accepted_term", "log_term", "lsn", "role", "primary_heard_ms", "ok"];

/// Calls to database instances as the SQL functions `flamingorock_*`, each of which returns one row
/// of text columns.
#[derive(Clone, Copy, Debug, Default)]
pub struct FunctionGroupProtocol;

impl GroupProtocol for FunctionGroupProtocol {
    fn sql(&self, operation: InstanceOperation) -> String {
        match operation {
            InstanceOperation::Status => "SELECT * FROM flamingorock_status()".to_owned(),
            InstanceOperation::AcceptTerm(term) => {
                format!("SELECT * FROM flamingorock_accept_term({})", term.0)
            }
            InstanceOperation::Promote(term) => {
                format!("SELECT * FROM flamingorock_promote({})", term.0)
            }
            InstanceOperation::Follow { term, primary } => {
                format!("SELECT * FROM flamingorock_follow({}, '{primary}')", term.0)
            }
        }
    }

    fn report(&self, answer: &[u8]) -> Result<InstanceReport, GroupError> {
        report_of(&row_of(answer)?)
    }
}

/// Values of the columns of a report, in the order of [`COLUMNS`].
type Row<'a> = [Option<&'a str>; COLUMNS.len()];

/// Finds the only row of an answer.
fn row_of(answer: &[u8]) -> Result<Row<'_>, GroupError> {
    let mut rest = answer;
    let mut places = Vec::new();
    let mut row = Row::default();
    let mut row_count = 0;
    while let Some(header) = Header::read(rest) {
        let message = header.size.and_then(|size| rest.split_at_checked(size));
        let (message, following) = message.ok_or(GroupError::Malformed(header.tag))?;
        let body = &message[HEADER_BYTES..];
        match header.tag {
            b'E' => {
                let (sqlstate, message) = error_fields(body);
                return Err(GroupError::Failed { sqlstate, message });
            }
            b'T' => places = column_places(body).ok_or(GroupError::Malformed(b'T'))?,
            b'D' => {
                row = values(body, &places).ok_or(GroupError::Malformed(b'D'))?;
                row_count += 1;
            }
            _ => {}
        }
        rest = following;
    }
    if row_count == 1 { Ok(row) } else { Err(GroupError::RowCount(row_count)) }
}

/// For each column of a row description, its place in [`COLUMNS`].
fn column_places(body: &[u8]) -> Option<Vec<Option<usize>>> {
    /// Table, column number, type, size, modifier and format that follow a column's name.
    const FIXED_BYTES: usize = 4 + 2 + 4 + 2 + 4 + 2;
    let mut reader = Reader::new(body);
    let count = reader.u16()?;
    let mut places = Vec::new();
    for _ in 0..count {
        let name = reader.string()?;
        reader.bytes(FIXED_BYTES)?;
        places.push(COLUMNS.iter().position(|column| column.as_bytes() == name));
    }
    Some(places)
}

fn values<'a>(body: &'a [u8], places: &[Option<usize>]) -> Option<Row<'a>> {
    let mut reader = Reader::new(body);
    let count = usize::from(reader.u16()?);
    let mut row = Row::default();
    for place in places.get(..count)? {
        // A negative length stands for NULL, which counts as a missing value.
        if let Ok(length) = usize::try_from(reader.i32()?) {
            let value = core::str::from_utf8(reader.bytes(length)?).ok()?;
            if let Some(place) = place {
                row[*place] = Some(value);
            }
        }
    }
    Some(row)
}

fn report_of(row: &Row<'_>) -> Result<InstanceReport, GroupError> {
    let primary_heard_ms: i64 = number(row, 4)?;
    Ok(InstanceReport {
        accepted_term: Term(number(row, 0)?),
        position: Position::new(Term(number(row, 1)?), Lsn(number(row, 2)?)),
        role: match text(row, 3)? {
            "primary" => InstanceRole::Primary,
            "replica" => InstanceRole::Replica,
            value => return Err(invalid(3, value)),
        },
        primary_heard_ms: match primary_heard_ms {
            -1 => None,
            value => Some(u64::try_from(value).map_err(|_| invalid(4, &value.to_string()))?),
        },
        accepted: match text(row, 5)? {
            "t" => true,
            "f" => false,
            value => return Err(invalid(5, value)),
        },
    })
}

fn text<'a>(row: &Row<'a>, column: usize) -> Result<&'a str, GroupError> {
    row[column].ok_or(GroupError::MissingColumn(COLUMNS[column]))
}

fn number<T: FromStr>(row: &Row<'_>, column: usize) -> Result<T, GroupError> {
    let value = text(row, column)?;
    value.parse().map_err(|_| invalid(column, value))
}

fn invalid(column: usize, value: &str) -> GroupError {
    GroupError::InvalidValue { column: COLUMNS[column], value: value.to_owned() }
}
