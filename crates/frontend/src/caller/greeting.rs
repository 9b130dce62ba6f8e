//! The greeting of a new session.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use flamingorock_core::TransactionStatus;
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};

use super::{CallerLimits, RankList};
use crate::wire;

/// Settings that are in force for every session.
const FIXED_PARAMETERS: [(&str, &str); 7] = [
    ("server_version", "15.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
    ("TimeZone", "UTC"),
];

/// What the daemon gives a new session.
#[derive(Clone, Debug)]
pub struct Greeting {
    /// Process id by which the session can be cancelled.
    pub process_id: i32,
    /// Secret key that goes with the process id.
    pub secret_key: i32,
    /// Ranks of the service.
    pub ranks: Arc<RankList>,
    /// Limits of the service.
    pub limits: CallerLimits,
}

impl Greeting {
    pub(crate) fn encode(&self, application_name: &str) -> Bytes {
        let mut buffer = BytesMut::with_capacity(512);
        wire::append(&Authentication::Ok, &mut buffer);
        for (name, value) in FIXED_PARAMETERS {
            wire::append(&ParameterStatus::new(name.to_owned(), value.to_owned()), &mut buffer);
        }
        wire::append(&application_name_status(application_name), &mut buffer);
        let key = BackendKeyData::new(self.process_id, SecretKey::I32(self.secret_key));
        wire::append(&key, &mut buffer);
        wire::append(&wire::ready_for_query(TransactionStatus::Idle), &mut buffer);
        buffer.freeze()
    }
}

/// Reports the application name in force.
pub(crate) fn application_name_status(name: &str) -> ParameterStatus {
    ParameterStatus::new("application_name".to_owned(), name.to_owned())
}
