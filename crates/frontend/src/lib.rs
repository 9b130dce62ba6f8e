//! PostgreSQL wire protocol towards callers and backend servers.
