//! Small HTTP/1.1 server on blocking sockets. It can leave a request without an answer, which the
//! usual server libraries do not allow.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::TcpStream;

use percent_encoding::percent_decode_str;

const HEAD_LIMIT_BYTES: usize = 64 << 10;
const HEADERS_LIMIT: usize = 64;
/// Far above the largest value of the key-value service, so that it can answer 413 itself.
const BODY_LIMIT_BYTES: usize = 8 << 20;

pub(crate) struct Request {
    pub(crate) method: String,
    /// Path with percent encoding removed.
    pub(crate) path: String,
    /// Query parameters; a parameter without `=` has an empty value.
    pub(crate) query: BTreeMap<String, String>,
    pub(crate) body: Vec<u8>,
    /// Value of the header that carries the fence of a promotion.
    pub(crate) fence: Option<u64>,
    keep_alive: bool,
}

/// What happens to a request.
pub(crate) enum Reply {
    Answer(Answer),
    /// Close the connection without an answer.
    Close,
    /// Keep the connection open without an answer until the client closes it.
    Withhold,
}

pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) content_type: &'static str,
    /// Value of the header `X-Consul-Index`.
    pub(crate) index: Option<u64>,
    pub(crate) body: Vec<u8>,
}

impl Reply {
    pub(crate) fn text(status: u16, body: impl Into<String>) -> Self {
        let body = body.into().into_bytes();
        Self::Answer(Answer { status, content_type: "text/plain", index: None, body })
    }

    pub(crate) fn json(value: &serde_json::Value) -> Self {
        let body = value.to_string().into_bytes();
        Self::Answer(Answer { status: 200, content_type: "application/json", index: None, body })
    }

    pub(crate) fn json_with_status(status: u16, value: &serde_json::Value) -> Self {
        let mut reply = Self::json(value);
        if let Self::Answer(answer) = &mut reply {
            answer.status = status;
        }
        reply
    }

    pub(crate) fn with_index(mut self, index: u64) -> Self {
        if let Self::Answer(answer) = &mut self {
            answer.index = Some(index);
        }
        self
    }
}

/// Serves the requests of one connection.
pub(crate) fn serve(stream: TcpStream, handle: impl Fn(&Request) -> Reply) {
    if let Err(error) = serve_requests(stream, handle) {
        tracing::debug!(%error, "HTTP connection ended");
    }
}

fn serve_requests(mut stream: TcpStream, handle: impl Fn(&Request) -> Reply) -> io::Result<()> {
    let mut buffer = Vec::new();
    loop {
        let request = match read_request(&mut stream, &mut buffer) {
            Ok(Some(request)) => request,
            Ok(None) => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                return write_answer(&mut stream, &Reply::text(400, error.to_string()));
            }
            Err(error) => return Err(error),
        };
        match handle(&request) {
            Reply::Close => return Ok(()),
            Reply::Withhold => return io::copy(&mut stream, &mut io::sink()).map(drop),
            reply @ Reply::Answer(_) => write_answer(&mut stream, &reply)?,
        }
        if !request.keep_alive {
            return Ok(());
        }
    }
}

/// Reads one request; `None` when the client has closed the connection.
fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let (mut request, head_bytes, body_bytes) = loop {
        if let Some(found) = parse_head(buffer)? {
            break found;
        }
        if buffer.len() > HEAD_LIMIT_BYTES {
            return Err(invalid("request head is too long"));
        }
        if read_more(stream, buffer)? == 0 {
            return Ok(None);
        }
    };
    while buffer.len() < head_bytes + body_bytes {
        if read_more(stream, buffer)? == 0 {
            return Ok(None);
        }
    }
    request.body = buffer[head_bytes..head_bytes + body_bytes].to_vec();
    buffer.drain(..head_bytes + body_bytes);
    Ok(Some(request))
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0; 16 << 10];
    let count = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..count]);
    Ok(count)
}

/// Parses a request head; returns it with the lengths of head and body, or `None` if it is not
/// complete.
fn parse_head(buffer: &[u8]) -> io::Result<Option<(Request, usize, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_LIMIT];
    let mut head = httparse::Request::new(&mut headers);
    let status = head.parse(buffer).map_err(|error| invalid(&error.to_string()))?;
    let httparse::Status::Complete(head_bytes) = status else { return Ok(None) };
    let header = |name: &str| {
        let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.map(|header| String::from_utf8_lossy(header.value).trim().to_ascii_lowercase())
    };
    if header("transfer-encoding").is_some() {
        return Err(invalid("transfer encodings are not supported"));
    }
    let body_bytes = match header("content-length") {
        Some(length) => length.parse().map_err(|_| invalid("malformed content length"))?,
        None => 0,
    };
    if body_bytes > BODY_LIMIT_BYTES {
        return Err(invalid("request body is too long"));
    }
    let (path, query) = head
        .path
        .unwrap_or_default()
        .split_once('?')
        .unwrap_or((head.path.unwrap_or_default(), ""));
    let pairs = query.split('&').filter(|pair| !pair.is_empty());
    let pairs = pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    let request = Request {
        method: head.method.unwrap_or_default().to_owned(),
        path: decode(path),
        query: pairs.map(|(name, value)| (decode(name), decode(value))).collect(),
        body: Vec::new(),
        fence: header("x-flamingorock-fencing-token").and_then(|value| value.parse().ok()),
        keep_alive: header("connection").is_none_or(|value| value != "close"),
    };
    Ok(Some((request, head_bytes, body_bytes)))
}

fn decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

fn write_answer(stream: &mut TcpStream, reply: &Reply) -> io::Result<()> {
    let Reply::Answer(answer) = reply else { return Ok(()) };
    let reason = if answer.status < 400 { "OK" } else { "Error" };
    let mut output = format!(
        "HTTP/1.1 {} {reason}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
        answer.status,
        answer.content_type,
        answer.body.len()
    );
    if let Some(index) = answer.index {
        output.push_str(&format!("X-Consul-Index: {index}\r\n"));
    }
    output.push_str("\r\n");
    let mut output = output.into_bytes();
    output.extend_from_slice(&answer.body);
    stream.write_all(&output)
}

fn invalid(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}
