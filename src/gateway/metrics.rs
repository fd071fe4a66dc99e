//! Counters, times and beliefs of a gateway, as `/metrics` shows them.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use siskinbend_types::Outcome;
use siskinbend_types::Reason;
use siskinbend_types::ServiceName;

use crate::metrics::ReasonLabels;
use crate::metrics::RequestLabels;

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
    requests: Family<RequestLabels, Counter>,
    refusals: Family<ReasonLabels, Counter>,
    retries: Family<ReasonLabels, Counter>,
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
        let metrics = Metrics {
            registry: Registry::with_prefix("siskinbend"),
            requests: Family::default(),
            refusals: Family::default(),
            retries: Family::default(),
            first: Histogram::new(TIMES),
            pause: Histogram::new(TIMES),
            whole: Histogram::new(TIMES),
            config_version: Gauge::default(),
            config_age: Seconds::default(),
            servers: Family::default(),
            running: Family::default(),
            limit: Family::default(),
            report_age: Family::default(),
            open: Family::default(),
        };
        metrics.register()
    }
}

impl Metrics {
    fn register(mut self) -> Metrics {
        let all = &mut self.registry;
        all.register("requests", "Finished requests", self.requests.clone());
        all.register("refusals", "Refused or cut requests", self.refusals.clone());
        all.register("retries", "Attempts made again", self.retries.clone());
        all.register(
            "first_event_seconds",
            "Time to the first event",
            self.first.clone(),
        );
        all.register("pause_seconds", "Time between events", self.pause.clone());
        all.register(
            "answer_seconds",
            "Time to the end of the answer",
            self.whole.clone(),
        );
        all.register(
            "config_version",
            "Version in force",
            self.config_version.clone(),
        );
        all.register(
            "config_age_seconds",
            "Time since it was confirmed",
            self.config_age.clone(),
        );
        all.register("servers", "Known backend servers", self.servers.clone());
        all.register("streams", "Streams under way", self.running.clone());
        all.register(
            "streams_limit",
            "Most streams, 0 for no limit",
            self.limit.clone(),
        );
        all.register(
            "report_age_seconds",
            "Oldest load report",
            self.report_age.clone(),
        );
        all.register(
            "group_open",
            "1 if the group runs passes",
            self.open.clone(),
        );
        self
    }

    /// Counts a finished request.
    pub fn count_request(&self, service: &str, outcome: Outcome) {
        let labels = RequestLabels {
            service: service.to_owned(),
            outcome: outcome.as_str(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a request that was refused or cut.
    pub fn count_refusal(&self, reason: Reason) {
        self.refusals.get_or_create(&name(reason)).inc();
    }

    /// Counts an attempt that is made again.
    pub fn count_retry(&self, reason: Reason) {
        self.retries.get_or_create(&name(reason)).inc();
    }

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

fn name(reason: Reason) -> ReasonLabels {
    ReasonLabels {
        reason: reason.as_str(),
    }
}
