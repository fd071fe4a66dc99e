//! What the answers of backend servers say about the servers.

use std::time::Duration;

use siskinbend_routing::Requirements;
use siskinbend_routing::SendRule;
use siskinbend_routing::send_rules::join_withheld;
use siskinbend_site::ResponseHead;
use siskinbend_types::AgentId;
use siskinbend_types::Incarnation;
use siskinbend_types::Rate;
use siskinbend_types::Reason;
use siskinbend_types::RegionSet;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;

use super::Fleet;
use super::Target;

/// Prolongation of a pause from which it is logged. Answers to requests in flight prolong a pause by
/// less.
const MIN_LOGGED_EXTENSION: Duration = Duration::from_secs(1);

impl Fleet {
    /// Records the limit that an answer to an attempt names, or that it names none.
    pub fn record_server_limit(
        &mut self,
        target: &Target,
        limit: Option<Rate>,
        sent_at: Time,
        now: Time,
    ) {
        let change = self
            .rules
            .limits
            .record_answer(&target.id, limit, sent_at, now);
        if let Some(change) = change {
            let text = |rate: Option<Rate>| rate.map_or("none".to_owned(), |r| r.to_string());
            log::info!(
                server:% = target.id,
                service:% = target.service,
                limit = text(change.limit),
                previous = text(change.previous);
                "server_limit_changed"
            );
        }
    }

    /// Records whether an answer says that its server is leaving or wants a pause. It must be the
    /// answer of the target to the request that was sent.
    pub fn record_answer(&mut self, target: &Target, head: &ResponseHead, now: Time) {
        if head.leaving && self.is_latest_run(target) {
            let leaving = &mut self.rules.leaving;
            if leaving.record(&target.id, target.incarnation, now) {
                log::info!(
                    server:% = target.id,
                    service:% = target.service,
                    born:% = target.incarnation;
                    "server_leaving"
                );
            }
        }
        let Some(pause) = head.pause else {
            return;
        };
        let change = self.rules.pauses.record(&target.id, pause, now);
        if let Some(change) = change
            && (change.is_new() || change.extension >= MIN_LOGGED_EXTENSION)
        {
            log::info!(
                server:% = target.id,
                service:% = target.service,
                for_ms = change.duration.as_millis() as u64;
                "server_paused"
            );
        }
    }

    /// Whether no other run of a target's server is registered.
    fn is_latest_run(&self, target: &Target) -> bool {
        let replica = self.replicas.get(&target.id);
        replica.is_none_or(|r| Incarnation(r.server.started_ms) == target.incarnation)
    }

    /// Records which run of a backend server is registered.
    pub(super) fn observe_run(&mut self, id: &AgentId, now: Time) {
        if let Some(replica) = self.replicas.get(id) {
            let run = Incarnation(replica.server.started_ms);
            self.rules.leaving.observe(id, run, now);
        }
    }

    /// Forgets leaving runs and pauses that no longer count.
    pub(super) fn expire_signals(&mut self, now: Time) {
        self.rules.leaving.expire(now);
        self.rules.pauses.expire(now);
    }

    /// Returns the time until the first pause ends of a backend server that could take a request of
    /// the service then; `None` if another one can take it now.
    pub fn find_pause_end(
        &mut self,
        service: &ServiceName,
        regions: &RegionSet,
        now: Time,
    ) -> Option<Duration> {
        self.rules.pauses.list(now).next()?;
        let mut others = self.rules.list_withheld(now);
        others.retain(|w| w.reason != self.rules.pauses.reason());
        let others = join_withheld(&others);
        let routing = self.services.get_mut(service)?;
        let mut requirements = Requirements {
            closed_groups: routing.list_closed(now),
            closed_zones: routing.closed_zones.clone(),
            regions: regions.clone(),
            ..Requirements::default()
        };
        let picker = &mut routing.picker;
        let end = self.rules.pauses.find_first_end(now, |paused| {
            requirements.avoid = [&others, paused].concat();
            let choice = picker.choose(&requirements, now, &mut rand::rng());
            choice.is_ok()
        });
        end.map(|end| end.since(now))
    }
}

/// Returns why no backend server could be chosen, given the error of the choice and the rule that
/// leaves no server, if there is one.
pub(super) fn find_reason(choice: Reason, rule: Option<Reason>, is_limited: bool) -> Reason {
    match (choice, rule) {
        (Reason::RegionNotAllowed, _) => choice,
        (_, Some(rule)) => rule,
        _ if is_limited => Reason::ShareExceeded,
        _ => choice,
    }
}
