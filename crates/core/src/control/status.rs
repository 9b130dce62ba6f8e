//! Status report of the control-plane state machine for the administration port.

use serde::Serialize;

use super::tables::{Host, HostState, InstanceState, OwnedDatabase, Phase, Tables};
use crate::configuration::Database;
use crate::{HostId, InstanceRole, Position, Term};

/// Status of the control-plane state machine, serialised under these field names.
#[derive(Clone, Debug, Serialize)]
pub struct ControlStatus {
    /// Host that reports.
    pub host: HostId,
    /// Version of the configuration in force, 0 before the first.
    pub configuration_version: u64,
    /// Whether the last call to the key-value service got a response.
    pub store_available: bool,
    /// Whether this proxy is shutting down.
    pub draining: bool,
    /// Peers, sorted by number.
    pub hosts: Vec<HostStatus>,
    /// Databases of the configuration, sorted by identity.
    pub databases: Vec<DatabaseStatus>,
}

/// What this host knows of a peer.
#[derive(Clone, Debug, Serialize)]
pub struct HostStatus {
    /// Peer that the entry describes.
    pub host: HostId,
    /// `unknown`, `alive`, `draining` or `suspected`.
    pub state: &'static str,
    /// Age in milliseconds of the last heartbeat from the peer, `None` before the first.
    pub heard_ms: Option<u64>,
    /// Version in force at the peer as of its last heartbeat, 0 before the first.
    pub configuration_version: u64,
}

/// What this host knows of a database in the configuration.
#[derive(Clone, Debug, Serialize)]
pub struct DatabaseStatus {
    /// Name in the configuration.
    pub name: String,
    /// Last known owner; `None` if unknown.
    pub owner: Option<HostId>,
    /// Highest owner epoch seen, 0 before the first.
    pub epoch: u32,
    /// Last known standby; `None` if unknown.
    pub standby: Option<HostId>,
    /// Details that only the owner has; `None` on other hosts.
    pub owned: Option<OwnedStatus>,
}

/// Details of a database that this host owns.
#[derive(Clone, Debug, Serialize)]
pub struct OwnedStatus {
    /// Term of the primary, or of the promotion in progress.
    pub term: Term,
    /// `fencing`, `promoting`, `resolving` or `open`.
    pub phase: &'static str,
    /// Name of the primary; `None` while a promotion is in progress.
    pub primary: Option<String>,
    /// Whether new work is admitted: `false` during a switchover or a handover.
    pub admits: bool,
    /// Whether the ownership record in the key-value service shows this ownership.
    pub record_written: bool,
    /// Instances in the order of the configuration.
    pub instances: Vec<InstanceStatus>,
}

/// What the owner of a database knows of an instance.
#[derive(Clone, Debug, Serialize)]
pub struct InstanceStatus {
    /// Name in the configuration.
    pub name: String,
    /// Role in its last report; this and the next three are `None` before the first report.
    pub role: Option<InstanceRole>,
    /// Position in the replication log in its last report.
    pub position: Option<Position>,
    /// Highest term that it had accepted, in its last report.
    pub accepted_term: Option<Term>,
    /// Age of its last report in milliseconds.
    pub report_age_ms: Option<u64>,
    /// Whether it has responded to the latest status calls.
    pub answers: bool,
    /// Whether it is on a host that the platform's list marks as leaving.
    pub leaving: bool,
}

impl ControlStatus {
    pub(crate) fn from_tables(tables: &Tables) -> Self {
        let databases = &tables.configuration.current.databases;
        Self {
            host: tables.config.host,
            configuration_version: tables.configuration.current.version,
            store_available: tables.store_available,
            draining: tables.draining,
            hosts: host_statuses(tables),
            databases: databases.iter().map(|entry| database_status(tables, entry)).collect(),
        }
    }
}

fn host_statuses(tables: &Tables) -> Vec<HostStatus> {
    let status = |(host, row): (HostId, &Host)| HostStatus {
        host,
        state: match row.state {
            HostState::Unknown => "unknown",
            HostState::Alive if row.draining => "draining",
            HostState::Alive => "alive",
            HostState::Suspected => "suspected",
        },
        heard_ms: row.last_heartbeat_at_us.map(|at_us| age_ms(tables, at_us)),
        configuration_version: row.configuration_version,
    };
    tables.hosts.iter().map(status).collect()
}

fn age_ms(tables: &Tables, at_us: u64) -> u64 {
    tables.now_us.saturating_sub(at_us) / 1_000
}

fn database_status(tables: &Tables, entry: &Database) -> DatabaseStatus {
    let route = tables.routes.get(&entry.id);
    let owned = tables.owned.get(&entry.id);
    DatabaseStatus {
        name: entry.name.clone(),
        owner: route.and_then(|route| route.owner),
        epoch: route.map_or(0, |route| route.epoch),
        standby: route.and_then(|route| route.standby),
        owned: owned.map(|owned| owned_status(tables, entry, owned)),
    }
}

fn owned_status(tables: &Tables, entry: &Database, owned: &OwnedDatabase) -> OwnedStatus {
    let name_of = |index: u8| entry.instances.get(usize::from(index)).map(|i| i.name.clone());
    let leaving = tables.leaving_indices(entry.id);
    let rows = owned.indices().zip(&owned.instances);
    OwnedStatus {
        term: owned.term,
        phase: match owned.phase {
            Phase::Fencing { .. } => "fencing",
            Phase::Promoting { .. } => "promoting",
            Phase::Resolving { .. } => "resolving",
            Phase::Open { .. } => "open",
        },
        primary: owned.primary().and_then(name_of),
        admits: owned.admits(),
        record_written: owned.record_written,
        instances: rows
            .map(|(index, state)| {
                let name = name_of(index).unwrap_or_default();
                instance_status(tables, name, state, leaving.contains(&index))
            })
            .collect(),
    }
}

fn instance_status(
    tables: &Tables,
    name: String,
    state: &InstanceState,
    leaving: bool,
) -> InstanceStatus {
    InstanceStatus {
        name,
        role: state.report.map(|report| report.role),
        position: state.report.map(|report| report.position),
        accepted_term: state.report.map(|report| report.accepted_term),
        report_age_ms: state.report.map(|_| age_ms(tables, state.reported_at_us)),
        answers: state.is_responsive(),
        leaving,
    }
}
