//! Drives promotions against the in-memory platform, as the operator's command does.

use bytes::Bytes;
use siskinbend_control::promotion::Action;
use siskinbend_control::promotion::Author;
use siskinbend_control::promotion::Ending;
use siskinbend_control::promotion::Entry;
use siskinbend_control::promotion::Environment;
use siskinbend_control::promotion::Event;
use siskinbend_control::promotion::Promotion;
use siskinbend_control::promotion::Request;
use siskinbend_control::table::TransactionId;
use siskinbend_document::Document;
use siskinbend_store::Objects;
use siskinbend_store::Table;
use siskinbend_store::fake::FakePlatform;
use siskinbend_types::Digest;
use siskinbend_types::Version;

/// Author number `id`.
pub fn author(id: u64) -> Author {
    Author {
        id: TransactionId::from_random(u128::from(id)),
        who: "operator".into(),
        when: "today".into(),
    }
}

/// A trial of a text; what the text says doesn't matter to the platform.
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

pub fn digest_of(text: &str) -> Digest {
    Document::digest(text)
}

/// Runs a promotion to its end.
pub async fn run(platform: &FakePlatform, id: u64, request: Request) -> Ending {
    run_above(platform, id, request, Version(0)).await
}

pub async fn run_above(
    platform: &FakePlatform,
    id: u64,
    request: Request,
    floor: Version,
) -> Ending {
    let (mut machine, mut action) = Promotion::start(author(id), request, floor);
    loop {
        let event = match action {
            Action::Put(digest, text) => {
                let content = Bytes::copy_from_slice(text.as_bytes());
                Event::Put(platform.put(&digest, content).await)
            }
            Action::Read(key) => Event::Read(platform.read(&key).await),
            Action::Commit(commit) => Event::Commit(platform.commit(&commit).await),
            Action::End(ending) => return ending,
        };
        action = machine.handle(event);
    }
}

/// What is in force, without faults.
pub fn in_force(platform: &FakePlatform, environment: Environment) -> Option<Entry> {
    let row = platform.peek(&environment.key())?;
    Some(Entry::decode(&row.value).expect("well-formed row"))
}

/// Versions made by a transaction, without faults.
pub fn made_by(platform: &FakePlatform, environment: Environment, id: u64) -> Vec<u64> {
    let made = |version: &u64| {
        let row = platform.peek(&environment.history_key(Version(*version)));
        row.is_some_and(|row| row.writer == author(id).id)
    };
    (0..10).filter(made).collect()
}
