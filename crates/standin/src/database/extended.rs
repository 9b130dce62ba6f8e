//! Extended query protocol: prepared statements and portals.

use std::collections::VecDeque;

use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
    PortalSuspended, TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::response::EmptyQueryResponse;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};

use super::connection::Connection;
use super::describe::{Description, ResultColumn};
use super::error::{ConnectionError, SqlError};
use super::execute::Outcome;
use super::sql::{Statement, parse};
use super::value::{Row, Type, Value};
use super::wire::Formats;

#[derive(Clone, Debug)]
pub(crate) struct Prepared {
    /// `None` for an empty query string.
    statement: Option<Statement>,
    description: Description,
}

pub(crate) struct Portal {
    prepared: Prepared,
    parameters: Vec<Value>,
    formats: Formats,
    /// Rows that are left after an `Execute` with a row limit.
    rest: Option<(VecDeque<Row>, String)>,
}

/// Result of a message: the answer, or an error that the client is told.
type Answer = Result<(), SqlError>;

impl Connection {
    /// Handles one message of the extended protocol.
    pub(crate) fn extended(
        &mut self,
        message: PgWireFrontendMessage,
    ) -> Result<(), ConnectionError> {
        if let PgWireFrontendMessage::Sync(_) = message {
            return self.sync();
        }
        if self.skips_to_sync {
            return Ok(());
        }
        let answer = match message {
            PgWireFrontendMessage::Parse(parse) => self.parse(&parse)?,
            PgWireFrontendMessage::Bind(bind) => self.bind(bind)?,
            PgWireFrontendMessage::Describe(describe) => self.describe(&describe)?,
            PgWireFrontendMessage::Execute(execute) => self.execute(&execute)?,
            PgWireFrontendMessage::Close(close) => self.close(&close)?,
            PgWireFrontendMessage::Flush(_) => return self.flush(),
            _ => return Err(ConnectionError::Protocol("unexpected message".to_owned())),
        };
        if let Err(error) = answer {
            self.skips_to_sync = true;
            self.session.fail();
            self.wire.push_error(&error)?;
        }
        Ok(())
    }

    fn sync(&mut self) -> Result<(), ConnectionError> {
        self.skips_to_sync = false;
        if let Err(error) = self.session.finish_implicit() {
            self.session.fail();
            self.wire.push_error(&error)?;
        }
        self.portals.clear();
        self.ready()
    }

    fn parse(&mut self, message: &Parse) -> Result<Answer, ConnectionError> {
        let prepared = parse(&message.query).and_then(|mut statements| {
            let statement = statements.pop();
            if !statements.is_empty() {
                return Err(SqlError::syntax("a prepared statement holds one command"));
            }
            let description = match &statement {
                Some(statement) => self.session.describe(statement, &message.type_oids)?,
                None => Description::default(),
            };
            Ok(Prepared { statement, description })
        });
        match prepared {
            Ok(prepared) => {
                self.statements.insert(message.name.clone().unwrap_or_default(), prepared);
                self.wire.push(PgWireBackendMessage::ParseComplete(ParseComplete::new()))?;
                Ok(Ok(()))
            }
            Err(error) => Ok(Err(error)),
        }
    }

    fn bind(&mut self, message: Bind) -> Result<Answer, ConnectionError> {
        let name = message.statement_name.unwrap_or_default();
        let Some(prepared) = self.statements.get(&name).cloned() else {
            return Ok(Err(unknown("26000", "prepared statement", &name)));
        };
        let formats = Formats(message.parameter_format_codes);
        let types = &prepared.description.parameters;
        if types.len() != message.parameters.len() {
            let message = format!("{} parameters are needed", types.len());
            return Ok(Err(SqlError::new("08P01", message)));
        }
        let decode = |(index, (bytes, ty)): (usize, (&Option<bytes::Bytes>, &Type))| match bytes {
            Some(bytes) => Value::decode(bytes, *ty, formats.is_binary(index)),
            None => Ok(Value::Null),
        };
        let parameters = message.parameters.iter().zip(types).enumerate().map(decode).collect();
        match parameters {
            Ok(parameters) => {
                let formats = Formats(message.result_column_format_codes);
                let portal = Portal { prepared, parameters, formats, rest: None };
                self.portals.insert(message.portal_name.unwrap_or_default(), portal);
                self.wire.push(PgWireBackendMessage::BindComplete(BindComplete::new()))?;
                Ok(Ok(()))
            }
            Err(error) => Ok(Err(error)),
        }
    }

    fn describe(&mut self, message: &Describe) -> Result<Answer, ConnectionError> {
        let name = message.name.clone().unwrap_or_default();
        if message.target_type != TARGET_TYPE_BYTE_STATEMENT {
            let Some(portal) = self.portals.get(&name) else {
                return Ok(Err(unknown("34000", "portal", &name)));
            };
            let (columns, formats) = (&portal.prepared.description.columns, &portal.formats);
            return push_columns(&mut self.wire, columns, formats).map(Ok);
        }
        let Some(prepared) = self.statements.get(&name) else {
            return Ok(Err(unknown("26000", "prepared statement", &name)));
        };
        let oids = prepared.description.parameters.iter().map(|ty| ty.oid()).collect();
        let parameters = ParameterDescription::new(oids);
        self.wire.push(PgWireBackendMessage::ParameterDescription(parameters))?;
        push_columns(&mut self.wire, &prepared.description.columns, &Formats::default()).map(Ok)
    }

    fn execute(&mut self, message: &Execute) -> Result<Answer, ConnectionError> {
        let name = message.name.clone().unwrap_or_default();
        // The portal leaves the table while it runs, because `DISCARD ALL` changes the table.
        let Some(mut portal) = self.portals.remove(&name) else {
            return Ok(Err(unknown("34000", "portal", &name)));
        };
        let Some(statement) = portal.prepared.statement.clone() else {
            let empty = EmptyQueryResponse::new();
            return self.wire.push(PgWireBackendMessage::EmptyQueryResponse(empty)).map(Ok);
        };
        let (mut rows, tag) = match portal.rest.take() {
            Some(rest) => rest,
            None => match self.session.run(&statement, &portal.parameters) {
                Ok(outcome) => (outcome.rows.into(), outcome.tag),
                Err(error) => return Ok(Err(error)),
            },
        };
        let limit = usize::try_from(message.max_rows).ok().filter(|limit| *limit > 0);
        let count = limit.unwrap_or(rows.len()).min(rows.len());
        for row in rows.drain(..count) {
            let columns = &portal.prepared.description.columns;
            self.wire.push_row(&row, columns, &portal.formats)?;
        }
        if rows.is_empty() {
            self.complete(&statement, &Outcome::tag(&tag))?;
        } else {
            self.wire.push(PgWireBackendMessage::PortalSuspended(PortalSuspended::new()))?;
            portal.rest = Some((rows, tag));
        }
        self.portals.insert(name, portal);
        Ok(Ok(()))
    }

    fn close(&mut self, message: &Close) -> Result<Answer, ConnectionError> {
        let name = message.name.clone().unwrap_or_default();
        if message.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.statements.remove(&name);
        } else {
            self.portals.remove(&name);
        }
        self.wire.push(PgWireBackendMessage::CloseComplete(CloseComplete::new())).map(Ok)
    }
}

fn push_columns(
    wire: &mut super::wire::Wire,
    columns: &[ResultColumn],
    formats: &Formats,
) -> Result<(), ConnectionError> {
    if columns.is_empty() {
        return wire.push(PgWireBackendMessage::NoData(NoData::new()));
    }
    wire.push_description(columns, formats)
}

fn unknown(sqlstate: &'static str, kind: &str, name: &str) -> SqlError {
    SqlError::new(sqlstate, format!("{kind} {name:?} does not exist"))
}
