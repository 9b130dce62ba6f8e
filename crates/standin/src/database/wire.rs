//! Reads messages of the PostgreSQL protocol from a socket and writes answers.

use std::io::{Read, Write};
use std::net::TcpStream;

use bytes::{BufMut, BytesMut};
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::response::{ErrorResponse, ReadyForQuery, SslResponse, TransactionStatus};
use pgwire::messages::startup::SslRequest;
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
};

use super::describe::ResultColumn;
use super::error::{ConnectionError, SqlError};
use super::replication;
use super::session::Block;
use super::value::Row;

/// Largest message that is read from a client.
const MESSAGE_LIMIT_BYTES: usize = 64 << 20;

/// First packet of a connection.
pub(crate) enum Start {
    Replication,
    /// `SSLRequest` or `GSSENCRequest`.
    Encryption,
    /// `StartupMessage` or `CancelRequest`.
    Message(PgWireFrontendMessage),
}

/// One connection: its socket and the answers that are not sent yet.
pub(crate) struct Wire {
    stream: TcpStream,
    context: DecodeContext,
    output: BytesMut,
}

impl Wire {
    pub(crate) fn new(stream: TcpStream) -> Self {
        let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        Self { stream, context, output: BytesMut::new() }
    }

    pub(crate) fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Reads the first packet of a connection, or the one after a refused encryption request.
    pub(crate) fn read_start(&mut self) -> Result<Start, ConnectionError> {
        let mut first = [0; replication::MAGIC.len()];
        self.stream.read_exact(&mut first)?;
        if first == replication::MAGIC {
            return Ok(Start::Replication);
        }
        self.context.awaiting_frontend_ssl = false;
        let mut frame = self.read_frame(&first, 0)?;
        // The packets `SSLRequest` and `GSSENCRequest` hold a request code only.
        if frame.len() == SslRequest::BODY_SIZE {
            return Ok(Start::Encryption);
        }
        let message = self.decode(&mut frame)?;
        self.context.awaiting_frontend_startup = false;
        Ok(Start::Message(message))
    }

    /// Answers an encryption request: the connection goes on in plain text.
    pub(crate) fn refuse_encryption(&mut self) -> Result<(), ConnectionError> {
        Ok(self.stream.write_all(&[SslResponse::BYTE_REFUSE])?)
    }

    /// Reads the next message after the startup packet.
    pub(crate) fn read(&mut self) -> Result<PgWireFrontendMessage, ConnectionError> {
        let mut header = [0; 5];
        self.stream.read_exact(&mut header)?;
        let mut frame = self.read_frame(&header, 1)?;
        self.decode(&mut frame)
    }

    /// Reads the rest of a packet whose first bytes are known and whose length is at `offset`.
    fn read_frame(&mut self, start: &[u8], offset: usize) -> Result<BytesMut, ConnectionError> {
        let mut length = [0; 4];
        length.copy_from_slice(&start[offset..offset + 4]);
        let frame_bytes = u32::from_be_bytes(length) as usize + offset;
        if !(start.len()..=MESSAGE_LIMIT_BYTES).contains(&frame_bytes) {
            return Err(ConnectionError::Protocol(format!("packet of {frame_bytes} bytes")));
        }
        let mut frame = start.to_vec();
        (&self.stream).take((frame_bytes - start.len()) as u64).read_to_end(&mut frame)?;
        if frame.len() != frame_bytes {
            return Err(ConnectionError::Protocol("truncated packet".to_owned()));
        }
        Ok(BytesMut::from(frame.as_slice()))
    }

    fn decode(&self, frame: &mut BytesMut) -> Result<PgWireFrontendMessage, ConnectionError> {
        let message = PgWireFrontendMessage::decode(frame, &self.context)
            .map_err(|error| ConnectionError::Protocol(error.to_string()))?;
        message.ok_or_else(|| ConnectionError::Protocol("incomplete message".to_owned()))
    }

    pub(crate) fn push(&mut self, message: PgWireBackendMessage) -> Result<(), ConnectionError> {
        message
            .encode(&mut self.output)
            .map_err(|error| ConnectionError::Protocol(error.to_string()))
    }

    pub(crate) fn push_error(&mut self, error: &SqlError) -> Result<(), ConnectionError> {
        let fields = [
            (b'S', "ERROR"),
            (b'V', "ERROR"),
            (b'C', error.sqlstate),
            (b'M', error.message.as_str()),
        ];
        let fields = fields.map(|(code, text)| (code, text.replace('\0', " "))).to_vec();
        self.push(PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)))
    }

    pub(crate) fn push_ready(&mut self, block: Block) -> Result<(), ConnectionError> {
        let status = match block {
            Block::Idle | Block::Implicit => TransactionStatus::Idle,
            Block::Explicit => TransactionStatus::Transaction,
            Block::Failed => TransactionStatus::Error,
        };
        self.push(PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status)))
    }

    pub(crate) fn push_description(
        &mut self,
        columns: &[ResultColumn],
        formats: &Formats,
    ) -> Result<(), ConnectionError> {
        let field = |(index, (name, ty)): (usize, &ResultColumn)| {
            let format = i16::from(formats.is_binary(index));
            FieldDescription::new(name.clone(), 0, 0, ty.oid(), ty.size_bytes(), -1, format)
        };
        let fields = columns.iter().enumerate().map(field).collect();
        self.push(PgWireBackendMessage::RowDescription(RowDescription::new(fields)))
    }

    pub(crate) fn push_row(
        &mut self,
        row: &Row,
        columns: &[ResultColumn],
        formats: &Formats,
    ) -> Result<(), ConnectionError> {
        let mut data = BytesMut::new();
        for (index, (value, (_, ty))) in row.iter().zip(columns).enumerate() {
            match value.encode(*ty, formats.is_binary(index)) {
                Some(bytes) => {
                    data.put_i32(i32::try_from(bytes.len()).unwrap_or(i32::MAX));
                    data.put_slice(&bytes);
                }
                None => data.put_i32(-1),
            }
        }
        let fields = i16::try_from(columns.len()).unwrap_or(i16::MAX);
        self.push(PgWireBackendMessage::DataRow(DataRow::new(data, fields)))
    }

    pub(crate) fn flush(&mut self) -> Result<(), ConnectionError> {
        let output = self.output.split();
        Ok(self.stream.write_all(&output)?)
    }
}

/// Format codes of a `Bind` message: none for text, one for all values, or one for each value.
#[derive(Clone, Debug, Default)]
pub(crate) struct Formats(pub(crate) Vec<i16>);

impl Formats {
    pub(crate) fn is_binary(&self, index: usize) -> bool {
        match self.0.as_slice() {
            [] => false,
            [all] => *all == 1,
            each => each.get(index) == Some(&1),
        }
    }
}
