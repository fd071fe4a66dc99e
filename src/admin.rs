//! The admin address of a process: metrics, health and status.

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

/// What a role shows on its admin address.
pub trait AdminState: Send + Sync + 'static {
    /// Tells whether the process takes requests.
    fn is_ready(&self) -> bool;

    /// The process's metrics.
    fn metrics(&self) -> &Metrics;

    /// What the process does and why.
    fn status(&self) -> ProcessStatus;

    /// How the process learns documents, with the counters of the platform's services.
    fn document_sync(&self) -> &DocumentSync;

    /// Begins to drain.
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
    /// Run of the process.
    pub incarnation: String,
    /// Takes no new work.
    pub draining: bool,
    /// Document version in force.
    pub version: Option<u64>,
    /// Digest of that document.
    pub digest: Option<String>,
    /// What the role has to tell, one sentence a line.
    pub notes: Vec<String>,
}

/// Serves the admin pages until the process ends.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve(address: SocketAddr, pages: Arc<dyn AdminState>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    let router = Router::new()
        .route("/metrics", get(show_metrics))
        .route("/live", get(|| async { "ok\n" }))
        .route("/ready", get(show_ready))
        .route("/admin/status", get(show_status))
        .route("/admin/drain", post(start_drain))
        .with_state(pages);
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, router).await {
            log::error!(error:% = error; "admin_failed");
        }
    });
    Ok(bound)
}

async fn show_metrics(State(pages): State<Arc<dyn AdminState>>) -> Result<String, StatusCode> {
    pages
        .metrics()
        .set_source_counters(&pages.document_sync().read_counters());
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &pages.metrics().registry)
        .map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
    Ok(text)
}

async fn show_ready(State(pages): State<Arc<dyn AdminState>>) -> (StatusCode, &'static str) {
    if pages.is_ready() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

async fn show_status(State(pages): State<Arc<dyn AdminState>>) -> Json<ProcessStatus> {
    Json(pages.status())
}

async fn start_drain(State(pages): State<Arc<dyn AdminState>>) -> &'static str {
    log::info!(source = "operator"; "drain_started");
    pages.shutdown().drain();
    "draining\n"
}
