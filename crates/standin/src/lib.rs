//! Stand-ins for a database instance, the key-value service and the host list.
