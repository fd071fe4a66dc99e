//! Loads certificates and keys, and reloads them when their files change.

use std::path::Path;
use std::sync::Arc;

use quinn::Endpoint;
use sha2::Digest as _;
use sha2::Sha256;

use siskinbend_types::Digest;
use siskinbend_wire::Credentials;
use siskinbend_wire::TransportError;
use siskinbend_wire::transport::Dialer;

use crate::limits;
use crate::settings::Common;

/// Loads the keys that the settings name.
///
/// # Errors
///
/// Returns an error that names the file that cannot be used.
pub fn load(common: &Common) -> Result<Credentials, TransportError> {
    Credentials::load(&common.ca, &common.cert, &common.key)
}

/// Watches the files and uses changed ones for new connections. Open connections and their requests
/// are not affected.
///
/// `endpoint` is given if this process accepts connections and `dialer` if it opens them;
/// `count_peers` returns the number of peers that it connects to.
pub async fn watch<F>(
    common: Common,
    endpoint: Option<Endpoint>,
    dialer: Option<Arc<Dialer>>,
    count_peers: F,
) where
    F: Fn() -> usize + Send,
{
    let mut files = digest_files(&common);
    let mut peers = 0;
    loop {
        tokio::time::sleep(limits::KEY_CHECK_INTERVAL).await;
        let current = (digest_files(&common), count_peers());
        if current == (files, peers) {
            continue;
        }
        match reload(&common, endpoint.as_ref(), dialer.as_deref(), current.1) {
            Ok(()) if current.0 != files => {
                log::info!(cert:% = common.cert.display(); "keys_replaced");
                (files, peers) = current;
            }
            Ok(()) => peers = current.1,
            // The files may be written one after the other; the next check retries the reload.
            Err(error) => log::warn!(error:% = error; "keys_not_replaced"),
        }
    }
}

fn reload(
    common: &Common,
    endpoint: Option<&Endpoint>,
    dialer: Option<&Dialer>,
    peers: usize,
) -> Result<(), TransportError> {
    let keys = load(common)?;
    if let Some(dialer) = dialer {
        dialer.replace_credentials(&keys, peers)?;
    }
    if let Some(endpoint) = endpoint {
        endpoint.set_server_config(Some(keys.server_config()?));
    }
    Ok(())
}

fn digest_files(common: &Common) -> Digest {
    let mut hasher = Sha256::new();
    for path in [&common.ca, &common.cert, &common.key] {
        hasher.update(read(path));
    }
    Digest(hasher.finalize().into())
}

/// Reads a file for its digest. A file that cannot be read counts as empty; loading it reports the
/// error.
fn read(path: &Path) -> Vec<u8> {
    std::fs::read(path).unwrap_or_default()
}
