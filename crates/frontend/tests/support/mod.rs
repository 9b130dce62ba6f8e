//! Builders and readable dumps of protocol messages.

#![allow(dead_code, reason = "each test file uses a part of the module")]

pub(crate) mod random;
pub(crate) mod server;

use std::sync::Arc;

use bytes::Bytes;
use flamingorock_core::TransactionStatus;
use flamingorock_frontend::{
    CallerCodec, CallerLimits, CallerMessage, Greeting, RankList, Refusal, StartupRequest,
};

/// Encodes a message with a type byte.
pub(crate) fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 4).expect("short body");
    [&[tag], &length.to_be_bytes()[..], body].concat()
}

/// Encodes a startup packet.
pub(crate) fn startup(code: u32, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 8).expect("short body");
    [&length.to_be_bytes()[..], &code.to_be_bytes()[..], body].concat()
}

pub(crate) fn query(sql: &str) -> Vec<u8> {
    message(b'Q', format!("{sql}\0").as_bytes())
}

pub(crate) fn parse(name: &str, sql: &str) -> Vec<u8> {
    message(b'P', format!("{name}\0{sql}\0\0\0").as_bytes())
}

pub(crate) fn bind(portal: &str, name: &str) -> Vec<u8> {
    message(b'B', format!("{portal}\0{name}\0\0\0\0\x01\0\0\0\x017\0\0").as_bytes())
}

pub(crate) fn describe(what: char, name: &str) -> Vec<u8> {
    message(b'D', format!("{what}{name}\0").as_bytes())
}

pub(crate) fn execute(portal: &str) -> Vec<u8> {
    message(b'E', format!("{portal}\0\0\0\0\0").as_bytes())
}

pub(crate) fn close(what: char, name: &str) -> Vec<u8> {
    message(b'C', format!("{what}{name}\0").as_bytes())
}

pub(crate) fn sync() -> Vec<u8> {
    message(b'S', b"")
}

pub(crate) fn flush() -> Vec<u8> {
    message(b'H', b"")
}

/// Encodes an answer from the types of its messages, with placeholder bodies. `Z` ends it outside of
/// a transaction.
pub(crate) fn answer(tags: &str) -> Vec<u8> {
    tags.bytes()
        .flat_map(|tag| match tag {
            b'Z' => message(b'Z', b"I"),
            b'D' => message(b'D', b"\0\x01\0\0\0\x017"),
            b'C' => message(b'C', b"SELECT 1\0"),
            b'E' => message(b'E', b"SERROR\0C42P01\0Mno such table\0\0"),
            b'T' => message(b'T', b"\0\0"),
            b't' => message(b't', b"\0\0"),
            b'N' => message(b'N', b"SNOTICE\0Mhello\0\0"),
            b'S' => message(b'S', b"TimeZone\0UTC\0"),
            _ => message(tag, b""),
        })
        .collect()
}

/// Prints each message as its type and its body.
pub(crate) fn dump(bytes: &[u8]) -> String {
    let mut text = String::new();
    let mut rest = bytes;
    while let [tag, a, b, c, d, ..] = rest {
        let size = u32::from_be_bytes([*a, *b, *c, *d]) as usize + 1;
        let Some((message, following)) = rest.split_at_checked(size) else { break };
        text += &format!("  {} {}\n", char::from(*tag), message[5..].escape_ascii());
        rest = following;
    }
    if !rest.is_empty() {
        text += &format!("  bytes {}\n", rest.escape_ascii());
    }
    text
}

/// Prints a decoded message with the bytes in it.
pub(crate) fn describe_message(message: &CallerMessage) -> String {
    match message {
        CallerMessage::Startup(startup) => format!("{startup:?}\n"),
        CallerMessage::EncryptionRequest { answer } => {
            format!("encryption request, answer {}\n", answer.escape_ascii())
        }
        CallerMessage::Cancel { process_id, secret_key } => {
            format!("cancel {process_id} {secret_key}\n")
        }
        CallerMessage::Request(request) => format!(
            "request {:?} rank {:?} staleness {:?} deadline {:?}\n{}",
            request.kind,
            request.rank,
            request.max_staleness_ms,
            request.deadline_ms,
            dump(&request.payload)
        ),
        CallerMessage::LocalAnswer { answer } => format!("local answer\n{}", dump(answer)),
        CallerMessage::Refused { code, answer } => format!("refused {code:?}\n{}", dump(answer)),
        CallerMessage::Violation { error, answer, goes_on } => {
            format!("violation {error:?}, goes on: {goes_on}\n{}", dump(answer))
        }
        CallerMessage::Terminate => "terminate\n".to_owned(),
    }
}

pub(crate) fn ranks() -> Arc<RankList> {
    Arc::new(RankList::new(["urgent", "normal", "background"], 1))
}

pub(crate) fn greeting(max_request_bytes: usize) -> Greeting {
    Greeting {
        process_id: 7,
        secret_key: 99,
        ranks: ranks(),
        limits: CallerLimits::new(max_request_bytes),
    }
}

/// A caller's connection with a log of what happens on it.
pub(crate) struct Caller {
    pub(crate) codec: CallerCodec,
    pub(crate) log: String,
}

impl Caller {
    /// Opens a session with a limit of 1,000 bytes for requests.
    pub(crate) fn open() -> Self {
        Self::open_with_limit(1_000)
    }

    pub(crate) fn open_with_limit(max_request_bytes: usize) -> Self {
        let mut caller = Self { codec: CallerCodec::new(), log: String::new() };
        caller.codec.receive(&startup(0x3_0000, b"user\0ada\0\0"));
        let Some(CallerMessage::Startup(startup)) = caller.codec.next_message() else {
            panic!("the startup is well formed");
        };
        caller.codec.accept(&startup, &greeting(max_request_bytes)).expect("there are no options");
        caller
    }

    /// Passes in the given messages and logs what is handed out.
    pub(crate) fn send(&mut self, messages: &[Vec<u8>]) -> &mut Self {
        let bytes = messages.concat();
        assert_eq!(self.codec.receive(&bytes), bytes.len(), "the codec has room for the test");
        self.drain()
    }

    /// Delivers an answer with the given message types and logs what the caller gets.
    pub(crate) fn answer(&mut self, tags: &str) -> &mut Self {
        let mut parts: Vec<Bytes> = Vec::new();
        let answer = Bytes::from(answer(tags));
        match self.codec.deliver(answer, TransactionStatus::Idle, &mut parts) {
            Ok(()) => {
                self.log +=
                    &format!("delivered in {} parts\n{}", parts.len(), dump(&parts.concat()));
            }
            Err(error) => self.log += &format!("{error}\n"),
        }
        self.drain()
    }

    /// Refuses the request in flight and logs what the caller gets.
    pub(crate) fn refuse(&mut self, refusal: &Refusal, status: TransactionStatus) -> &mut Self {
        let bytes = self.codec.refuse(refusal, status);
        self.log += &format!("refused by the daemon\n{}", dump(&bytes));
        self.drain()
    }

    fn drain(&mut self) -> &mut Self {
        while let Some(message) = self.codec.next_message() {
            self.log += &describe_message(&message);
        }
        self
    }
}

/// Accepts a startup with the given options and prints the greeting or the refusal.
pub(crate) fn accept_with_options(options: &str) -> String {
    let mut codec = CallerCodec::new();
    let startup = StartupRequest { options: options.to_owned(), ..StartupRequest::default() };
    match codec.accept(&startup, &greeting(1_000)) {
        Ok(bytes) => format!("{:?}\n{}", codec.settings(), dump(&bytes)),
        Err(refusal) => dump(&refusal.encode_fatal()),
    }
}
