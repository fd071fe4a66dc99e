//! Counts and logs headers of backend servers that were ignored because they are malformed.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use siskinbend_site::IgnoredHeader;

use super::fleet::Target;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct HeaderLabels {
    header: String,
}

/// Counters of ignored headers by name.
pub(super) type IgnoredHeaders = Family<HeaderLabels, Counter>;

/// Records the headers of an answer that were ignored.
///
/// The first, second, fourth, eighth and so on of a name is logged: a server that sends one malformed
/// header sends it in all answers.
pub(super) fn record(counters: &IgnoredHeaders, target: &Target, ignored: &[IgnoredHeader]) {
    for header in ignored {
        let labels = HeaderLabels {
            header: header.name.to_string(),
        };
        let total = counters.get_or_create(&labels).inc() + 1;
        if total.is_power_of_two() {
            log::warn!(
                server:% = target.id,
                header:% = header.name,
                value:? = header.value,
                total;
                "header_ignored"
            );
        }
    }
}
