//! Decoding of what a caller sends before its session is open.

use bytes::{Bytes, BytesMut};

use super::{CallerMessage, ProtocolError};
use crate::wire::Reader;

/// Greatest size of a startup packet, as in PostgreSQL.
pub(crate) const MAX_STARTUP_BYTES: usize = 10_000;
/// Size of the length field and the code of a startup packet.
const MIN_STARTUP_BYTES: usize = 8;

const CANCEL_CODE: i32 = 80_877_102;
const SSL_CODE: i32 = 80_877_103;
const GSS_CODE: i32 = 80_877_104;

/// What a caller says of itself when it opens a session.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StartupRequest {
    /// User name.
    pub user: String,
    /// Database name; the user name if none was given.
    pub database: String,
    /// Name that the caller gives itself; may be empty.
    pub application_name: String,
    /// Command-line options for the session, unparsed; may be empty.
    pub options: String,
}

/// Takes a startup packet from the front of the received bytes; `None` if it is not complete.
pub(crate) fn take_startup(buffer: &mut BytesMut) -> Result<Option<CallerMessage>, ProtocolError> {
    let Some(header) = buffer.first_chunk::<4>() else { return Ok(None) };
    let size = usize::try_from(i32::from_be_bytes(*header))
        .ok()
        .filter(|size| *size >= MIN_STARTUP_BYTES)
        .ok_or(ProtocolError::MalformedStartup)?;
    if size > MAX_STARTUP_BYTES {
        return Err(ProtocolError::StartupTooLarge(size));
    }
    if buffer.len() < size {
        return Ok(None);
    }
    let packet = buffer.split_to(size);
    let mut reader = Reader::new(&packet[4..]);
    let code = reader.i32().ok_or(ProtocolError::MalformedStartup)?;
    match code {
        SSL_CODE | GSS_CODE => {
            Ok(Some(CallerMessage::EncryptionRequest { answer: Bytes::from_static(b"N") }))
        }
        CANCEL_CODE => cancel(reader).map(Some),
        _ => startup(code, reader).map(|startup| Some(CallerMessage::Startup(startup))),
    }
}

fn cancel(mut reader: Reader<'_>) -> Result<CallerMessage, ProtocolError> {
    match (reader.i32(), reader.i32(), reader.rest()) {
        (Some(process_id), Some(secret_key), []) => {
            Ok(CallerMessage::Cancel { process_id, secret_key })
        }
        _ => Err(ProtocolError::MalformedCancel),
    }
}

fn startup(version: i32, mut reader: Reader<'_>) -> Result<StartupRequest, ProtocolError> {
    let [major_high, major_low, minor_high, minor_low] = version.to_be_bytes();
    let major = u16::from_be_bytes([major_high, major_low]);
    let minor = u16::from_be_bytes([minor_high, minor_low]);
    if (major, minor) != (3, 0) {
        return Err(ProtocolError::UnsupportedVersion { major, minor });
    }
    let mut request = StartupRequest::default();
    loop {
        let name = reader.string().ok_or(ProtocolError::MalformedStartup)?;
        if name.is_empty() {
            break;
        }
        let value = reader.string().ok_or(ProtocolError::MalformedStartup)?;
        set_parameter(&mut request, name, value)?;
    }
    if request.user.is_empty() || !reader.rest().is_empty() {
        return Err(ProtocolError::MalformedStartup);
    }
    if request.database.is_empty() {
        request.database.clone_from(&request.user);
    }
    Ok(request)
}

/// Stores a startup parameter. Others than these are ignored: the greeting reports what is in force.
fn set_parameter(
    request: &mut StartupRequest,
    name: &[u8],
    value: &[u8],
) -> Result<(), ProtocolError> {
    let value = core::str::from_utf8(value).map_err(|_| ProtocolError::MalformedStartup)?;
    match name {
        b"user" => value.clone_into(&mut request.user),
        b"database" => value.clone_into(&mut request.database),
        b"application_name" => value.clone_into(&mut request.application_name),
        b"options" => value.clone_into(&mut request.options),
        b"replication" if !matches!(value, "false" | "off" | "no" | "0") => {
            return Err(ProtocolError::Replication);
        }
        _ => {}
    }
    Ok(())
}
