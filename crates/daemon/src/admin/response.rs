//! Responses of the admin port.

/// Response to an HTTP request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct AdminResponse {
    pub(super) status: u16,
    pub(super) content_type: &'static str,
    pub(super) body: String,
}

impl AdminResponse {
    pub(super) fn text(status: u16, body: &str) -> Self {
        let content_type = "text/plain; charset=utf-8";
        Self { status, content_type, body: format!("{body}\n") }
    }

    pub(super) fn json(body: String) -> Self {
        Self { status: 200, content_type: "application/json", body }
    }

    pub(super) fn metrics(body: String) -> Self {
        let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        Self { status: 200, content_type, body }
    }
}
