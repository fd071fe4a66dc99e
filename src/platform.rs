//! Connects this process to the services of the platform.

use std::fmt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use http::uri::Authority;

use siskinbend_platform::HttpEngine;
use siskinbend_platform::PlatformCrashLog;
use siskinbend_platform::PlatformHeaders;
use siskinbend_platform::PlatformMembership;
use siskinbend_platform::PlatformStore;
use siskinbend_platform::parse_settings;
use siskinbend_site::Engine;
use siskinbend_site::NodeSettings;
use siskinbend_site::Source;
use siskinbend_store::Client;
use siskinbend_store::http::HttpPlatform;

use crate::gateway::PlatformAdapter;
use crate::shutdown::Shutdown;

/// Creates a client of the platform at a host and port; it connects at the first call.
pub fn connect(authority: &Authority) -> Arc<Client> {
    let platform = Arc::new(HttpPlatform::new(authority.clone()));
    let table = Arc::clone(&platform);
    let objects = Arc::clone(&platform);
    Arc::new(Client::new(table, objects, platform, rand::random()))
}

/// Error in the platform's settings file.
#[derive(Debug)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable(std::io::Error),
    /// A field is missing or malformed.
    Field(siskinbend_platform::Finding),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable(error) => write!(f, "cannot read the settings file: {error}"),
            SettingsError::Field(finding) => finding.fmt(f),
        }
    }
}

/// Loads the platform's settings file.
///
/// # Errors
///
/// All errors in the file, or why it cannot be read.
pub fn load_settings(path: &Path) -> Result<NodeSettings, Vec<SettingsError>> {
    let text = std::fs::read_to_string(path).map_err(|e| vec![SettingsError::Unreadable(e)])?;
    parse_settings(&text)
        .map_err(|findings| findings.into_iter().map(SettingsError::Field).collect())
}

/// Creates the clients and codecs that a gateway needs.
pub fn new_adapter(settings: &NodeSettings) -> PlatformAdapter {
    PlatformAdapter {
        source: new_source(settings),
        crash_log: Arc::new(PlatformCrashLog::new(settings.store)),
        membership: Arc::new(PlatformMembership::new(settings.store)),
        headers: Arc::new(PlatformHeaders),
    }
}

/// Creates a client of the platform's store.
pub fn new_source(settings: &NodeSettings) -> Arc<dyn Source> {
    Arc::new(PlatformStore::new(settings.store))
}

/// Creates a client of the platform's engines.
pub fn new_engine() -> Arc<dyn Engine> {
    Arc::new(HttpEngine::default())
}

/// Reloads the settings file on SIGHUP. Settings that a running process cannot change, such as its
/// addresses, take effect at the next start; a file with errors is ignored.
///
/// # Errors
///
/// Returns an error if the signal handler cannot be installed.
pub fn watch_settings<Apply>(path: PathBuf, apply: Apply) -> std::io::Result<()>
where
    Apply: Fn(&NodeSettings) + Send + 'static,
{
    Shutdown::watch_reload(move || match load_settings(&path) {
        Ok(settings) => {
            log::info!(node:% = settings.node; "settings_reloaded");
            apply(&settings);
        }
        Err(findings) => {
            for finding in findings {
                log::error!(finding:% = finding; "settings_rejected");
            }
        }
    })
}
