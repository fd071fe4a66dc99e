//! Counters, times and beliefs of a gateway, as `/metrics` shows them.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use siskinbend_types::ServiceName;

use crate::metrics::RequestCounters;
use crate::metrics::register;

/// Upper bounds of the times that are counted, in seconds.
const TIMES: [f64; 11] = [0.01, 0.03, 0.06, 0.12, 0.2, 0.4, 0.8, 1.5, 3.0, 8.0, 30.0];

/// A gauge of seconds.
type Seconds = Gauge<f64, AtomicU64>;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// What a gateway believes of one service.
#[derive(Debug)]
pub(super) struct Belief {
    pub service: ServiceName,
    /// Backend servers that are known.
    pub servers: usize,
    /// Streams under way.
    pub running: u32,
    /// Most streams that may be under way, if there is a limit.
    pub limit: Option<u32>,
    /// Age of the oldest load report in seconds.
    pub report_age: f64,
    /// Whether its group runs passes.
    pub open: bool,
}

/// Metrics of one gateway.
#[derive(Debug)]
pub(super) struct Metrics {
    registry: Registry,
    pub requests: RequestCounters,
    /// Time to the first event of a stream.
    pub first: Histogram,
    /// Time between two events of a stream.
    pub pause: Histogram,
    /// Time to the end of the answer.
    pub whole: Histogram,
    config_version: Gauge,
    config_age: Seconds,
    servers: Family<ServiceLabels, Gauge>,
    running: Family<ServiceLabels, Gauge>,
    limit: Family<ServiceLabels, Gauge>,
    report_age: Family<ServiceLabels, Seconds>,
    open: Family<ServiceLabels, Gauge>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("siskinbend");
        let all = &mut registry;
        Metrics {
            requests: RequestCounters::register(all),
            first: add_times(all, "first_event_seconds", "Time to the first event"),
            pause: add_times(all, "pause_seconds", "Time between two events"),
            whole: add_times(all, "answer_seconds", "Time to the end of the answer"),
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

fn add_times(registry: &mut Registry, name: &str, help: &str) -> Histogram {
    let times = Histogram::new(TIMES);
    registry.register(name, help, times.clone());
    times
}

impl Metrics {
    /// Takes over what the gateway believes now; `age` is the time in seconds since the
    /// configuration was confirmed.
    pub fn set_beliefs(&self, version: u64, age: f64, beliefs: &[Belief]) {
        self.config_version.set(version as i64);
        self.config_age.set(age);
        self.forget_services();
        for belief in beliefs {
            let labels = ServiceLabels {
                service: belief.service.to_string(),
            };
            self.servers
                .get_or_create(&labels)
                .set(belief.servers as i64);
            self.running
                .get_or_create(&labels)
                .set(i64::from(belief.running));
            let limit = i64::from(belief.limit.unwrap_or(0));
            self.limit.get_or_create(&labels).set(limit);
            self.report_age
                .get_or_create(&labels)
                .set(belief.report_age);
            self.open.get_or_create(&labels).set(i64::from(belief.open));
        }
    }

    fn forget_services(&self) {
        self.servers.clear();
        self.running.clear();
        self.limit.clear();
        self.report_age.clear();
        self.open.clear();
    }

    /// All metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric can't be written as text.
    pub fn encode(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        prometheus_client::encoding::text::encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
