//! Metrics of the process. They are documented in `docs/metrics.md`, which a test compares with
//! [`NAMES`].

use flamingorock_core::control::ControlCounters;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label of requests and callers that were not served.
#[derive(Clone, Copy, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CodeLabel {
    /// Number of the result code, such as 2001.
    pub code: u16,
}

/// Label of a traffic thread.
#[derive(Clone, Copy, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ThreadLabel {
    /// Index of the thread, from 0.
    pub thread: u8,
}

/// Label of a rank of a service.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RankLabel {
    /// Name of the service in the configuration.
    pub service: String,
    /// Name of the rank in the service.
    pub rank: String,
}

macro_rules! metrics {
    ($($field:ident: $type:ty, $name:literal, $help:literal;)*) => {
        /// Counters and gauges of the process.
        #[derive(Debug, Default)]
        pub struct Metrics {
            $(#[doc = $help] pub $field: $type,)*
        }

        /// Names of all metrics. Counters get the suffix `_total` in the output.
        pub const NAMES: &[&str] = &[$(concat!("flamingorock_", $name)),*];

        impl Metrics {
            fn registry(&self) -> Registry {
                let mut registry = Registry::with_prefix("flamingorock");
                $(registry.register($name, $help, self.$field.clone());)*
                registry
            }
        }
    };
}

metrics! {
    callers: Gauge, "callers",
        "Open connections of callers";
    callers_accepted: Counter, "callers_accepted",
        "Connections of callers accepted";
    callers_refused: Family<CodeLabel, Counter>, "callers_refused",
        "Callers refused or closed, by result code";
    caller_received_bytes: Counter, "caller_received_bytes",
        "Bytes received from callers";
    caller_sent_bytes: Counter, "caller_sent_bytes",
        "Bytes sent to callers";
    requests: Counter, "requests",
        "Requests received from callers";
    answers: Counter, "answers",
        "Answers of backend servers delivered to callers";
    requests_refused: Family<CodeLabel, Counter>, "requests_refused",
        "Requests not answered by a backend server, by result code";
    backend_connections: Gauge, "backend_connections",
        "Open connections to backend servers";
    backend_connects: Counter, "backend_connects",
        "Connections to backend servers opened";
    backend_losses: Counter, "backend_losses",
        "Connections to backend servers not established or lost";
    backend_received_bytes: Counter, "backend_received_bytes",
        "Bytes received from backend servers";
    backend_sent_bytes: Counter, "backend_sent_bytes",
        "Bytes sent to backend servers";
    backend_cancels: Counter, "backend_cancels",
        "Cancel requests sent to backend servers";
    monitor_calls: Counter, "monitor_calls",
        "Calls to database instances over monitor connections";
    monitor_failures: Counter, "monitor_failures",
        "Calls to database instances that failed or timed out";
    link_connects: Counter, "link_connects",
        "Links to other proxies opened";
    link_losses: Counter, "link_losses",
        "Links to other proxies not established or lost";
    link_frames_sent: Counter, "link_frames_sent",
        "Frames sent to other proxies";
    link_frames_received: Counter, "link_frames_received",
        "Frames received from other proxies";
    link_frames_malformed: Counter, "link_frames_malformed",
        "Links closed because of a malformed frame";
    link_sent_bytes: Counter, "link_sent_bytes",
        "Bytes sent to other proxies over TCP";
    link_received_bytes: Counter, "link_received_bytes",
        "Bytes received from other proxies over TCP";
    heartbeats_sent: Counter, "heartbeats_sent",
        "Heartbeats sent";
    heartbeats_received: Counter, "heartbeats_received",
        "Heartbeats received";
    heartbeats_malformed: Counter, "heartbeats_malformed",
        "Malformed datagrams dropped";
    heartbeat_sent_bytes: Counter, "heartbeat_sent_bytes",
        "Bytes of heartbeats sent";
    control_messages_dropped: Counter, "control_messages_dropped",
        "Messages to the control thread dropped because its mailbox was full";
    traffic_ticks: Family<ThreadLabel, Counter>, "traffic_ticks",
        "Ticks of the traffic machine, by thread";
    control_ticks: Counter, "control_ticks",
        "Ticks of the control machine";
    mailbox_waiting: Family<ThreadLabel, Gauge>, "mailbox_waiting",
        "Messages for other threads that wait for room in a mailbox, by sending thread";
    views_published: Counter, "views_published",
        "Views published to the traffic threads";
    configuration_version: Gauge, "configuration_version",
        "Version of the configuration in force, 0 if none";
    store_calls: Counter, "store_calls",
        "Calls to the key-value service";
    store_failures: Counter, "store_failures",
        "Calls to the key-value service that failed";
    host_list_reads: Counter, "host_list_reads",
        "Readings of the host list";
    host_list_failures: Counter, "host_list_failures",
        "Readings of the host list that failed";
    entry_requests: Family<ThreadLabel, Gauge>, "entry_requests",
        "Requests of callers that are not answered, by thread";
    requests_queued: Family<ThreadLabel, Gauge>, "requests_queued",
        "Requests queued in databases served here, by thread";
    requests_running: Family<ThreadLabel, Gauge>, "requests_running",
        "Requests running on backend servers, by thread";
    requests_unconfirmed: Family<ThreadLabel, Gauge>, "requests_unconfirmed",
        "Answers that wait for a confirmation, by thread";
    transactions: Family<ThreadLabel, Gauge>, "transactions",
        "Open transactions in databases served here, by thread";
    control_suspicions: Counter, "control_suspicions",
        "Proxies suspected dead";
    control_claims: Counter, "control_claims",
        "Ownerships claimed through the key-value service";
    control_takeovers: Counter, "control_takeovers",
        "Ownerships taken over with a reserved epoch";
    control_step_downs: Counter, "control_step_downs",
        "Ownerships lost to a higher epoch";
    control_primaries_lost: Counter, "control_primaries_lost",
        "Primaries declared lost";
    control_promotions: Counter, "control_promotions",
        "Primaries promoted";
    control_handover_offers: Counter, "control_handover_offers",
        "Databases offered to their standby";
    control_stalls: Counter, "control_stalls",
        "Delays of this process long enough to distort its view of other hosts";
    control_configurations_refused: Counter, "control_configurations_refused",
        "Configuration documents refused because they do not parse";
    rank_good: Family<RankLabel, Counter>, "rank_good",
        "Requests answered within the target latency, by rank";
    rank_slow: Family<RankLabel, Counter>, "rank_slow",
        "Requests answered later than the target latency, by rank";
    rank_unknown: Family<RankLabel, Counter>, "rank_unknown",
        "Requests with unknown outcome, by rank";
    rank_refused: Family<RankLabel, Counter>, "rank_refused",
        "Requests refused as not run, by rank";
    rank_rolled_back: Family<RankLabel, Counter>, "rank_rolled_back",
        "Requests rolled back by the proxy, by rank";
    rank_abandoned: Family<RankLabel, Counter>, "rank_abandoned",
        "Requests abandoned because the caller disconnected, by rank";
    rank_stale_reads: Family<RankLabel, Counter>, "rank_stale_reads",
        "Answered reads that accepted stale data, by rank";
    rank_replica_reads: Family<RankLabel, Counter>, "rank_replica_reads",
        "Reads served by a replica, by rank";
}

impl Metrics {
    /// Raises the counters of the control state machine to their current values, which never
    /// decrease.
    pub fn update_control_counters(&self, counters: &ControlCounters) {
        let values = [
            (&self.control_suspicions, counters.suspicions),
            (&self.control_claims, counters.claims),
            (&self.control_takeovers, counters.takeovers),
            (&self.control_step_downs, counters.step_downs),
            (&self.control_primaries_lost, counters.primaries_lost),
            (&self.control_promotions, counters.promotions),
            (&self.control_handover_offers, counters.handover_offers),
            (&self.control_stalls, counters.stalls),
            (&self.control_configurations_refused, counters.configurations_refused),
        ];
        for (counter, value) in values {
            counter.inc_by(value.saturating_sub(counter.get()));
        }
    }

    /// All metrics in the text format of Prometheus.
    #[must_use]
    pub fn render(&self) -> String {
        let mut output = String::new();
        text::encode(&mut output, &self.registry()).expect("writing to a string cannot fail");
        output
    }
}
