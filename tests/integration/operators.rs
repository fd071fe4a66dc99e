//! Helpers that run promotions against the in-memory platform, as the operator's command does.

use siskinbend_control::promotion::Author;
use siskinbend_control::promotion::Environment;
use siskinbend_control::promotion::PromotionOutcome;
use siskinbend_control::promotion::Request;
use siskinbend_control::promotion::VersionRecord;
use siskinbend_control::table::TransactionId;
use siskinbend_document::Document;
use siskinbend_store::documents::run_promotion;
use siskinbend_store::fake::FakePlatform;
use siskinbend_types::Digest;
use siskinbend_types::Version;

/// Author whose transaction id is made from `id`.
pub fn author(id: u64) -> Author {
    Author {
        id: TransactionId::from_random(u128::from(id)),
        who: "operator".into(),
        when: "today".into(),
    }
}

/// Request that activates a text in the trial environment; the platform does not parse the text.
pub fn try_text(text: &str, replaces: u64) -> Request {
    let replaces = Version(replaces);
    Request::Try {
        text: text.into(),
        replaces,
    }
}

pub fn promote(text: &str, replaces: u64) -> Request {
    let digest = digest_of(text);
    let replaces = Version(replaces);
    Request::Promote { replaces, digest }
}

/// Request for a new production version with the text of version `target`.
pub fn undo(target: u64, replaces: u64) -> Request {
    Request::Undo {
        environment: Environment::Production,
        replaces: Version(replaces),
        target: Version(target),
    }
}

/// One of the three kinds of request; each replaces version 1.
pub fn request_of(kind: u64, text: &str) -> Request {
    match kind % 3 {
        0 => promote("a", 1),
        1 => try_text(text, 1),
        _ => undo(1, 1),
    }
}

pub fn digest_of(text: &str) -> Digest {
    Document::digest(text)
}

/// Runs a promotion to completion.
pub async fn run(platform: &FakePlatform, id: u64, request: Request) -> PromotionOutcome {
    run_with_floor(platform, id, request, Version(0)).await
}

pub async fn run_with_floor(
    platform: &FakePlatform,
    id: u64,
    request: Request,
    floor: Version,
) -> PromotionOutcome {
    run_promotion(platform, platform, author(id), request, floor).await
}

/// Active version of an environment, read without fault injection.
pub fn active_version(platform: &FakePlatform, environment: Environment) -> Option<VersionRecord> {
    let row = platform.peek(&environment.key())?;
    Some(VersionRecord::decode(&row.value).expect("well-formed row"))
}

/// Versions that a transaction wrote, read without fault injection.
pub fn versions_written_by(platform: &FakePlatform, environment: Environment, id: u64) -> Vec<u64> {
    let was_written = |version: &u64| {
        let row = platform.peek(&environment.history_key(Version(*version)));
        row.is_some_and(|row| row.writer == author(id).id)
    };
    (0..10).filter(was_written).collect()
}
