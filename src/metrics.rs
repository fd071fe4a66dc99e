//! Counters and gauges of a process.

use std::sync::atomic::Ordering;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Metric;
use prometheus_client::registry::Registry;

use siskinbend_types::Outcome;
use siskinbend_types::Reason;

use crate::document_sync::SourceCounter;

/// Labels of a finished request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Service of the document.
    pub service: String,
    /// `answered`, `not_run` or `unknown`.
    pub outcome: &'static str,
}

/// Label of a refusal, retry or abort.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabels {
    /// The `as_str` name of a reason.
    pub reason: &'static str,
}

impl ReasonLabels {
    fn new(reason: Reason) -> ReasonLabels {
        ReasonLabels {
            reason: reason.as_str(),
        }
    }
}

/// Labels of a counter that another part of the process maintains and `/metrics` reads.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SourceLabels {
    /// `table`, `objects`, `vms` or `document`.
    pub source: &'static str,
    /// What was counted.
    pub event: &'static str,
}

/// Counters of requests, refusals and retries.
#[derive(Debug)]
pub struct RequestCounters {
    /// Finished requests by service and outcome.
    requests: Family<RequestLabels, Counter>,
    /// Requests or attempts refused, by reason.
    refusals: Family<ReasonLabels, Counter>,
    /// Retries, by the reason of the failed attempt.
    retries: Family<ReasonLabels, Counter>,
}

impl RequestCounters {
    /// Creates the counters and registers them.
    pub fn register(registry: &mut Registry) -> RequestCounters {
        RequestCounters {
            requests: register(registry, "requests", "Finished requests"),
            refusals: register(registry, "refusals", "Refused requests or attempts"),
            retries: register(registry, "retries", "Attempts that were tried again"),
        }
    }

    /// Counts a finished request.
    pub fn record_request(&self, service: &str, outcome: Outcome) {
        let labels = RequestLabels {
            service: service.to_owned(),
            outcome: outcome.as_str(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a refused request or attempt.
    pub fn record_refusal(&self, reason: Reason) {
        self.refusals
            .get_or_create(&ReasonLabels::new(reason))
            .inc();
    }

    /// Counts a retry.
    pub fn record_retry(&self, reason: Reason) {
        self.retries.get_or_create(&ReasonLabels::new(reason)).inc();
    }
}

/// Metrics of one process; a role uses those that apply to it.
#[derive(Debug)]
pub struct Metrics {
    /// The metrics shown by `/metrics`.
    pub registry: Registry,
    /// Counters of requests, refusals and retries.
    pub requests: RequestCounters,
    /// Faults, refusals and aborts in the agent's group, by reason.
    pub group_faults: Family<ReasonLabels, Counter>,
    /// Calls to the platform and faults of documents, by source and event.
    pub sources: Family<SourceLabels, Counter>,
    /// Requests in flight.
    pub inflight: Gauge,
    /// Seconds from the request to the head of its answer.
    pub latency: Histogram,
    /// Version of the active document.
    pub version: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("siskinbend");
        let target = &mut registry;
        let buckets = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.2, 5.0, 30.0];
        let latency = Histogram::new(buckets);
        let help = "Time to the answer's head";
        target.register("first_byte_seconds", help, latency.clone());
        Self {
            requests: RequestCounters::register(target),
            group_faults: register(
                target,
                "group_faults",
                "Faults, refusals and aborts in a group",
            ),
            sources: register(
                target,
                "sources",
                "Calls to the platform and faults of documents",
            ),
            inflight: register(target, "inflight", "Requests in flight"),
            version: register(target, "document_version", "Document version in force"),
            latency,
            registry,
        }
    }
}

/// Creates a metric and registers it.
pub(crate) fn register<M>(registry: &mut Registry, name: &str, help: &str) -> M
where
    M: Metric + Clone + Default,
{
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}

impl Metrics {
    /// Sets the counters that other parts of the process maintain.
    pub fn set_source_counters(&self, counts: &[SourceCounter]) {
        for count in counts {
            let labels = SourceLabels {
                source: count.source,
                event: count.name,
            };
            let counter = self.sources.get_or_create(&labels);
            counter.inner().store(count.value, Ordering::Relaxed);
        }
    }
}
