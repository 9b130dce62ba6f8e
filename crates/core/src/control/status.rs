//! State of the control machine for the administration port.

use serde::Serialize;

use super::tables::{Host, HostState, InstanceState, OwnedDatabase, Phase, Tables};
use crate::configuration::Database;
use crate::{HostId, InstanceRole, Position, Term};

/// State of the control machine for the administration port.
#[derive(Clone, Debug, Serialize)]
pub struct ControlStatus {
    /// This host.
    pub host: HostId,
    /// Version of the configuration in force, 0 before the first.
    pub configuration_version: u64,
    /// Whether the last call to the key-value service was answered.
    pub store_available: bool,
    /// Whether this proxy is shutting down.
    pub draining: bool,
    /// Peers, sorted by number.
    pub hosts: Vec<HostStatus>,
    /// Databases of the configuration, sorted by identity.
    pub databases: Vec<DatabaseStatus>,
}

/// State of a peer.
#[derive(Clone, Debug, Serialize)]
pub struct HostStatus {
    /// The peer.
    pub host: HostId,
    /// `unknown`, `alive`, `draining` or `suspected`.
    pub state: &'static str,
    /// Age of its last heartbeat, `None` before the first.
    pub heard_ms: Option<u64>,
    /// Version of the configuration in force at the peer.
    pub configuration_version: u64,
}

/// State of a database.
#[derive(Clone, Debug, Serialize)]
pub struct DatabaseStatus {
    /// Name.
    pub name: String,
    /// Owner as far as known.
    pub owner: Option<HostId>,
    /// Highest epoch seen.
    pub epoch: u32,
    /// Standby as far as known.
    pub standby: Option<HostId>,
    /// Details, if this host is the owner.
    pub owned: Option<OwnedStatus>,
}

/// Details of a database that this host owns.
#[derive(Clone, Debug, Serialize)]
pub struct OwnedStatus {
    /// Term in use.
    pub term: Term,
    /// `fencing`, `promoting`, `resolving` or `open`.
    pub phase: &'static str,
    /// Name of the primary while the database is open.
    pub primary: Option<String>,
    /// Whether new work is admitted.
    pub admits: bool,
    /// Whether the ownership record in the key-value service shows this ownership.
    pub record_written: bool,
    /// Instances in the order of the configuration.
    pub instances: Vec<InstanceStatus>,
}

/// State of a database instance as its owner sees it.
#[derive(Clone, Debug, Serialize)]
pub struct InstanceStatus {
    /// Name.
    pub name: String,
    /// Role in its last report.
    pub role: Option<InstanceRole>,
    /// Position in its last report.
    pub position: Option<Position>,
    /// Accepted term in its last report.
    pub accepted_term: Option<Term>,
    /// Age of its last report.
    pub report_age_ms: Option<u64>,
    /// Whether it answers.
    pub answers: bool,
    /// Whether it is on a leaving host.
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
