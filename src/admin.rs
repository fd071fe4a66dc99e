//! HTTP server on the admin address of a process: metrics, health, status and drain.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::routing::post;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;

use crate::document_sync::DocumentSync;
use crate::metrics::Metrics;
use crate::shutdown::Shutdown;

/// State of a role as shown on the admin address.
pub trait AdminState: Send + Sync + 'static {
    /// Returns whether the process accepts requests.
    fn is_ready(&self) -> bool;

    /// The metrics of the process.
    fn metrics(&self) -> &Metrics;

    /// The status of the process.
    fn status(&self) -> ProcessStatus;

    /// The document synchronisation, with the counters of the platform's services.
    fn document_sync(&self) -> &DocumentSync;

    /// The handle that starts the drain.
    fn shutdown(&self) -> &Shutdown;
}

/// Status of one process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Name from the settings.
    pub name: String,
    /// `entry` or `agent`.
    pub role: String,
    /// Availability zone from the settings.
    pub zone: String,
    /// Incarnation of the process.
    pub incarnation: String,
    /// Whether the process is draining and accepts no new work.
    pub draining: bool,
    /// Version of the active document.
    pub version: Option<u64>,
    /// Digest of that document.
    pub digest: Option<String>,
    /// Details of the state of the role, one line each.
    pub notes: Vec<String>,
}

/// Serves the admin pages until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve(address: SocketAddr, state: Arc<dyn AdminState>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    let router = Router::new()
        .route("/metrics", get(show_metrics))
        .route("/live", get(|| async { "ok\n" }))
        .route("/ready", get(show_ready))
        .route("/admin/status", get(show_status))
        .route("/admin/drain", post(start_drain))
        .with_state(state);
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, router).await {
            log::error!(error:% = error; "admin_failed");
        }
    });
    Ok(bound)
}

async fn show_metrics(State(state): State<Arc<dyn AdminState>>) -> Result<String, StatusCode> {
    state
        .metrics()
        .set_source_counters(&state.document_sync().read_counters());
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &state.metrics().registry)
        .map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
    Ok(text)
}

async fn show_ready(State(state): State<Arc<dyn AdminState>>) -> (StatusCode, &'static str) {
    if state.is_ready() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

async fn show_status(State(state): State<Arc<dyn AdminState>>) -> Json<ProcessStatus> {
    Json(state.status())
}

async fn start_drain(State(state): State<Arc<dyn AdminState>>) -> &'static str {
    log::info!(source = "operator"; "drain_started");
    state.shutdown().drain();
    "draining\n"
}
