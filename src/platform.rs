//! The platform's services as this process uses them.

use std::fmt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use http::uri::Authority;

use siskinbend_platform::HttpEngine;
use siskinbend_platform::PlatformHeaders;
use siskinbend_platform::PlatformStore;
use siskinbend_platform::parse_settings;
use siskinbend_site::Engine;
use siskinbend_site::NodeSettings;
use siskinbend_site::Source;
use siskinbend_store::Client;
use siskinbend_store::http::HttpPlatform;

use crate::gateway::PlatformAdapter;
use crate::shutdown::Shutdown;

/// Connects to the platform at a host and port; nothing is sent before the first call.
pub fn connect(authority: &Authority) -> Arc<Client> {
    let platform = Arc::new(HttpPlatform::new(authority.clone()));
    let table = Arc::clone(&platform);
    let objects = Arc::clone(&platform);
    Arc::new(Client::new(table, objects, platform, rand::random()))
}

/// A mistake in the settings file of a platform.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable(std::io::Error),
    /// A field is missing or malformed.
    Field(siskinbend_platform::Finding),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable(error) => write!(f, "the settings can't be read: {error}"),
            SettingsError::Field(finding) => finding.fmt(f),
        }
    }
}

/// Reads the settings file of a platform.
///
/// # Errors
///
/// All mistakes of the file.
pub fn load_settings(path: &Path) -> Result<NodeSettings, Vec<SettingsError>> {
    let text = std::fs::read_to_string(path).map_err(|e| vec![SettingsError::Unreadable(e)])?;
    parse_settings(&text).map_err(|all| all.into_iter().map(SettingsError::Field).collect())
}

/// The platform as a gateway reaches it.
pub fn new_adapter(settings: &NodeSettings) -> PlatformAdapter {
    PlatformAdapter {
        source: new_source(settings),
        headers: Arc::new(PlatformHeaders),
    }
}

/// The platform's store.
pub fn new_source(settings: &NodeSettings) -> Arc<dyn Source> {
    Arc::new(PlatformStore::new(settings.store))
}

/// The engines of the platform.
pub fn new_engine() -> Arc<dyn Engine> {
    Arc::new(HttpEngine::default())
}

/// Reads the settings file again on SIGHUP. What a running process can't change, such as its
/// addresses, is in force at the next start; a file with mistakes changes nothing.
///
/// # Errors
///
/// Returns an error if the signal can't be watched.
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
