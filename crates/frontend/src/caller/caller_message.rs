//! What callers send.

use bytes::Bytes;
use flamingorock_core::ResultCode;

use super::{ProtocolError, Request, StartupRequest};

/// What a caller sent, with the bytes to write where the codec answers by itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerMessage {
    /// The caller opens a session; the daemon accepts or refuses it.
    Startup(StartupRequest),
    /// The caller asks for encryption, which is declined.
    EncryptionRequest {
        /// Bytes to write.
        answer: Bytes,
    },
    /// The caller asks to cancel what runs in another session. The connection is closed afterwards.
    Cancel {
        /// Process id given to the session.
        process_id: i32,
        /// Secret key given to the session.
        secret_key: i32,
    },
    /// A request for a backend server. The next message follows after its answer.
    Request(Request),
    /// The proxy has answered by itself.
    LocalAnswer {
        /// Bytes to write.
        answer: Bytes,
    },
    /// A request is refused and the connection goes on. No part of the request is sent on.
    Refused {
        /// Reason.
        code: ResultCode,
        /// Bytes to write.
        answer: Bytes,
    },
    /// The caller broke the protocol.
    Violation {
        /// What was wrong.
        error: ProtocolError,
        /// Bytes to write.
        answer: Bytes,
        /// Whether the connection goes on; if not, it is closed after the answer.
        goes_on: bool,
    },
    /// The caller ends the session.
    Terminate,
}
