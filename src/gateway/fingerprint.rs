//! Recognises a request that a caller sends again under another id.

use http::Method;
use http::Uri;
use sha2::Digest as _;
use sha2::Sha256;
use siskinbend_types::Organisation;
use siskinbend_types::RequestFingerprint;

/// Computes the fingerprint of a request.
pub(super) fn compute_fingerprint(
    method: &Method,
    uri: &Uri,
    organisation: Option<&Organisation>,
    body: &[u8],
) -> RequestFingerprint {
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    let caller = organisation.map_or("", Organisation::as_str);
    let mut hasher = Sha256::new();
    for text in [method.as_str(), path, caller] {
        hasher.update((text.len() as u64).to_le_bytes());
        hasher.update(text);
    }
    hasher.update(body);
    let hash: [u8; 32] = hasher.finalize().into();
    let (first, _) = hash.split_at(size_of::<u64>());
    RequestFingerprint(
        first
            .iter()
            .fold(0, |number, byte| number << 8 | u64::from(*byte)),
    )
}
