//! Metrics of a gateway.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use siskinbend_types::ServiceName;

use crate::metrics::RequestCounters;
use crate::metrics::register;

/// Bucket bounds of the latency histograms in seconds.
const LATENCY_BUCKETS: [f64; 11] = [0.01, 0.03, 0.06, 0.12, 0.2, 0.4, 0.8, 1.5, 3.0, 8.0, 30.0];

/// Gauge of a duration in seconds.
type SecondsGauge = Gauge<f64, AtomicU64>;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// Current state of one service, as shown by the gauges.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub service: ServiceName,
    /// Number of known backend servers.
    pub servers: usize,
    /// Number of streams in flight.
    pub running: u32,
    /// Maximum number of streams in flight, if there is a limit.
    pub limit: Option<u32>,
    /// Age of the oldest load report in seconds.
    pub report_age: f64,
    /// Whether the group behind the service runs passes.
    pub open: bool,
}

/// Metrics of one gateway.
#[derive(Debug)]
pub(super) struct Metrics {
    registry: Registry,
    pub requests: RequestCounters,
    /// Time to the first event of a stream.
    pub first_event: Histogram,
    /// Time between two events of a stream.
    pub event_gap: Histogram,
    /// Time to the end of the response.
    pub total: Histogram,
    /// Crashes of backend servers.
    pub crashes: Counter,
    /// Gateways that share the request limits of backend servers.
    pub gateways: Gauge,
    /// Backend servers that name a request limit.
    pub limited_servers: Gauge,
    /// Cold backend servers, which get few requests.
    pub cold_servers: Gauge,
    /// Blocked parts of prompts.
    pub blocked_parts: Gauge,
    /// Blocked requests.
    pub blocked_requests: Gauge,
    /// History of the store.
    pub timeline: Gauge,
    config_version: Gauge,
    config_age: SecondsGauge,
    servers: Family<ServiceLabels, Gauge>,
    running: Family<ServiceLabels, Gauge>,
    limit: Family<ServiceLabels, Gauge>,
    report_age: Family<ServiceLabels, SecondsGauge>,
    open: Family<ServiceLabels, Gauge>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("siskinbend");
        let all = &mut registry;
        Metrics {
            requests: RequestCounters::register(all),
            first_event: register_latency(all, "first_event_seconds", "Time to the first event"),
            event_gap: register_latency(all, "pause_seconds", "Time between two events"),
            total: register_latency(all, "answer_seconds", "Time to the end of the answer"),
            crashes: register(all, "server_crashes", "Crashes of backend servers"),
            gateways: register(all, "gateways", "Gateways that share request limits"),
            limited_servers: register(all, "limited_servers", "Servers with a request limit"),
            cold_servers: register(all, "cold_servers", "Servers that have just started"),
            blocked_parts: register(all, "blocked_prompt_parts", "Blocked parts of prompts"),
            blocked_requests: register(all, "blocked_requests", "Blocked requests"),
            timeline: register(all, "store_timeline", "History of the store"),
            config_version: register(all, "config_version", "Version in force"),
            config_age: register(all, "config_age_seconds", "Time since it was confirmed"),
            servers: register(all, "servers", "Known backend servers"),
            running: register(all, "streams", "Streams under way"),
            limit: register(all, "streams_limit", "Most streams, 0 for no limit"),
            report_age: register(all, "report_age_seconds", "Oldest load report"),
            open: register(all, "group_open", "1 if the group runs passes"),
            registry,
        }
    }
}

fn register_latency(registry: &mut Registry, name: &str, help: &str) -> Histogram {
    let histogram = Histogram::new(LATENCY_BUCKETS);
    registry.register(name, help, histogram.clone());
    histogram
}

impl Metrics {
    /// Sets the gauges to the current state; `age` is the time in seconds since the configuration
    /// was confirmed.
    pub fn update_gauges(&self, version: u64, age: f64, states: &[ServiceState]) {
        self.config_version.set(version as i64);
        self.config_age.set(age);
        self.clear_services();
        for state in states {
            let labels = ServiceLabels {
                service: state.service.to_string(),
            };
            self.servers
                .get_or_create(&labels)
                .set(state.servers as i64);
            self.running
                .get_or_create(&labels)
                .set(i64::from(state.running));
            let limit = i64::from(state.limit.unwrap_or(0));
            self.limit.get_or_create(&labels).set(limit);
            self.report_age.get_or_create(&labels).set(state.report_age);
            self.open.get_or_create(&labels).set(i64::from(state.open));
        }
    }

    fn clear_services(&self) {
        self.servers.clear();
        self.running.clear();
        self.limit.clear();
        self.report_age.clear();
        self.open.clear();
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be formatted.
    pub fn encode(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        prometheus_client::encoding::text::encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
