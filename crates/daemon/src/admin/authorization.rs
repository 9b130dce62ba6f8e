//! Authorization of operators.

use flamingorock_config::AdminKey;
use subtle::ConstantTimeEq;
use tiny_http::Request;

const SCHEME: &str = "Bearer ";

/// Whether a request carries the admin key. The comparison takes constant time, so that its
/// duration does not reveal how much of a guessed key is right.
pub(super) fn is_authorized(request: &Request, key: &AdminKey) -> bool {
    let header = request.headers().iter().find(|header| header.field.equiv("Authorization"));
    let Some(given) = header.and_then(|header| header.value.as_str().strip_prefix(SCHEME)) else {
        return false;
    };
    given.as_bytes().ct_eq(key.reveal().as_bytes()).into()
}
