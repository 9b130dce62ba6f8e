//! Limits of a caller's connection.

/// Limits of a caller's connection.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Greatest size of a request, which is also the greatest size of one message.
    pub max_request_bytes: usize,
    /// Greatest number of prepared statements kept.
    pub max_statements: usize,
    /// Greatest total size of the prepared statements kept.
    pub max_statement_bytes: usize,
}

impl CallerLimits {
    /// Limits with a given size of requests and the usual limits of prepared statements.
    #[must_use]
    pub fn new(max_request_bytes: usize) -> Self {
        Self {
            max_request_bytes,
            // A driver caches about 256 statements for a connection; 4 MiB bound the memory that
            // the 6,000 callers of a process can take up by this.
            max_statements: 1_000,
            max_statement_bytes: 4 * 1024 * 1024,
        }
    }
}
