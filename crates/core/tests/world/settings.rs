//! Settings of a simulation run.

use flamingorock_core::configuration::{
    Configuration, Database, Durability, Instance, Rank, Service,
};
use flamingorock_core::{DatabaseId, RankIndex};

use super::OperationMix;

/// A bug to inject, to prove that a check detects it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InjectedBug {
    /// Probes always report the term that the probing host expects.
    SkipTermCheck,
    /// Probes always report the primary's position, also for replicas that are behind it.
    SkipPositionCheck,
    /// Some requests are sent twice: a delivered request is reported to its sender as not sent.
    ResendDeliveredRequests,
    /// Some responses go to the caller with the previous number.
    MisrouteReplies,
    /// Resets of a connection leave its transaction open.
    KeepTransactionOnReset,
    /// Some responses are replaced by a refusal as not run.
    RefuseExecutedRequests,
}

/// Parameters of a run. Every database has the same settings and three instances.
#[derive(Clone, Debug)]
pub struct Settings {
    pub seed: u64,
    pub hosts: usize,
    pub databases: usize,
    pub slots: u16,
    pub connections: u16,
    /// Replication lag of each replica.
    pub lag_us: u64,
    /// Mean of the exponentially distributed service time of a statement.
    pub service_time_us: u64,
    /// Number of callers, spread evenly over the databases and hosts.
    pub callers: u32,
    /// Mean of the exponentially distributed pause between two operations of a caller.
    pub think_time_us: u64,
    pub mix: OperationMix,
    pub durability: Durability,
    /// Loses the response to the next promotion.
    pub lose_promote_response: bool,
    pub max_staleness_us: u64,
    pub injected_bug: Option<InjectedBug>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: 1,
            hosts: 5,
            databases: 1,
            slots: 2,
            connections: 16,
            lag_us: 10_000,
            service_time_us: 1_000,
            callers: 12,
            think_time_us: 20_000,
            mix: OperationMix::default(),
            durability: Durability::Replica,
            lose_promote_response: false,
            max_staleness_us: 2_000_000,
            injected_bug: None,
        }
    }
}

impl Settings {
    pub fn configuration(&self, version: u64) -> Configuration {
        let mut databases: Vec<Database> =
            (0..self.databases).map(|index| self.database(index)).collect();
        databases.sort_by_key(|database| database.id);
        Configuration { version, services: vec![self.service()], databases }
    }

    fn service(&self) -> Service {
        let rank = |name: &str, floor_percent| Rank {
            name: name.to_owned(),
            target_latency_us: 250_000,
            target_fraction: 0.99,
            floor_percent,
            worth: 1,
            deadline_us: 5_000_000,
        };
        Service {
            name: "ledger-commun".to_owned(),
            durability: self.durability,
            max_staleness_us: self.max_staleness_us,
            ranks: vec![rank("urgent", 20), rank("normal", 10), rank("background", 10)],
            default_rank: RankIndex(1),
            queue_limit: 1_000,
            callers_limit: 10_000,
            max_request_bytes: 1_000_000,
            max_answer_bytes: 1_000_000,
            idle_transaction_us: 30_000_000,
        }
    }

    fn database(&self, index: usize) -> Database {
        let name = format!("ledger-{}", index + 1);
        let instance = |number: usize| Instance {
            name: ["a", "b", "c"][number].to_owned(),
            address: ([127, 0, 0, 1], (7_000 + 10 * index + number) as u16).into(),
            data_centre: ["port-louis", "curepipe", "mahebourg"][number].to_owned(),
            slots: self.slots,
            connections: self.connections,
        };
        Database {
            id: DatabaseId::from_name(&name),
            name,
            service_index: 0,
            instances: (0..3).map(instance).collect(),
        }
    }
}
