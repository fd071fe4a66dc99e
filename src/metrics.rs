//! Counters and gauges of a process.

use std::sync::atomic::Ordering;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use siskinbend_types::Outcome;
use siskinbend_types::Reason;

use crate::spread::SourceCount;

/// Labels of a finished request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Service of the document.
    pub service: String,
    /// `answered`, `not_run` or `unknown`.
    pub outcome: &'static str,
}

/// Label of a refusal, retry or cut.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabels {
    /// Name from the reason enum.
    pub reason: &'static str,
}

/// Labels of a counter that is kept elsewhere and read when `/metrics` is shown.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SourceLabels {
    /// `table`, `objects`, `vms` or `document`.
    pub source: &'static str,
    /// What was counted.
    pub event: &'static str,
}

/// Metrics of one process; a role uses those that apply to it.
#[derive(Debug)]
pub struct Metrics {
    /// Everything that `/metrics` shows.
    pub registry: Registry,
    /// Finished requests by service and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Requests or attempts refused, by reason.
    pub refusals: Family<ReasonLabels, Counter>,
    /// Attempts tried again, by the reason of the failed one.
    pub retries: Family<ReasonLabels, Counter>,
    /// Faults, refusals and aborts in the agent's group, by reason.
    pub group_faults: Family<ReasonLabels, Counter>,
    /// Calls to the platform and faults of documents, by source and event.
    pub sources: Family<SourceLabels, Counter>,
    /// Requests in flight.
    pub inflight: Gauge,
    /// Seconds until the head of the answer.
    pub latency: Histogram,
    /// Version of the document in force.
    pub version: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("siskinbend");
        let requests = Family::default();
        let refusals = Family::default();
        let retries = Family::default();
        let group_faults = Family::default();
        let sources = Family::default();
        let inflight = Gauge::default();
        let version = Gauge::default();
        let buckets = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.2, 5.0, 30.0];
        let latency = Histogram::new(buckets);
        registry.register("requests", "Finished requests", requests.clone());
        registry.register("refusals", "Refused requests or attempts", refusals.clone());
        registry.register("retries", "Attempts that were tried again", retries.clone());
        registry.register(
            "group_faults",
            "Faults, refusals and aborts in a group",
            group_faults.clone(),
        );
        registry.register(
            "sources",
            "Calls to the platform and faults of documents",
            sources.clone(),
        );
        registry.register("inflight", "Requests in flight", inflight.clone());
        registry.register(
            "first_byte_seconds",
            "Time to the answer's head",
            latency.clone(),
        );
        registry.register(
            "document_version",
            "Document version in force",
            version.clone(),
        );
        Self {
            registry,
            requests,
            refusals,
            retries,
            sources,
            group_faults,
            inflight,
            latency,
            version,
        }
    }
}

impl Metrics {
    /// Takes over counters that are kept elsewhere.
    pub fn set_counts(&self, counts: &[SourceCount]) {
        for count in counts {
            let labels = SourceLabels {
                source: count.source,
                event: count.name,
            };
            let counter = self.sources.get_or_create(&labels);
            counter.inner().store(count.value, Ordering::Relaxed);
        }
    }

    /// Counts a finished request.
    pub fn count_request(&self, service: &str, outcome: Outcome) {
        let labels = RequestLabels {
            service: service.to_owned(),
            outcome: outcome.as_str(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a refused request or attempt.
    pub fn count_refusal(&self, reason: Reason) {
        self.refusals
            .get_or_create(&ReasonLabels {
                reason: reason.as_str(),
            })
            .inc();
    }

    /// Counts an attempt that is tried again.
    pub fn count_retry(&self, reason: Reason) {
        self.retries
            .get_or_create(&ReasonLabels {
                reason: reason.as_str(),
            })
            .inc();
    }
}
