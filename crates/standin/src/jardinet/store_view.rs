//! The store as one reader sees it: the addresses in its items lead through relays.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use super::store::Store;
use crate::http::{self, Answer, Reply};
use crate::server::Server;

/// The store at an address of its own, with some values replaced. Stops when it is dropped.
pub struct StoreView {
    server: Server,
}

impl StoreView {
    pub(super) fn start<T>(
        store: Arc<Store>,
        listener: TcpListener,
        translate: T,
    ) -> io::Result<Self>
    where
        T: Fn(&str, &[u8]) -> Option<Vec<u8>> + Send + Sync + 'static,
    {
        let server = Server::spawn(listener, move |stream| {
            http::serve(stream, |call| translate_reply(store.handle(call), &translate));
        })?;
        Ok(Self { server })
    }

    /// Address at which the store is served.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

fn translate_reply(reply: Reply, translate: &impl Fn(&str, &[u8]) -> Option<Vec<u8>>) -> Reply {
    let Reply::Answer(Answer { status, body, content_type, index }) = reply else { return reply };
    let Ok(mut value) = serde_json::from_slice::<Value>(&body) else {
        return Reply::Answer(Answer { status, body, content_type, index });
    };
    for list in ["items", "events"] {
        for row in value[list].as_array_mut().into_iter().flatten() {
            translate_row(row, translate);
        }
    }
    translate_row(&mut value, translate);
    Reply::json_with_status(status, &value)
}

fn translate_row(row: &mut Value, translate: &impl Fn(&str, &[u8]) -> Option<Vec<u8>>) {
    let (Some(key), Some(value)) = (row["key"].as_str(), row["value"].as_str()) else { return };
    let Ok(bytes) = STANDARD.decode(value) else { return };
    if let Some(translated) = translate(key, &bytes) {
        row["value"] = json!(STANDARD.encode(translated));
    }
}
