//! The platform's services as this process uses them.

use std::sync::Arc;

use http::uri::Authority;

use siskinbend_store::Client;
use siskinbend_store::http::HttpPlatform;

/// Connects to the platform at a host and port; nothing is sent before the first call.
pub fn connect(authority: &Authority) -> Arc<Client> {
    let platform = Arc::new(HttpPlatform::new(authority.clone()));
    let table = Arc::clone(&platform);
    let objects = Arc::clone(&platform);
    Arc::new(Client::new(table, objects, platform, rand::random()))
}
