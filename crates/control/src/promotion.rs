//! Operator commands that write a new version to an environment: try, promote, undo.
//!
//! A promotion is one transaction that updates the environment row and inserts the history row of
//! the new version. History rows are never changed, so the row of a version identifies the one
//! transaction that created it. Reading that row decides which writer succeeded when the answer to
//! a transaction was lost.

use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use siskinbend_document::Document;
use siskinbend_document::Findings;
use siskinbend_types::Digest;
use siskinbend_types::Version;
use smol_str::SmolStr;

use crate::limits::MAX_COMMIT_ATTEMPTS;
use crate::limits::MAX_READ_ATTEMPTS;
use crate::table::Cause;
use crate::table::Check;
use crate::table::Commit;
use crate::table::CommitAnswer;
use crate::table::Key;
use crate::table::Revision;
use crate::table::Row;
use crate::table::StoreError;
use crate::table::TransactionId;
use crate::table::Write;
use crate::version::VersionTag;

/// The two environments of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Environment {
    /// Environment in which a document is tested.
    Trial,
    /// Environment that serves callers.
    Production,
}

impl Environment {
    /// Returns the name used in row keys.
    pub fn as_str(self) -> &'static str {
        match self {
            Environment::Trial => "trial",
            Environment::Production => "production",
        }
    }

    /// Returns the key of the environment row, which names the active version.
    pub fn key(self) -> Key {
        make_key(format!("environment/{}", self.as_str()))
    }

    /// Returns the key of the history row of a version.
    pub fn history_key(self, version: Version) -> Key {
        // A fixed number of digits makes a scan return the versions in numeric order.
        make_key(format!("history/{}/{:020}", self.as_str(), version.0))
    }

    /// Returns the key prefix of all history rows.
    pub fn history_prefix(self) -> Key {
        make_key(format!("history/{}/", self.as_str()))
    }
}

fn make_key(text: String) -> Key {
    SmolStr::from(text)
        .try_into()
        .unwrap_or_else(|error| unreachable!("built-in keys are valid: {error}"))
}

/// Content of an environment row or a history row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRecord {
    /// Version and digest.
    pub tag: VersionTag,
    /// Operator who wrote the version.
    pub who: SmolStr,
    /// Time of the write by the operator's clock; for display only.
    pub when: SmolStr,
}

#[derive(Serialize, Deserialize)]
struct StoredRecord {
    version: Version,
    digest: SmolStr,
    who: SmolStr,
    when: SmolStr,
}

impl VersionRecord {
    /// Decodes the value of a row, `None` if it is malformed.
    pub fn decode(value: &str) -> Option<VersionRecord> {
        let text: StoredRecord = serde_json::from_str(value).ok()?;
        let version = text.version;
        let digest = Digest::from_str(&text.digest).ok()?;
        Some(VersionRecord {
            tag: VersionTag { version, digest },
            who: text.who,
            when: text.when,
        })
    }

    /// Encodes the value of a row.
    pub fn encode(&self) -> String {
        let text = StoredRecord {
            version: self.tag.version,
            digest: self.tag.digest.to_string().into(),
            who: self.who.clone(),
            when: self.when.clone(),
        };
        serde_json::to_string(&text).unwrap_or_default()
    }
}

/// Author of a promotion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Author {
    /// Random id of the transaction.
    pub id: TransactionId,
    /// Name of the operator.
    pub who: SmolStr,
    /// Time on the operator's clock.
    pub when: SmolStr,
}

/// Command of an operator. `replaces` is the version that the operator saw as active, 0 for none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Activate a new text in the trial environment.
    Try {
        /// The text, already validated.
        text: Arc<str>,
        /// Version of the trial environment to replace.
        replaces: Version,
    },
    /// Activate the text of the trial environment in production.
    Promote {
        /// Version of the production environment to replace.
        replaces: Version,
        /// Digest of the trial text that was tested.
        digest: Digest,
    },
    /// Create a new version with the text of an earlier one.
    Undo {
        /// Environment to write.
        environment: Environment,
        /// Version to replace.
        replaces: Version,
        /// Version whose text is restored.
        target: Version,
    },
}

impl Request {
    /// Validates a text and returns the request that activates it in the trial environment.
    ///
    /// # Errors
    ///
    /// Returns all findings of the validation.
    pub fn for_trial(text: Arc<str>, replaces: Version) -> Result<Request, Findings> {
        Document::parse(&text)?;
        Ok(Request::Try { text, replaces })
    }

    /// Returns the environment that the request writes.
    pub fn environment(&self) -> Environment {
        match self {
            Request::Try { .. } => Environment::Trial,
            Request::Promote { .. } => Environment::Production,
            Request::Undo { environment, .. } => *environment,
        }
    }

    fn replaces(&self) -> Version {
        match self {
            Request::Try { replaces, .. }
            | Request::Promote { replaces, .. }
            | Request::Undo { replaces, .. } => *replaces,
        }
    }
}

/// Why a request was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The active version is not the one to be replaced; `None` if there is none.
    Superseded(Option<VersionRecord>),
    /// The trial environment no longer has the text that was tested; `None` if it has none.
    TrialChanged(Option<VersionRecord>),
    /// The version whose text should be restored doesn't exist.
    UnknownVersion(Version),
    /// A row can't be decoded.
    Malformed(Key),
    /// The environment row is older than the history, as after a restore from a backup: the next
    /// version already exists. The operator repeats the command with a higher floor.
    Reverted(VersionRecord, Version),
}

/// Outcome of a promotion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// The version was written; a later one may have replaced it since.
    Accepted(VersionTag),
    /// Nothing was written and nothing will be.
    Refused(Refusal),
    /// Nothing was written and nothing will be, because a call to the platform failed.
    NotApplied(Cause),
    /// Unknown whether the version was written; [`resolve_from_history`] decides from its history
    /// row.
    Unknown(VersionTag),
}

/// Action that the caller carries out; its result is the next event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Write the text to the object store.
    Put(Digest, Arc<str>),
    /// Read a row, without joining a read that is already in flight.
    Read(Key),
    /// Apply a transaction.
    Commit(Commit),
    /// Report the outcome.
    Finish(PromotionOutcome),
}

/// Result of the last action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Result of writing the object.
    Put(Result<(), StoreError>),
    /// Result of reading the row.
    Read(Result<Option<Row>, StoreError>),
    /// Result of the transaction.
    Commit(Result<CommitAnswer, StoreError>),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Putting,
    ReadingSource,
    ReadingCurrent,
    Committing,
    ReadingBack,
    ReadingConflict,
    Ended,
}

/// State machine of one promotion.
#[derive(Debug)]
pub struct Promotion {
    author: Author,
    request: Request,
    floor: Version,
    state: State,
    digest: Option<Digest>,
    trial_revision: Option<Revision>,
    commit: Option<Commit>,
    tag: Option<VersionTag>,
    conflict: Option<Key>,
    ambiguous: bool,
    commit_attempts: u32,
    read_attempts: u32,
}

impl Promotion {
    /// Starts a promotion. `floor` is the newest version known from other sources, such as
    /// processes of the fleet, 0 if none; the new version is higher.
    pub fn start(author: Author, request: Request, floor: Version) -> (Promotion, Action) {
        let (state, action) = match &request {
            Request::Try { text, .. } => {
                let put = Action::Put(Document::digest(text), text.clone());
                (State::Putting, put)
            }
            Request::Promote { .. } => {
                (State::ReadingSource, Action::Read(Environment::Trial.key()))
            }
            Request::Undo {
                environment,
                target,
                ..
            } => {
                let key = environment.history_key(*target);
                (State::ReadingSource, Action::Read(key))
            }
        };
        let promotion = Promotion {
            author,
            request,
            floor,
            state,
            digest: None,
            trial_revision: None,
            commit: None,
            tag: None,
            conflict: None,
            ambiguous: false,
            commit_attempts: 0,
            read_attempts: 0,
        };
        (promotion, action)
    }

    /// Handles the result of the last action and returns the next action.
    ///
    /// # Panics
    ///
    /// Panics if the event is not the result of the last action.
    pub fn handle(&mut self, event: Event) -> Action {
        match (self.state.clone(), event) {
            (State::Putting, Event::Put(result)) => self.handle_put(result),
            (State::ReadingSource, Event::Read(Ok(row))) => self.handle_source(row.as_ref()),
            (State::ReadingCurrent, Event::Read(Ok(row))) => self.handle_current(row),
            (State::ReadingSource | State::ReadingCurrent, Event::Read(Err(error))) => {
                self.finish(PromotionOutcome::NotApplied(error.cause()))
            }
            (State::Committing, Event::Commit(result)) => self.handle_commit(result),
            (State::ReadingBack, Event::Read(result)) => self.handle_history(result),
            (State::ReadingConflict, Event::Read(result)) => self.handle_conflict_row(result),
            (state, event) => panic!(
                "transaction {}: unexpected event {event:?} in state {state:?}",
                self.author.id
            ),
        }
    }

    fn finish(&mut self, outcome: PromotionOutcome) -> Action {
        self.state = State::Ended;
        Action::Finish(outcome)
    }

    fn refuse(&mut self, refusal: Refusal) -> Action {
        self.finish(PromotionOutcome::Refused(refusal))
    }

    fn read(&mut self, state: State, key: Key) -> Action {
        self.state = state;
        Action::Read(key)
    }

    fn handle_put(&mut self, result: Result<(), StoreError>) -> Action {
        let Request::Try { text, .. } = &self.request else {
            unreachable!("only a try writes an object")
        };
        // An object that was written in spite of the error is harmless: no row refers to it.
        if let Err(error) = result {
            return self.finish(PromotionOutcome::NotApplied(error.cause()));
        }
        self.digest = Some(Document::digest(text));
        self.read(State::ReadingCurrent, Environment::Trial.key())
    }

    /// Handles the row that names the text: the trial environment row or an earlier history row.
    fn handle_source(&mut self, row: Option<&Row>) -> Action {
        let entry = row.and_then(|row| VersionRecord::decode(&row.value));
        match (&self.request, row, entry) {
            (_, Some(row), None) => {
                let key = row.key.clone();
                return self.refuse(Refusal::Malformed(key));
            }
            (Request::Promote { digest, .. }, row, entry) => {
                match (row, entry) {
                    (Some(row), Some(entry)) if entry.tag.digest == *digest => {
                        self.trial_revision = Some(row.revision);
                        self.digest = Some(*digest);
                    }
                    (_, entry) => return self.refuse(Refusal::TrialChanged(entry)),
                };
            }
            (Request::Undo { target, .. }, _, None) => {
                let target = *target;
                return self.refuse(Refusal::UnknownVersion(target));
            }
            (_, _, entry) => self.digest = entry.map(|entry| entry.tag.digest),
        }
        let key = self.request.environment().key();
        self.read(State::ReadingCurrent, key)
    }

    fn handle_current(&mut self, row: Option<Row>) -> Action {
        let environment = self.request.environment();
        let entry = row
            .as_ref()
            .and_then(|row| VersionRecord::decode(&row.value));
        if row.is_some() && entry.is_none() {
            return self.refuse(Refusal::Malformed(environment.key()));
        }
        let version = entry.as_ref().map_or(Version(0), |entry| entry.tag.version);
        if version != self.request.replaces() {
            return self.refuse(Refusal::Superseded(entry));
        }
        let Some(digest) = self.digest else {
            unreachable!("the text is known before the current version is read")
        };
        let version = version.max(self.floor).next();
        let tag = VersionTag { version, digest };
        self.tag = Some(tag);
        self.commit = Some(self.build_commit(tag, row.map(|row| row.revision)));
        self.send_commit()
    }

    fn build_commit(&self, tag: VersionTag, current: Option<Revision>) -> Commit {
        let environment = self.request.environment();
        let (key, history) = (environment.key(), environment.history_key(tag.version));
        let entry = VersionRecord {
            tag,
            who: self.author.who.clone(),
            when: self.author.when.clone(),
        };
        let check = |key: &Key, revision| Check {
            key: key.clone(),
            revision,
        };
        let mut checks = vec![check(&key, current), check(&history, None)];
        if self.trial_revision.is_some() {
            // A trial document that was edited after the test must not be promoted.
            checks.push(check(&Environment::Trial.key(), self.trial_revision));
        }
        let write = |key| Write {
            key,
            value: Some(entry.encode()),
            ttl_ms: None,
        };
        Commit {
            id: self.author.id.clone(),
            checks,
            writes: vec![write(key), write(history)],
        }
    }

    /// Sends the transaction. Repeating it is safe, because its checks let it apply only once.
    fn send_commit(&mut self) -> Action {
        let Some(commit) = self.commit.clone() else {
            unreachable!("the transaction is built before it is sent")
        };
        self.commit_attempts += 1;
        self.state = State::Committing;
        Action::Commit(commit)
    }

    fn tag(&self) -> VersionTag {
        let Some(tag) = self.tag else {
            unreachable!("the version is known before the transaction is sent")
        };
        tag
    }

    fn read_history(&mut self) -> Action {
        let key = self.request.environment().history_key(self.tag().version);
        self.read(State::ReadingBack, key)
    }

    fn handle_commit(&mut self, result: Result<CommitAnswer, StoreError>) -> Action {
        match result {
            Ok(CommitAnswer::Applied(_)) => {
                let tag = self.tag();
                self.finish(PromotionOutcome::Accepted(tag))
            }
            Ok(CommitAnswer::Conflict(key, _)) => {
                // After a conflict no earlier attempt can still apply. Whether one was applied
                // before is read from the history row.
                self.conflict = Some(key);
                self.read_history()
            }
            Err(StoreError::Ambiguous(_)) => {
                self.ambiguous = true;
                self.read_history()
            }
            Err(StoreError::NotApplied(_)) if self.ambiguous => self.read_history(),
            Err(StoreError::NotApplied(cause)) => self.finish(PromotionOutcome::NotApplied(cause)),
        }
    }

    fn handle_history(&mut self, result: Result<Option<Row>, StoreError>) -> Action {
        let tag = self.tag();
        let row = match result {
            Ok(row) => row,
            Err(_) if self.read_attempts + 1 < MAX_READ_ATTEMPTS => {
                self.read_attempts += 1;
                return self.read_history();
            }
            Err(_) if self.ambiguous => return self.finish(PromotionOutcome::Unknown(tag)),
            Err(_) => return self.refuse(Refusal::Superseded(None)),
        };
        match resolve_from_history(&self.author.id, row.as_ref()) {
            Resolution::Accepted => self.finish(PromotionOutcome::Accepted(tag)),
            Resolution::Refused => self.read_conflict_row(),
            Resolution::Undecided if self.conflict.is_some() => self.read_conflict_row(),
            Resolution::Undecided if self.commit_attempts < MAX_COMMIT_ATTEMPTS => {
                self.send_commit()
            }
            Resolution::Undecided => self.finish(PromotionOutcome::Unknown(tag)),
        }
    }

    /// Reads the row that caused the conflict, to show it to the operator.
    fn read_conflict_row(&mut self) -> Action {
        let trial = Environment::Trial.key();
        let key = match &self.conflict {
            Some(key) if self.trial_revision.is_some() && *key == trial => trial,
            _ => self.request.environment().key(),
        };
        self.read(State::ReadingConflict, key)
    }

    fn handle_conflict_row(&mut self, result: Result<Option<Row>, StoreError>) -> Action {
        let row = result.unwrap_or_default();
        let entry = row
            .as_ref()
            .and_then(|row| VersionRecord::decode(&row.value));
        let trial =
            self.trial_revision.is_some() && self.conflict == Some(Environment::Trial.key());
        let version = self.tag().version;
        match entry {
            entry if trial => self.refuse(Refusal::TrialChanged(entry)),
            Some(entry) if entry.tag.version < version => {
                self.refuse(Refusal::Reverted(entry, version))
            }
            entry => self.refuse(Refusal::Superseded(entry)),
        }
    }
}

/// Effect of a transaction whose answer was lost, according to the history row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// The transaction wrote the version.
    Accepted,
    /// Another transaction wrote the version.
    Refused,
    /// Neither is known, because the request may still be in flight.
    Undecided,
}

/// Determines the effect of a transaction from the history row of the version it writes.
pub fn resolve_from_history(id: &TransactionId, row: Option<&Row>) -> Resolution {
    match row {
        Some(row) if row.writer == *id => Resolution::Accepted,
        Some(_) => Resolution::Refused,
        None => Resolution::Undecided,
    }
}
