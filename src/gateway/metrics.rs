//! Metrics of a gateway.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use siskinbend_site::ZoneStatus;
use siskinbend_site::evacuation::ZoneState;

use super::fleet::ServiceState;
use super::ignored_headers::IgnoredHeaders;
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

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ZoneLabels {
    zone: String,
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
    /// Time that a stream waited for a place under the limit.
    pub wait: Histogram,
    /// Crashes of backend servers.
    pub crashes: Counter,
    /// Gateways that share the request limits of backend servers.
    pub gateways: Gauge,
    /// Backend servers that name a request limit.
    pub limited_servers: Gauge,
    /// Backend servers that say that they are leaving.
    pub leaving_servers: Gauge,
    /// Backend servers that have asked for a pause.
    pub paused_servers: Gauge,
    /// Malformed headers of backend servers.
    pub ignored_headers: IgnoredHeaders,
    /// Cold backend servers, which get few requests.
    pub cold_servers: Gauge,
    /// Blocked parts of prompts.
    pub blocked_parts: Gauge,
    /// Blocked requests.
    pub blocked_requests: Gauge,
    /// Standstills of groups.
    pub standstills: Counter,
    /// Refused streams whose callers were given a time with capacity.
    pub booked_returns: Counter,
    /// Refused streams whose callers were given a random time, because none had capacity.
    pub unbooked_returns: Counter,
    /// History of the store.
    pub timeline: Gauge,
    config_version: Gauge,
    config_age: SecondsGauge,
    servers: Family<ServiceLabels, Gauge>,
    running: Family<ServiceLabels, Gauge>,
    limit: Family<ServiceLabels, Gauge>,
    waiting: Family<ServiceLabels, Gauge>,
    report_age: Family<ServiceLabels, SecondsGauge>,
    open: Family<ServiceLabels, Gauge>,
    zones: Family<ZoneLabels, Gauge>,
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
            wait: register_latency(all, "wait_seconds", "Time in the queue of the gateway"),
            crashes: register(all, "server_crashes", "Crashes of backend servers"),
            gateways: register(all, "gateways", "Gateways that share request limits"),
            limited_servers: register(all, "limited_servers", "Servers with a request limit"),
            leaving_servers: register(all, "leaving_servers", "Servers that say that they leave"),
            paused_servers: register(all, "paused_servers", "Servers that asked for a pause"),
            ignored_headers: register(all, "ignored_headers", "Malformed headers of servers"),
            cold_servers: register(all, "cold_servers", "Servers that have just started"),
            blocked_parts: register(all, "blocked_prompt_parts", "Blocked parts of prompts"),
            blocked_requests: register(all, "blocked_requests", "Blocked requests"),
            standstills: register(all, "group_standstills", "Standstills of groups"),
            booked_returns: register(all, "booked_returns", "Refusals with a booked time"),
            unbooked_returns: register(all, "unbooked_returns", "Refusals without a booked time"),
            timeline: register(all, "store_timeline", "History of the store"),
            config_version: register(all, "config_version", "Version in force"),
            config_age: register(all, "config_age_seconds", "Time since it was confirmed"),
            servers: register(all, "servers", "Known backend servers"),
            running: register(all, "streams", "Streams under way"),
            limit: register(all, "streams_limit", "Most streams, 0 for no limit"),
            waiting: register(all, "waiting_requests", "Streams that wait for a place"),
            report_age: register(all, "report_age_seconds", "Oldest load report"),
            open: register(all, "group_open", "1 if the group runs passes"),
            zones: register(
                all,
                "zone_state",
                "0 open, 1 evacuating, 2 empty, 3 warming",
            ),
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
            self.waiting
                .get_or_create(&labels)
                .set(state.waiting as i64);
            self.report_age.get_or_create(&labels).set(state.report_age);
            self.open.get_or_create(&labels).set(i64::from(state.open));
        }
    }

    /// Sets the gauge of each availability zone.
    pub fn update_zones(&self, zones: &[ZoneStatus]) {
        self.zones.clear();
        for status in zones {
            let labels = ZoneLabels {
                zone: status.zone.to_string(),
            };
            let value = match status.state {
                ZoneState::Open => 0,
                ZoneState::Evacuating => 1,
                ZoneState::Empty => 2,
                ZoneState::Warming => 3,
            };
            self.zones.get_or_create(&labels).set(value);
        }
    }

    fn clear_services(&self) {
        self.servers.clear();
        self.running.clear();
        self.limit.clear();
        self.waiting.clear();
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
