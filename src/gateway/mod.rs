//! Gateway: takes callers' requests and sends them straight to backend servers.
//!
//! It serves deployments whose backend servers have no agent in front of them. The decisions are
//! in `siskinbend_request`, `siskinbend_routing` and `siskinbend_site`; this is the I/O.

mod attempt;
mod fleet;
mod loads;
mod metrics;
mod plain;
mod response;
mod serve;
mod server;
mod store_watch;
mod stream;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use siskinbend_site::Config;
use siskinbend_site::DeploymentView;
use siskinbend_site::HeaderCodec;
use siskinbend_site::NodeSettings;
use siskinbend_site::Source;
use siskinbend_site::view;
use siskinbend_types::Time;

use crate::clock::BootClock;
use crate::peer::PeerClient;
use crate::platform;
use crate::shutdown::Shutdown;

use fleet::Fleet;
use metrics::Metrics;

/// Interval of the checks that nothing else triggers.
const TICK: Duration = Duration::from_millis(250);
/// Time kept free at the end of the grace period for the process to end by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(700);

/// What the gateway reaches outside the process.
pub struct PlatformAdapter {
    /// The platform's store.
    pub source: Arc<dyn Source>,
    /// The platform's headers.
    pub headers: Arc<dyn HeaderCodec>,
}

/// State of a gateway that its tasks share.
pub(crate) struct Gateway {
    settings: NodeSettings,
    adapter: PlatformAdapter,
    clock: BootClock,
    shutdown: Shutdown,
    metrics: Metrics,
    peers: PeerClient,
    view: Mutex<DeploymentView>,
    fleet: Mutex<Fleet>,
}

/// Why a gateway could not start.
#[derive(Debug, displaydoc::Display)]
pub enum StartError {
    /// the settings name no address for callers
    NoCallerAddress,
    /// {0}: {1}
    Bind(&'static str, std::io::Error),
    /// the signals can't be watched: {0}
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

    fn config(&self) -> Option<Arc<Config>> {
        self.view().config().cloned()
    }

    /// The metrics with what the gateway believes now.
    fn show_metrics(&self) -> Result<String, std::fmt::Error> {
        let now = self.now();
        let (version, age) = {
            let view = self.view();
            let version = view.config().map_or(0, |c| c.version.0);
            let age = view
                .config_age(now)
                .map_or(f64::INFINITY, |a| a.as_secs_f64());
            (version, age)
        };
        let beliefs = self.fleet().list_beliefs(now);
        self.metrics.set_beliefs(version, age, &beliefs);
        self.metrics.encode()
    }

    fn is_ready(&self) -> bool {
        !self.shutdown.is_draining() && self.view().is_complete()
    }
}

/// Runs a gateway until it was asked to stop and its requests have ended.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn run(
    settings: NodeSettings,
    file: PathBuf,
    adapter: PlatformAdapter,
) -> Result<(), StartError> {
    let callers = settings.callers.ok_or(StartError::NoCallerAddress)?;
    let shutdown = Shutdown::default();
    shutdown.watch_signals().map_err(StartError::Signals)?;
    let limits = view::Settings {
        revocation_delay: settings.bounds.revoke,
    };
    let gateway = Arc::new(Gateway {
        fleet: Mutex::new(Fleet::new(settings.zone.clone(), settings.bounds)),
        view: Mutex::new(DeploymentView::new(limits)),
        peers: PeerClient::new(settings.peers.port()),
        clock: BootClock,
        metrics: Metrics::default(),
        shutdown,
        settings,
        adapter,
    });
    let shared = Arc::clone(&gateway);
    platform::watch_settings(file, move |settings| {
        let limits = view::Settings {
            revocation_delay: settings.bounds.revoke,
        };
        shared.view().set_settings(limits);
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
    let limit = gateway.settings.bounds.grace.saturating_sub(EXIT_MARGIN);
    server::serve_callers(&gateway, listener, limit).await;
    log::info!(node:% = gateway.settings.node; "gateway_stopped");
    Ok(())
}
