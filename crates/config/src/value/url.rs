//! `http://IP:PORT` as a kind of value.

use super::{ServiceUrl, ValueKind};

/// `http://IP:PORT`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Url;

impl ValueKind for Url {
    type Value = ServiceUrl;

    fn parse(&self, text: &str) -> Option<ServiceUrl> {
        ServiceUrl::parse(text)
    }

    fn allowed(&self) -> String {
        "http://IP:PORT with the IP number of a host and a port from 1 to 65535".to_owned()
    }
}
