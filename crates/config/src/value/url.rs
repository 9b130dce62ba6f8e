//! URLs of HTTP services as values of keys.

use super::{ServiceUrl, ValueKind};

/// A [`ServiceUrl`].
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
