//! The part of the service configuration that callers' connections use.

use std::sync::Arc;

use flamingorock_core::configuration::Configuration;
use flamingorock_core::traffic::{CallerRequest, SessionParameters, Traffic};
use flamingorock_core::{CallerKey, DatabaseId, RankIndex, ResultCode};
use flamingorock_frontend::{CallerLimits, Greeting, RankList, Request};
use flamingorock_peer::CallerCancel;

/// Ranks and limits of a service.
#[derive(Clone, Debug)]
pub(super) struct ServiceRules {
    pub(super) ranks: Arc<RankList>,
    pub(super) limits: CallerLimits,
    /// Maximum size of a caller's unwritten output: one reply, the previous one while it is still
    /// being written, and 1 MiB more.
    pub(super) output_limit_bytes: usize,
}

/// Rules of the services of the configuration in force.
#[derive(Debug, Default)]
pub(super) struct Rules {
    configuration: Arc<Configuration>,
    services: Vec<ServiceRules>,
}

impl Rules {
    /// Replaces the configuration. Returns `false` if its version is that of the current one.
    pub(super) fn set_configuration(&mut self, configuration: &Arc<Configuration>) -> bool {
        if self.configuration.version == configuration.version {
            return false;
        }
        self.configuration = Arc::clone(configuration);
        let rules = configuration.services.iter().map(|service| {
            let names = service.ranks.iter().map(|rank| rank.name.as_str());
            ServiceRules {
                ranks: Arc::new(RankList::new(names, usize::from(service.default_rank.0))),
                limits: CallerLimits::new(service.max_request_bytes as usize),
                output_limit_bytes: 2 * service.max_answer_bytes as usize + 1024 * 1024,
            }
        });
        self.services = rules.collect();
        true
    }

    /// Rules for callers of a database; `None` if the database is no longer configured.
    pub(super) fn for_database(&self, database: DatabaseId) -> Option<&ServiceRules> {
        self.services.get(self.configuration.database(database)?.service_index)
    }

    /// Opens a session with a database in the machine.
    pub(super) fn open_caller(
        &self,
        machine: &mut Traffic,
        name: &str,
    ) -> Result<(CallerKey, DatabaseId), ResultCode> {
        let database = DatabaseId::from_name(name);
        let is_other = |found: &str| found != name;
        if self.configuration.database(database).is_some_and(|found| is_other(&found.name)) {
            // Another name whose hash gives the same database id.
            return Err(ResultCode::UnknownDatabase);
        }
        Ok((machine.open_caller(SessionParameters { database })?, database))
    }

    /// Builds the data that completes the startup of a new session.
    pub(super) fn greeting(&self, database: DatabaseId, cancel: CallerCancel) -> Greeting {
        let rules = self.for_database(database).cloned();
        let (ranks, limits) = rules
            .map_or_else(|| (Arc::default(), CallerLimits::new(0)), |it| (it.ranks, it.limits));
        let CallerCancel { process_id, secret: secret_key } = cancel;
        Greeting { process_id, secret_key, ranks, limits }
    }

    /// Converts a decoded request to a request to the machine: resolves the rank, and fills in the
    /// service's defaults for what the session does not set.
    pub(super) fn translate_request(
        &self,
        database: DatabaseId,
        request: Request,
        now_us: u64,
    ) -> Result<CallerRequest, ResultCode> {
        let service = self
            .configuration
            .database(database)
            .map(|database| self.configuration.service_of(database));
        let rank = match (service, &request.rank) {
            (Some(service), Some(name)) => {
                service.rank_named(name).ok_or(ResultCode::UnknownRank)?
            }
            (Some(service), None) => service.default_rank,
            // The machine refuses the request, since the database is not configured.
            (None, _) => RankIndex::default(),
        };
        let max_staleness_us = request
            .max_staleness_ms
            .map(|staleness_ms| u64::from(staleness_ms) * 1000)
            .or_else(|| Some(service?.max_staleness_us))
            .unwrap_or_default();
        let deadline_us = request.deadline_ms.map(|limit_ms| now_us + u64::from(limit_ms) * 1000);
        let Request { kind, payload, .. } = request;
        Ok(CallerRequest { kind, rank, max_staleness_us, deadline_us, payload })
    }
}
