//! Writes of the operator to an environment: try, promote, undo.
//!
//! A promotion is one transaction on the environment's row and on a row of the history that must
//! not exist yet. History rows are never changed, so that the row of a version names the one
//! transaction that made it. Whatever becomes of an answer, that row tells who won.

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
    /// Where a document is tested.
    Trial,
    /// Where it serves callers.
    Production,
}

impl Environment {
    /// The name in row keys.
    pub fn as_str(self) -> &'static str {
        match self {
            Environment::Trial => "trial",
            Environment::Production => "production",
        }
    }

    /// Key of the row that names the version in force.
    pub fn key(self) -> Key {
        make_key(format!("environment/{}", self.as_str()))
    }

    /// Key of the row of one version.
    pub fn history_key(self, version: Version) -> Key {
        // Digits of fixed width make a scan return versions in order.
        make_key(format!("history/{}/{:020}", self.as_str(), version.0))
    }

    /// Prefix of the rows of all versions.
    pub fn history_prefix(self) -> Key {
        make_key(format!("history/{}/", self.as_str()))
    }
}

fn make_key(text: String) -> Key {
    SmolStr::from(text)
        .try_into()
        .unwrap_or_else(|error| unreachable!("fixed keys are well-formed: {error}"))
}

/// What the row of an environment or of a version says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRecord {
    /// Version and digest.
    pub tag: VersionTag,
    /// Who accepted it.
    pub who: SmolStr,
    /// When, as text of the operator's clock; for people only.
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
    /// Reads the value of a row, `None` if it is malformed.
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

    /// Writes the value of a row.
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
    /// Id of the transaction, drawn at random.
    pub id: TransactionId,
    /// Name of the operator.
    pub who: SmolStr,
    /// Time on the operator's clock.
    pub when: SmolStr,
}

/// What an operator wants. `replaces` is the version that the operator saw in force, 0 for none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Put a new text in force in the trial environment.
    Try {
        /// The text; it has passed the checks.
        text: Arc<str>,
        /// Version of the trial environment that it replaces.
        replaces: Version,
    },
    /// Put the text that is in force in the trial environment in force in production.
    Promote {
        /// Version of production that it replaces.
        replaces: Version,
        /// Digest of the trial text that was tested.
        digest: Digest,
    },
    /// Make a new version with the text of an earlier one.
    Undo {
        /// The environment.
        environment: Environment,
        /// Version that it replaces.
        replaces: Version,
        /// Version whose text comes back.
        target: Version,
    },
}

impl Request {
    /// Checks a text for the trial environment.
    ///
    /// # Errors
    ///
    /// Returns all findings.
    pub fn for_trial(text: Arc<str>, replaces: Version) -> Result<Request, Findings> {
        Document::parse(&text)?;
        Ok(Request::Try { text, replaces })
    }

    /// The environment that is written.
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

/// Why nothing was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// Another version is in force than the one to be replaced; `None` if there is none.
    Superseded(Option<VersionRecord>),
    /// The trial environment has another text than the one that was tested; `None` if none.
    TrialChanged(Option<VersionRecord>),
    /// The version whose text should come back doesn't exist.
    UnknownVersion(Version),
    /// A row can't be understood.
    Malformed(Key),
    /// The environment's row is older than its history, as after a restore: the version that
    /// would follow exists already. The operator repeats the command with a higher floor.
    Reverted(VersionRecord, Version),
}

/// How a promotion ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// Yes: this version is accepted, possibly replaced since.
    Accepted(VersionTag),
    /// No, and it never will be.
    Refused(Refusal),
    /// No, and it never will be: the platform couldn't be reached.
    NotApplied(Cause),
    /// Not known yet: the row of this version tells by its writer, see [`resolve_from_history`].
    Unknown(VersionTag),
}

/// Something that the shell carries out; its result is the next event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Write the text to the object store.
    Put(Digest, Arc<str>),
    /// Read a row; not a coalesced read.
    Read(Key),
    /// Apply a transaction.
    Commit(Commit),
    /// Report the end.
    Finish(PromotionOutcome),
}

/// Result of the last action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The object was written, or not.
    Put(Result<(), StoreError>),
    /// The row as read.
    Read(Result<Option<Row>, StoreError>),
    /// The answer to the transaction.
    Commit(Result<CommitAnswer, StoreError>),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Putting,
    ReadingSource,
    ReadingCurrent,
    Committing,
    ReadingBack,
    ReadingWinner,
    Ended,
}

/// One promotion.
#[derive(Debug)]
pub struct Promotion {
    author: Author,
    request: Request,
    floor: Version,
    state: State,
    digest: Option<Digest>,
    trial: Option<Revision>,
    commit: Option<Commit>,
    tag: Option<VersionTag>,
    conflict: Option<Key>,
    open: bool,
    commits: u32,
    reads: u32,
}

impl Promotion {
    /// Starts a promotion. `floor` is the newest version that is known from elsewhere, such as
    /// from processes of the fleet, 0 if none; the new version is above it.
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
            trial: None,
            commit: None,
            tag: None,
            conflict: None,
            open: false,
            commits: 0,
            reads: 0,
        };
        (promotion, action)
    }

    /// Takes the result of the last action and returns the next.
    ///
    /// # Panics
    ///
    /// Panics if the event is not the result of the last action.
    pub fn handle(&mut self, event: Event) -> Action {
        match (self.state.clone(), event) {
            (State::Putting, Event::Put(result)) => self.take_put(result),
            (State::ReadingSource, Event::Read(Ok(row))) => self.take_source(row.as_ref()),
            (State::ReadingCurrent, Event::Read(Ok(row))) => self.take_current(row),
            (State::ReadingSource | State::ReadingCurrent, Event::Read(Err(error))) => {
                self.finish(PromotionOutcome::NotApplied(error.cause()))
            }
            (State::Committing, Event::Commit(result)) => self.take_commit(result),
            (State::ReadingBack, Event::Read(result)) => self.take_history(result),
            (State::ReadingWinner, Event::Read(result)) => self.take_winner(result),
            (state, event) => panic!(
                "transaction {}: the event {event:?} doesn't fit the state {state:?}",
                self.author.id
            ),
        }
    }

    fn finish(&mut self, ending: PromotionOutcome) -> Action {
        self.state = State::Ended;
        Action::Finish(ending)
    }

    fn refuse(&mut self, refusal: Refusal) -> Action {
        self.finish(PromotionOutcome::Refused(refusal))
    }

    fn read(&mut self, state: State, key: Key) -> Action {
        self.state = state;
        Action::Read(key)
    }

    fn take_put(&mut self, result: Result<(), StoreError>) -> Action {
        let Request::Try { text, .. } = &self.request else {
            unreachable!("only a try writes an object")
        };
        // An object without a row that names it is never served.
        if let Err(error) = result {
            return self.finish(PromotionOutcome::NotApplied(error.cause()));
        }
        self.digest = Some(Document::digest(text));
        self.read(State::ReadingCurrent, Environment::Trial.key())
    }

    /// Takes the row that names the text: the trial's row or the row of an earlier version.
    fn take_source(&mut self, row: Option<&Row>) -> Action {
        let entry = row.and_then(|row| VersionRecord::decode(&row.value));
        match (&self.request, row, entry) {
            (_, Some(row), None) => {
                let key = row.key.clone();
                return self.refuse(Refusal::Malformed(key));
            }
            (Request::Promote { digest, .. }, row, entry) => {
                match (row, entry) {
                    (Some(row), Some(entry)) if entry.tag.digest == *digest => {
                        self.trial = Some(row.revision);
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

    fn take_current(&mut self, row: Option<Row>) -> Action {
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
        if self.trial.is_some() {
            // A later edit of the trial must not be promoted by accident.
            checks.push(check(&Environment::Trial.key(), self.trial));
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

    /// Sends the transaction; sending it again is safe because its checks let it apply only once.
    fn send_commit(&mut self) -> Action {
        let Some(commit) = self.commit.clone() else {
            unreachable!("the transaction is built before it is sent")
        };
        self.commits += 1;
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

    fn take_commit(&mut self, result: Result<CommitAnswer, StoreError>) -> Action {
        match result {
            Ok(CommitAnswer::Applied(_)) => {
                let tag = self.tag();
                self.finish(PromotionOutcome::Accepted(tag))
            }
            Ok(CommitAnswer::Conflict(key, _)) => {
                // From now on no earlier sending can apply either; whether one did, the history
                // tells.
                self.conflict = Some(key);
                self.read_history()
            }
            Err(StoreError::Ambiguous(_)) => {
                self.open = true;
                self.read_history()
            }
            Err(StoreError::NotApplied(_)) if self.open => self.read_history(),
            Err(StoreError::NotApplied(cause)) => self.finish(PromotionOutcome::NotApplied(cause)),
        }
    }

    fn take_history(&mut self, result: Result<Option<Row>, StoreError>) -> Action {
        let tag = self.tag();
        let row = match result {
            Ok(row) => row,
            Err(_) if self.reads + 1 < MAX_READ_ATTEMPTS => {
                self.reads += 1;
                return self.read_history();
            }
            Err(_) if self.open => return self.finish(PromotionOutcome::Unknown(tag)),
            Err(_) => return self.refuse(Refusal::Superseded(None)),
        };
        match resolve_from_history(&self.author.id, row.as_ref()) {
            Resolution::Accepted => self.finish(PromotionOutcome::Accepted(tag)),
            Resolution::Refused => self.read_winner(),
            Resolution::Undecided if self.conflict.is_some() => self.read_winner(),
            Resolution::Undecided if self.commits < MAX_COMMIT_ATTEMPTS => self.send_commit(),
            Resolution::Undecided => self.finish(PromotionOutcome::Unknown(tag)),
        }
    }

    /// Reads the row that stood in the way, to show it to the operator.
    fn read_winner(&mut self) -> Action {
        let trial = Environment::Trial.key();
        let key = match &self.conflict {
            Some(key) if self.trial.is_some() && *key == trial => trial,
            _ => self.request.environment().key(),
        };
        self.read(State::ReadingWinner, key)
    }

    fn take_winner(&mut self, result: Result<Option<Row>, StoreError>) -> Action {
        let row = result.unwrap_or_default();
        let entry = row
            .as_ref()
            .and_then(|row| VersionRecord::decode(&row.value));
        let trial = self.trial.is_some() && self.conflict == Some(Environment::Trial.key());
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

/// What the history tells about a transaction whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// Yes, it made the version.
    Accepted,
    /// No, another one did.
    Refused,
    /// Not known yet: the request may still be on its way.
    Undecided,
}

/// Judges a transaction by the history row of the version that it would have made.
pub fn resolve_from_history(id: &TransactionId, row: Option<&Row>) -> Resolution {
    match row {
        Some(row) if row.writer == *id => Resolution::Accepted,
        Some(_) => Resolution::Refused,
        None => Resolution::Undecided,
    }
}
