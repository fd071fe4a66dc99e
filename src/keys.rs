//! Takes new certificates and keys into use while the process runs.

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
/// Returns the file that can't be used.
pub fn load(common: &Common) -> Result<Credentials, TransportError> {
    Credentials::load(&common.ca, &common.cert, &common.key)
}

/// Uses changed files for new connections; open connections and their requests go on.
///
/// `endpoint` is given if this process accepts connections, `dialer` if it makes them;
/// `count_peers` tells to how many peers.
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
        let found = (digest_files(&common), count_peers());
        if found == (files, peers) {
            continue;
        }
        match replace(&common, endpoint.as_ref(), dialer.as_deref(), found.1) {
            Ok(()) if found.0 != files => {
                log::info!(cert:% = common.cert.display(); "keys_replaced");
                (files, peers) = found;
            }
            Ok(()) => peers = found.1,
            // Files are often written one after the other; the next look finds them whole.
            Err(error) => log::warn!(error:% = error; "keys_not_replaced"),
        }
    }
}

fn replace(
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
    let mut hash = Sha256::new();
    for path in [&common.ca, &common.cert, &common.key] {
        hash.update(read(path));
    }
    Digest(hash.finalize().into())
}

/// A file that can't be read at the moment counts as empty; loading it then reports the error.
fn read(path: &Path) -> Vec<u8> {
    std::fs::read(path).unwrap_or_default()
}
