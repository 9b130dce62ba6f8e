//! State changes that are written to the log.

use derive_more::Display;

use crate::{DatabaseId, HostId, Term};

/// A state change that is written to the log. The `Display` text is the log message.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum StateChange {
    /// A configuration came into force.
    #[display("configuration version {version} is in force")]
    ConfigurationInForce {
        /// Version of the document, which also orders documents.
        version: u64,
    },
    /// A configuration document was refused.
    #[display("configuration version {version} was refused: {reason}")]
    ConfigurationRefused {
        /// Version of the document, which also orders documents.
        version: u64,
        /// Error of the parser or of the validation.
        reason: String,
    },
    /// No heartbeat of a peer has been received for its suspicion timeout.
    #[display("host {host} is suspected dead")]
    HostSuspected {
        /// Peer concerned.
        host: HostId,
    },
    /// A peer is alive, for the first time or after it was suspected.
    #[display("host {host} is alive")]
    HostAlive {
        /// Peer concerned.
        host: HostId,
    },
    /// This host became owner of a database.
    #[display("database {database}: owned from epoch {epoch}")]
    OwnershipTaken {
        /// Database concerned.
        database: DatabaseId,
        /// Epoch of the new ownership.
        epoch: u32,
    },
    /// This host is no longer the owner of a database.
    #[display("database {database}: no longer owned, epoch {epoch} is newer")]
    OwnershipLost {
        /// Database concerned.
        database: DatabaseId,
        /// Higher epoch, which another host uses.
        epoch: u32,
    },
    /// The primary of an owned database has failed; another one will be promoted.
    #[display("database {database}: primary {instance_index} lost ({reason})")]
    PrimaryFailed {
        /// Database concerned.
        database: DatabaseId,
        /// Index of the failed primary in the configuration.
        instance_index: u8,
        /// Evidence of the failure, as a clause for the log.
        reason: &'static str,
    },
    /// An instance became primary of an owned database.
    #[display("database {database}: instance {instance_index} is primary of term {term}")]
    PrimaryPromoted {
        /// Database concerned.
        database: DatabaseId,
        /// Index of the new primary in the configuration.
        instance_index: u8,
        /// Term under which it was promoted.
        term: Term,
    },
    /// A new configuration no longer contains a database that this host owned.
    #[display("database {database}: dropped by the configuration")]
    DatabaseDropped {
        /// Database concerned.
        database: DatabaseId,
    },
    /// An owned database is being moved: the primary to another instance or the ownership to the
    /// standby.
    #[display("database {database}: planned {change} started")]
    TransferStarted {
        /// Database concerned.
        database: DatabaseId,
        /// `promotion` or `handover`.
        change: &'static str,
    },
    /// A switchover was abandoned; the primary stays.
    #[display("database {database}: planned promotion given up ({reason})")]
    SwitchoverAbandoned {
        /// Database concerned.
        database: DatabaseId,
        /// Cause, as a clause for the log.
        reason: &'static str,
    },
    /// The key-value service became reachable or unreachable.
    #[display("key-value service {}", if *available { "reachable" } else { "unreachable" })]
    StoreAvailability {
        /// Whether it is reachable.
        available: bool,
    },
}
