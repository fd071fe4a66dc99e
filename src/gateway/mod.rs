//! Gateway: receives requests from callers and forwards them directly to backend servers.
//!
//! It is used in deployments without agents in front of the backend servers. The decision code is
//! in `siskinbend_request`, `siskinbend_routing` and `siskinbend_site`; these modules do the I/O.

mod attempt;
mod buffered;
mod crash_log;
mod crashes;
mod evacuations;
mod fingerprint;
mod fleet;
mod guards;
mod handler;
mod hedge;
mod ignored_headers;
mod loads;
mod members;
mod metrics;
mod race;
mod response;
mod returns;
mod server;
mod silence;
mod status;
mod store_watch;
mod stream;
mod waiting;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::time::Duration;

use siskinbend_link::BodyBudget;
use siskinbend_request::StopSchedule;
use siskinbend_site::Config;
use siskinbend_site::CrashLog;
use siskinbend_site::DeploymentView;
use siskinbend_site::HeaderCodec;
use siskinbend_site::Membership;
use siskinbend_site::NodeSettings;
use siskinbend_site::Source;
use siskinbend_site::view;
use siskinbend_types::Time;
use siskinbend_types::Timeline;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::clock::BootClock;
use crate::clock::unix_millis;
use crate::peer::PeerClient;
use crate::platform;
use crate::shutdown::Shutdown;

use crashes::Crashes;
use fleet::Fleet;
use metrics::Metrics;

/// Interval of the periodic updates of server health and registrations.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum size of all long responses that are buffered at the same time.
const MAX_BUFFERED_BYTES: usize = 24 << 20;
/// Part of the grace period reserved for the exit of the process after draining.
const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// Time from the deadline of a request by which its answer has been sent.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Platform-specific parts of a gateway.
pub struct PlatformAdapter {
    /// Client of the platform's store.
    pub source: Arc<dyn Source>,
    /// Log of crashes that the gateways share.
    pub crash_log: Arc<dyn CrashLog>,
    /// List of the gateways that run.
    pub membership: Arc<dyn Membership>,
    /// Codec of the platform's HTTP headers.
    pub headers: Arc<dyn HeaderCodec>,
}

/// Shared state of a gateway's tasks.
pub(crate) struct Gateway {
    settings: NodeSettings,
    adapter: PlatformAdapter,
    clock: BootClock,
    /// Time of the start, in Unix milliseconds.
    started_ms: u64,
    shutdown: Shutdown,
    /// Set when the process is asked to stop.
    stop: OnceLock<StopSchedule>,
    metrics: Metrics,
    peers: PeerClient,
    /// Memory for the responses that are buffered at the same time.
    bodies: BodyBudget,
    /// Latest history of the store in any answer; `None` before the first.
    timeline: watch::Sender<Option<Timeline>>,
    /// When the store was last asked for evacuations, or its answer still held.
    evacuations_checked: watch::Sender<Time>,
    view: Mutex<DeploymentView>,
    fleet: Mutex<Fleet>,
    crashes: Crashes,
    /// Notified when the configuration has a slow start for the first time, or again.
    slow_start_added: Notify,
}

/// Why a gateway cannot start.
#[derive(Debug, displaydoc::Display)]
pub enum StartError {
    /// the settings have no listen address for callers
    NoCallerAddress,
    /// cannot bind the listener for {0}: {1}
    Bind(&'static str, std::io::Error),
    /// cannot install the signal handlers: {0}
    Signals(std::io::Error),
}

impl std::error::Error for StartError {}

impl Gateway {
    fn now(&self) -> Time {
        self.clock.now()
    }

    fn view(&self) -> MutexGuard<'_, DeploymentView> {
        self.view.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records the history that an answer of the store belongs to, and tells the tasks that have
    /// rows in the store if it was restored.
    fn record_timeline(&self, matter: &'static str, timeline: Timeline) {
        self.timeline.send_if_modified(|known| {
            let before = known.replace(timeline.max(known.unwrap_or_default()));
            let restored = before.filter(|before| *before < timeline);
            if let Some(before) = restored {
                log::warn!(matter, before:% = before, timeline:% = timeline; "store_restored");
            }
            restored.is_some()
        });
    }

    fn config(&self) -> Option<Arc<Config>> {
        self.view().config().cloned()
    }

    /// Updates the gauges and encodes all metrics as text.
    fn render_metrics(&self) -> Result<String, std::fmt::Error> {
        let now = self.now();
        let (version, age) = {
            let view = self.view();
            let version = view.config().map_or(0, |c| c.version.0);
            let age = view
                .config_age(now)
                .map_or(f64::INFINITY, |a| a.as_secs_f64());
            (version, age)
        };
        let states = {
            let fleet = self.fleet();
            let limits = fleet.server_limits();
            self.metrics.gateways.set(limits.count_gateways() as i64);
            self.metrics.limited_servers.set(limits.count() as i64);
            let leaving = fleet.list_leaving(now).len();
            self.metrics.leaving_servers.set(leaving as i64);
            let paused = fleet.list_paused(now).len();
            self.metrics.paused_servers.set(paused as i64);
            let standstills = &self.metrics.standstills;
            standstills.inc_by(fleet.standstills().saturating_sub(standstills.get()));
            let cold = fleet.list_cold(now).len();
            self.metrics.cold_servers.set(cold as i64);
            fleet.list_states(now)
        };
        self.metrics.update_gauges(version, age, &states);
        let zones = evacuations::list_zones(self, now);
        self.metrics.update_zones(&zones);
        let timeline = self.timeline.borrow().unwrap_or_default();
        self.metrics.timeline.set(timeline.0 as i64);
        let (parts, requests) = self.crashes.count_blocked(now);
        self.metrics.blocked_parts.set(parts as i64);
        self.metrics.blocked_requests.set(requests as i64);
        self.metrics.encode()
    }

    /// Waits until the process is asked to stop, and plans which requests it takes from then on.
    async fn schedule_stop(self: Arc<Self>, drain_timeout: Duration) {
        self.shutdown.wait().await;
        let run_time = drain_timeout.saturating_sub(ANSWER_MARGIN);
        let schedule = StopSchedule::new(self.now(), server::UNREADY_GRACE, run_time);
        // Only this task sets it.
        let _ = self.stop.set(schedule);
    }

    fn is_ready(&self) -> bool {
        !self.shutdown.is_draining() && self.view().is_complete()
    }
}

/// Runs a gateway until it receives a stop signal and its requests have ended.
///
/// # Errors
///
/// Returns an error if the settings lack the callers' address, an address cannot be bound or the
/// signal handlers cannot be installed.
pub async fn run(
    settings: NodeSettings,
    settings_file: PathBuf,
    adapter: PlatformAdapter,
) -> Result<(), StartError> {
    let callers = settings.callers.ok_or(StartError::NoCallerAddress)?;
    let shutdown = Shutdown::default();
    shutdown.watch_signals().map_err(StartError::Signals)?;
    let view_settings = view::Settings {
        revocation_delay: settings.bounds.revoke,
    };
    let gateway = Arc::new(Gateway {
        fleet: Mutex::new(Fleet::new(&settings)),
        timeline: watch::Sender::new(None),
        evacuations_checked: watch::Sender::new(Time::default()),
        view: Mutex::new(DeploymentView::new(view_settings)),
        peers: PeerClient::new(settings.peers.port()),
        bodies: BodyBudget::new(MAX_BUFFERED_BYTES),
        clock: BootClock,
        started_ms: unix_millis(),
        metrics: Metrics::default(),
        crashes: Crashes::default(),
        slow_start_added: Notify::new(),
        shutdown,
        stop: OnceLock::new(),
        settings,
        adapter,
    });
    let shared = Arc::clone(&gateway);
    platform::watch_settings(settings_file, move |settings| {
        let view_settings = view::Settings {
            revocation_delay: settings.bounds.revoke,
        };
        shared.view().set_settings(view_settings);
        shared.fleet().set_regions(&settings.regions);
    })
    .map_err(StartError::Signals)?;
    log::info!(
        node:% = gateway.settings.node,
        zone:% = gateway.settings.zone,
        callers:% = callers,
        store:% = gateway.settings.store;
        "gateway_started"
    );
    let listener = server::bind("callers", callers).await?;
    if let Some(ready) = gateway.settings.ready {
        server::serve_readiness(&gateway, ready).await?;
    }
    server::serve_metrics(&gateway, gateway.settings.metrics).await?;
    store_watch::start(&gateway);
    tokio::spawn(loads::run(Arc::clone(&gateway)));
    let drain_timeout = gateway.settings.bounds.grace.saturating_sub(EXIT_MARGIN);
    tokio::spawn(Arc::clone(&gateway).schedule_stop(drain_timeout));
    server::serve_callers(&gateway, listener, drain_timeout).await;
    log::info!(node:% = gateway.settings.node; "gateway_stopped");
    Ok(())
}
