//! Reads and writes claim rows for the calls of this entry.

use siskinbend_control::table::Check;
use siskinbend_control::table::Commit;
use siskinbend_control::table::CommitAnswer;
use siskinbend_control::table::Key;
use siskinbend_control::table::Revision;
use siskinbend_control::table::StoreError;
use siskinbend_control::table::TransactionId;
use siskinbend_control::table::Write;
use siskinbend_control::table::WriteStatus;
use siskinbend_control::table::classify_write;
use siskinbend_request::ClaimRow;
use siskinbend_request::Event;
use siskinbend_request::claim;
use siskinbend_store::Client;
use siskinbend_store::Table;

/// Writes a claim row if the stored one still has revision `replaces`, or if there is none for
/// `None`. Returns the resulting state of the row as an event.
pub(super) async fn write(table: Option<&Client>, row: &ClaimRow, replaces: Option<u64>) -> Event {
    let Some(table) = table else {
        return Event::ClaimUnavailable;
    };
    let Some(commit) = build_commit(row, replaces) else {
        return Event::ClaimUnavailable;
    };
    let key = &commit.checks[0].key;
    match table.commit(&commit).await {
        Ok(CommitAnswer::Applied(revision)) => Event::ClaimWritten(revision.0),
        Ok(CommitAnswer::Conflict(..)) => read_conflict(table, key).await,
        Err(StoreError::NotApplied(_)) => Event::ClaimUnavailable,
        Err(StoreError::Ambiguous(cause)) => {
            log::info!(request:% = row.id, cause = cause.as_str(); "claim_answer_lost");
            resolve_ambiguous_write(table, &commit).await
        }
    }
}

/// Writes the outcome of a call to its claim row. A failure is only logged, because a repeated
/// request can still query the agent that ran the call.
pub(super) async fn record_outcome(table: Option<&Client>, row: &ClaimRow, replaces: Option<u64>) {
    let Some(table) = table else { return };
    let Some(commit) = build_commit(row, replaces) else {
        return;
    };
    match table.commit(&commit).await {
        Ok(CommitAnswer::Applied(_)) => {}
        Ok(CommitAnswer::Conflict(..)) => {
            log::info!(request:% = row.id; "claim_replaced_before_record");
        }
        Err(error) => log::warn!(request:% = row.id, error:% = error; "claim_record_failed"),
    }
}

fn build_commit(row: &ClaimRow, replaces: Option<u64>) -> Option<Commit> {
    let key: Key = row.path().parse().ok()?;
    let value = claim::encode(row)
        .inspect_err(|error| log::error!(request:% = row.id, error:% = error; "claim_not_encoded"))
        .ok()?;
    Some(Commit {
        id: TransactionId::from_random(rand::random()),
        checks: vec![Check {
            key: key.clone(),
            revision: replaces.map(Revision),
        }],
        writes: vec![Write {
            key,
            value: Some(value),
            ttl_ms: Some(u64::try_from(row.retention.as_millis()).unwrap_or(u64::MAX)),
        }],
    })
}

/// Reads the row that a write conflicted with.
async fn read_conflict(table: &Client, key: &Key) -> Event {
    match table.read(key).await {
        Ok(Some(row)) => to_conflict(&row.value, row.revision),
        // The row has expired since, or can't be read; the caller may retry.
        Ok(None) | Err(_) => Event::ClaimUnavailable,
    }
}

/// Reads the row back to determine whether a write whose answer was lost took effect.
async fn resolve_ambiguous_write(table: &Client, commit: &Commit) -> Event {
    let check = &commit.checks[0];
    let Ok(row) = table.read(&check.key).await else {
        return Event::ClaimUnavailable;
    };
    match (
        classify_write(&commit.id, check.revision, row.as_ref()),
        row,
    ) {
        (WriteStatus::Applied, Some(row)) => Event::ClaimWritten(row.revision.0),
        (WriteStatus::Superseded, Some(row)) => to_conflict(&row.value, row.revision),
        // The write may still be applied later; it then claims for an attempt that is never
        // dispatched.
        _ => Event::ClaimUnavailable,
    }
}

fn to_conflict(value: &str, revision: Revision) -> Event {
    match claim::decode(value) {
        Ok(row) => Event::ClaimConflict(Box::new(row), revision.0),
        Err(error) => {
            log::error!(error:% = error; "claim_not_decoded");
            Event::ClaimUnavailable
        }
    }
}
