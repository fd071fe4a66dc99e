//! Runs promotions against the platform and reads documents and their history.

use std::sync::Arc;

use bytes::Bytes;
use siskinbend_control::promotion::Action;
use siskinbend_control::promotion::Author;
use siskinbend_control::promotion::Environment;
use siskinbend_control::promotion::Event;
use siskinbend_control::promotion::Promotion;
use siskinbend_control::promotion::PromotionOutcome;
use siskinbend_control::promotion::Request;
use siskinbend_control::promotion::Resolution;
use siskinbend_control::promotion::VersionRecord;
use siskinbend_control::promotion::resolve_from_history;
use siskinbend_control::table::Cause;
use siskinbend_control::table::Key;
use siskinbend_control::table::Row;
use siskinbend_control::table::StoreError;
use siskinbend_control::table::TransactionId;
use siskinbend_control::version::FetchError;
use siskinbend_document::Document;
use siskinbend_types::Digest;
use siskinbend_types::Version;

use crate::api::ObjectStore;
use crate::api::Table;

/// Runs a promotion to completion; see [`Promotion::start`] for `floor`.
pub async fn run_promotion(
    table: &dyn Table,
    objects: &dyn ObjectStore,
    author: Author,
    request: Request,
    floor: Version,
) -> PromotionOutcome {
    let (mut promotion, mut action) = Promotion::start(author, request, floor);
    loop {
        let event = match action {
            Action::Put(digest, text) => {
                let content = Bytes::copy_from_slice(text.as_bytes());
                Event::Put(objects.put(&digest, content).await)
            }
            Action::Read(key) => Event::Read(table.read(&key).await),
            Action::Commit(commit) => Event::Commit(table.commit(&commit).await),
            Action::Finish(outcome) => return outcome,
        };
        action = promotion.handle(event);
    }
}

/// Determines the effect of a promotion whose outcome was unknown.
///
/// # Errors
///
/// As [`Table::read`].
pub async fn resolve_promotion(
    table: &dyn Table,
    environment: Environment,
    version: Version,
    id: &TransactionId,
) -> Result<Resolution, StoreError> {
    let row = table.read(&environment.history_key(version)).await?;
    Ok(resolve_from_history(id, row.as_ref()))
}

fn decode_row(row: &Row) -> Result<VersionRecord, StoreError> {
    VersionRecord::decode(&row.value).ok_or(StoreError::NotApplied(Cause::Malformed))
}

async fn read_record(table: &dyn Table, key: &Key) -> Result<Option<VersionRecord>, StoreError> {
    let row = table.read(key).await?;
    row.as_ref().map(decode_row).transpose()
}

/// Reads the active version of an environment, `None` if there is none.
///
/// # Errors
///
/// As [`Table::read`], and [`Cause::Malformed`] if the row can't be decoded.
pub async fn read_current(
    table: &dyn Table,
    environment: Environment,
) -> Result<Option<VersionRecord>, StoreError> {
    read_record(table, &environment.key()).await
}

/// Reads the history record of a version, `None` if there is no such version.
///
/// # Errors
///
/// As [`read_current`].
pub async fn read_version(
    table: &dyn Table,
    environment: Environment,
    version: Version,
) -> Result<Option<VersionRecord>, StoreError> {
    read_record(table, &environment.history_key(version)).await
}

/// Reads the first `limit` versions of an environment, oldest first.
///
/// # Errors
///
/// As [`Table::scan`], and [`Cause::Malformed`] if a row can't be decoded.
pub async fn list_history(
    table: &dyn Table,
    environment: Environment,
    limit: usize,
) -> Result<Vec<VersionRecord>, StoreError> {
    let rows = table.scan(&environment.history_prefix(), limit).await?;
    rows.iter().map(decode_row).collect()
}

/// Reads a text from the object store and checks its digest.
///
/// # Errors
///
/// [`FetchError::Missing`] if there is no such object, [`FetchError::Failed`] if the store did not
/// answer or the content does not match the digest.
pub async fn fetch_text(
    objects: &dyn ObjectStore,
    digest: &Digest,
) -> Result<Arc<str>, FetchError> {
    let content = objects.get(digest).await.map_err(|_| FetchError::Failed)?;
    let content = content.ok_or(FetchError::Missing)?;
    let text = std::str::from_utf8(&content).map_err(|_| FetchError::Failed)?;
    if Document::digest(text) == *digest {
        Ok(text.into())
    } else {
        Err(FetchError::Failed)
    }
}
