//! Changes of state that belong in the log.

use derive_more::Display;

use crate::{DatabaseId, HostId, Term};

/// A change of state that belongs in the log.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum StateChange {
    /// A configuration came into force.
    #[display("configuration version {version} is in force")]
    ConfigurationInForce {
        /// Its version.
        version: u64,
    },
    /// A configuration document was refused.
    #[display("configuration version {version} was refused: {reason}")]
    ConfigurationRefused {
        /// Its version.
        version: u64,
        /// Why.
        reason: String,
    },
    /// A peer is suspected dead.
    #[display("host {host} is suspected dead")]
    HostSuspected {
        /// The host.
        host: HostId,
    },
    /// A peer is alive again.
    #[display("host {host} is alive")]
    HostAlive {
        /// The host.
        host: HostId,
    },
    /// This host became owner of a database.
    #[display("database {database}: owned from epoch {epoch}")]
    OwnershipTaken {
        /// The database.
        database: DatabaseId,
        /// The epoch.
        epoch: u32,
    },
    /// This host is no longer the owner of a database.
    #[display("database {database}: no longer owned, epoch {epoch} is newer")]
    OwnershipLost {
        /// The database.
        database: DatabaseId,
        /// The newer epoch.
        epoch: u32,
    },
    /// The primary of a database is lost.
    #[display("database {database}: primary {instance_index} lost ({reason})")]
    PrimaryFailed {
        /// The database.
        database: DatabaseId,
        /// Index of the instance.
        instance_index: u8,
        /// Why it counts as lost.
        reason: &'static str,
    },
    /// A primary was promoted.
    #[display("database {database}: instance {instance_index} is primary of term {term}")]
    PrimaryPromoted {
        /// The database.
        database: DatabaseId,
        /// Index of the instance.
        instance_index: u8,
        /// Its term.
        term: Term,
    },
    /// The configuration no longer has a database that this host owned.
    #[display("database {database}: dropped by the configuration")]
    DatabaseDropped {
        /// The database.
        database: DatabaseId,
    },
    /// An owned database is being moved: the primary to another instance or the ownership to the
    /// standby.
    #[display("database {database}: planned {change} started")]
    TransferStarted {
        /// The database.
        database: DatabaseId,
        /// What is being moved.
        change: &'static str,
    },
    /// A planned change of primary was given up; the primary stays.
    #[display("database {database}: planned promotion given up ({reason})")]
    SwitchoverAbandoned {
        /// The database.
        database: DatabaseId,
        /// Why.
        reason: &'static str,
    },
    /// The key-value service became reachable or unreachable.
    #[display("key-value service {}", if *available { "reachable" } else { "unreachable" })]
    StoreAvailability {
        /// Whether it is reachable.
        available: bool,
    },
}
