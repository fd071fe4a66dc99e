//! The commands that check documents and activate them.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bpaf::Bpaf;
use displaydoc::Display;
use http::Uri;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use siskinbend_control::promotion::Author;
use siskinbend_control::promotion::Environment;
use siskinbend_control::promotion::PromotionOutcome;
use siskinbend_control::promotion::Refusal;
use siskinbend_control::promotion::Request;
use siskinbend_control::promotion::Resolution;
use siskinbend_control::promotion::VersionRecord;
use siskinbend_control::table::StoreError;
use siskinbend_control::table::TransactionId;
use siskinbend_control::version::Content;
use siskinbend_control::version::FetchError;
use siskinbend_control::version::VersionTag;
use siskinbend_document::Document;
use siskinbend_document::diff_texts;
use siskinbend_store::Client;
use siskinbend_store::documents;
use siskinbend_types::Digest;
use siskinbend_types::Version;

use super::offer;
use super::offer::OfferFlags;
use crate::command::out;
use crate::command::out::print_line;
use crate::platform;

/// Exit status of a command that was refused or failed.
const REFUSED: u8 = 1;

/// Exit status of invalid input.
const USAGE: u8 = 2;

/// Exit status of a change whose outcome is unknown.
const OUTCOME_UNKNOWN: u8 = 3;

/// Maximum number of versions in the history output.
const MAX_HISTORY_ROWS: usize = 200;

/// Target and author of the change.
#[derive(Debug, Clone, Bpaf)]
pub struct WriteFlags {
    /// Address of the platform's services
    #[bpaf(env("SISKINBEND_PLATFORM"), argument("URL"))]
    platform: String,
    /// Version that the change replaces, 0 for none
    #[bpaf(argument("N"))]
    replaces: u64,
    /// Newest version known from another source; the new version is higher
    #[bpaf(argument("N"), fallback(0))]
    floor: u64,
    /// Name of the operator, recorded in the history
    #[bpaf(env("SISKINBEND_OPERATOR"), argument("NAME"), fallback("unknown".to_owned()))]
    operator: String,
    #[bpaf(external(offer::offer_flags))]
    offer: OfferFlags,
}

/// Source of the documents.
#[derive(Debug, Clone, Bpaf)]
pub struct ReadFlags {
    /// Address of the platform's services
    #[bpaf(env("SISKINBEND_PLATFORM"), argument("URL"))]
    platform: String,
    /// `trial` or `production`
    #[bpaf(env("SISKINBEND_ENVIRONMENT"), argument("NAME"), fallback("production".to_owned()))]
    environment: String,
}

/// A command about documents.
#[derive(Debug, Clone, Bpaf)]
pub enum DocumentCommand {
    /// Validates a file without access to the platform
    #[bpaf(command)]
    Check {
        /// The document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Activates a file in the trial environment
    #[bpaf(command("try"))]
    Try {
        #[bpaf(external(write_flags))]
        /// Target and author of the change:
        write: WriteFlags,
        /// The document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Activates the trial document in production
    #[bpaf(command)]
    Promote {
        #[bpaf(external(write_flags))]
        /// Target and author of the change:
        write: WriteFlags,
        /// Digest of the trial document that was tested
        #[bpaf(argument("SHA256"))]
        digest: Digest,
    },
    /// Creates a new version with the content of an earlier one
    #[bpaf(command)]
    Undo {
        #[bpaf(external(write_flags))]
        /// Target and author of the change:
        write: WriteFlags,
        /// `trial` or `production`
        #[bpaf(argument("NAME"), fallback("production".to_owned()))]
        environment: String,
        /// Version whose content to restore
        #[bpaf(argument("N"))]
        target: u64,
    },
    /// Prints the active document, or an earlier version
    #[bpaf(command)]
    Show {
        #[bpaf(external(read_flags))]
        /// Source of the documents:
        read: ReadFlags,
        /// Version to print instead of the active one
        #[bpaf(argument("N"))]
        version: Option<u64>,
    },
    /// Prints the versions of an environment with author and time
    #[bpaf(command)]
    History {
        #[bpaf(external(read_flags))]
        /// Source of the documents:
        read: ReadFlags,
    },
    /// Determines the outcome of a change that was reported as not known yet
    #[bpaf(command)]
    Resolve {
        #[bpaf(external(read_flags))]
        /// Source of the documents:
        read: ReadFlags,
        /// Version that the change was to create
        #[bpaf(argument("N"))]
        version: u64,
        /// ID of the transaction of the change
        #[bpaf(argument("ID"))]
        transaction: String,
    },
    /// Prints what a promotion would change in production
    #[bpaf(command)]
    Diff {
        /// Address of the platform's services
        #[bpaf(env("SISKINBEND_PLATFORM"), argument("URL"))]
        platform: String,
    },
}

/// Reason why a command failed.
#[derive(Debug, Display)]
enum CommandError {
    /// cannot read the file {0}: {1}
    File(PathBuf, std::io::Error),
    /// {0} is not a valid document:
    Findings(PathBuf, siskinbend_document::Findings),
    /// "{0}" is not of the form http://IP:PORT
    Platform(String),
    /// unknown environment "{0}"; expected trial or production
    Environment(String),
    /// the platform can't be reached: {0}
    Store(StoreError),
    /// {0} has no document
    Absent(&'static str),
    /// {0} has no version {1}
    NoVersion(&'static str, Version),
    /// cannot read the content of version {0}: {1}
    Content(Version, FetchError),
}

impl CommandError {
    fn status(&self) -> u8 {
        match self {
            CommandError::File(..)
            | CommandError::Findings(..)
            | CommandError::Platform(_)
            | CommandError::Environment(_) => USAGE,
            _ => REFUSED,
        }
    }
}

/// Runs a command and prints its result.
pub async fn run(command: DocumentCommand) -> ExitCode {
    let result = match command {
        DocumentCommand::Check { file } => check(&file),
        DocumentCommand::Try { write, file } => try_file(&write, &file).await,
        DocumentCommand::Promote { write, digest } => {
            let replaces = Version(write.replaces);
            apply_change(&write, Request::Promote { replaces, digest }).await
        }
        DocumentCommand::Undo {
            write,
            environment,
            target,
        } => undo(&write, &environment, target).await,
        DocumentCommand::Show { read, version } => show(&read, version).await,
        DocumentCommand::History { read } => list_history(&read).await,
        DocumentCommand::Resolve {
            read,
            version,
            transaction,
        } => resolve(&read, version, &transaction).await,
        DocumentCommand::Diff { platform } => diff(&platform).await,
    };
    match result {
        Ok(status) => ExitCode::from(status),
        Err(error) => {
            eprintln!("error: {error}");
            if let CommandError::Findings(_, findings) = &error {
                eprintln!("{findings}");
            }
            ExitCode::from(error.status())
        }
    }
}

fn read_file(file: &PathBuf) -> Result<String, CommandError> {
    std::fs::read_to_string(file).map_err(|error| CommandError::File(file.clone(), error))
}

fn check(file: &PathBuf) -> Result<u8, CommandError> {
    let text = read_file(file)?;
    Document::parse(&text).map_err(|findings| CommandError::Findings(file.clone(), findings))?;
    print_line!(
        "{} is well-formed, digest {}",
        file.display(),
        Document::digest(&text)
    );
    Ok(0)
}

async fn try_file(write: &WriteFlags, file: &PathBuf) -> Result<u8, CommandError> {
    let text: Arc<str> = read_file(file)?.into();
    let request = Request::for_trial(text, Version(write.replaces))
        .map_err(|findings| CommandError::Findings(file.clone(), findings))?;
    apply_change(write, request).await
}

async fn undo(write: &WriteFlags, environment: &str, target: u64) -> Result<u8, CommandError> {
    let request = Request::Undo {
        environment: parse_environment(environment)?,
        replaces: Version(write.replaces),
        target: Version(target),
    };
    apply_change(write, request).await
}

fn parse_environment(text: &str) -> Result<Environment, CommandError> {
    match text {
        "trial" => Ok(Environment::Trial),
        "production" => Ok(Environment::Production),
        _ => Err(CommandError::Environment(text.to_owned())),
    }
}

fn connect(platform: &str) -> Result<Arc<Client>, CommandError> {
    let uri: Option<Uri> = platform.parse().ok();
    let uri = uri.filter(|uri| uri.scheme_str() == Some("http"));
    match uri.and_then(|uri| uri.into_parts().authority) {
        Some(authority) => Ok(platform::connect(&authority)),
        None => Err(CommandError::Platform(platform.to_owned())),
    }
}

/// Executes a change and prints its outcome.
async fn apply_change(write: &WriteFlags, request: Request) -> Result<u8, CommandError> {
    let store = connect(&write.platform)?;
    let environment = request.environment();
    let author = Author {
        id: TransactionId::from_random(rand::random()),
        who: SmolStr::new(&write.operator),
        when: format_seconds(),
    };
    let id = author.id.clone();
    let floor = Version(write.floor);
    let table: &Client = &store;
    let outcome = documents::run_promotion(table, table, author, request, floor).await;
    print_outcome(write, &store, environment, &id, outcome).await
}

/// Returns the Unix time in seconds by the operator's clock; it is only displayed, never compared.
fn format_seconds() -> SmolStr {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format_smolstr!("{}", now.as_secs())
}

async fn print_outcome(
    write: &WriteFlags,
    store: &Client,
    environment: Environment,
    id: &TransactionId,
    outcome: PromotionOutcome,
) -> Result<u8, CommandError> {
    let name = environment.as_str();
    match outcome {
        PromotionOutcome::Accepted(tag) => {
            print_line!(
                "accepted environment={name} version={} digest={}",
                tag.version,
                tag.digest
            );
            match read_content(store, tag).await {
                Ok(text) => offer::offer(&write.offer, Content { tag, text }).await,
                Err(error) => print_line!("no agent was told: {error}"),
            }
            Ok(0)
        }
        PromotionOutcome::Refused(refusal) => {
            print_line!("refused environment={name}: {}", describe_refusal(&refusal));
            if let Refusal::Superseded(Some(record)) | Refusal::TrialChanged(Some(record)) =
                &refusal
            {
                print_diff(store, write, environment, record).await;
            }
            Ok(REFUSED)
        }
        PromotionOutcome::NotApplied(cause) => {
            print_line!("not applied environment={name}: {cause}");
            Ok(REFUSED)
        }
        PromotionOutcome::Unknown(tag) => {
            let version = tag.version;
            print_line!(
                "not known yet environment={name} version={version} digest={}; to find out, run: \
                 siskinbend document resolve --environment {name} --version {version} \
                 --transaction {id}",
                tag.digest
            );
            Ok(OUTCOME_UNKNOWN)
        }
    }
}

fn describe_refusal(refusal: &Refusal) -> String {
    let describe = |record: &VersionRecord| {
        let VersionTag { version, digest } = record.tag;
        format!(
            "version {version} with digest {digest} by {} at {}",
            record.who, record.when
        )
    };
    match refusal {
        Refusal::Superseded(Some(record)) => format!("in force is {}", describe(record)),
        Refusal::Superseded(None) => "another version is in force".to_owned(),
        Refusal::TrialChanged(Some(record)) => format!("the trial has {}", describe(record)),
        Refusal::TrialChanged(None) => "the trial has no document".to_owned(),
        Refusal::UnknownVersion(version) => format!("there is no version {version}"),
        Refusal::Malformed(key) => format!("the row {key} can't be understood"),
        Refusal::Reverted(record, version) => format!(
            "the platform shows {}, but version {version} exists already; \
             run the command again with --floor {version}",
            describe(record)
        ),
    }
}

/// Prints the diff from the version that the refused change was to replace to the version that was
/// accepted instead.
async fn print_diff(
    store: &Client,
    write: &WriteFlags,
    environment: Environment,
    accepted: &VersionRecord,
) {
    let old = match write.replaces {
        0 => Ok(Arc::from("")),
        version => read_version(store, environment, Version(version)).await,
    };
    if let (Ok(old), Ok(new)) = (old, read_content(store, accepted.tag).await) {
        out::write(format_args!("{}", diff_texts(&old, &new)));
    }
}

async fn read_content(store: &Client, tag: VersionTag) -> Result<Arc<str>, CommandError> {
    let text = documents::fetch_text(store, &tag.digest).await;
    text.map_err(|error| CommandError::Content(tag.version, error))
}

async fn read_current(
    store: &Client,
    environment: Environment,
) -> Result<VersionRecord, CommandError> {
    let record = documents::read_current(store, environment).await;
    let record = record.map_err(CommandError::Store)?;
    record.ok_or(CommandError::Absent(environment.as_str()))
}

async fn read_version(
    store: &Client,
    environment: Environment,
    version: Version,
) -> Result<Arc<str>, CommandError> {
    let record = documents::read_version(store, environment, version).await;
    let record = record.map_err(CommandError::Store)?;
    let record = record.ok_or(CommandError::NoVersion(environment.as_str(), version))?;
    read_content(store, record.tag).await
}

async fn resolve(read: &ReadFlags, version: u64, id: &str) -> Result<u8, CommandError> {
    let store = connect(&read.platform)?;
    let environment = parse_environment(&read.environment)?;
    let (version, id) = (Version(version), TransactionId::from(id));
    let resolution = documents::resolve_promotion(store.as_ref(), environment, version, &id).await;
    let (answer, status) = match resolution.map_err(CommandError::Store)? {
        Resolution::Accepted => ("yes: this transaction made the version", 0),
        Resolution::Refused => ("no: another transaction made the version", REFUSED),
        Resolution::Undecided => (
            "not known yet: the version doesn't exist; ask again",
            OUTCOME_UNKNOWN,
        ),
    };
    print_line!("{answer}");
    Ok(status)
}

async fn show(read: &ReadFlags, version: Option<u64>) -> Result<u8, CommandError> {
    let store = connect(&read.platform)?;
    let environment = parse_environment(&read.environment)?;
    let text = match version {
        Some(version) => read_version(&store, environment, Version(version)).await?,
        None => {
            let record = read_current(&store, environment).await?;
            let VersionTag { version, digest } = record.tag;
            eprintln!(
                "version={version} digest={digest} who={} when={}",
                record.who, record.when
            );
            read_content(&store, record.tag).await?
        }
    };
    out::write(format_args!("{text}"));
    Ok(0)
}

async fn list_history(read: &ReadFlags) -> Result<u8, CommandError> {
    let store = connect(&read.platform)?;
    let environment = parse_environment(&read.environment)?;
    let records = documents::list_history(store.as_ref(), environment, MAX_HISTORY_ROWS).await;
    for record in records.map_err(CommandError::Store)? {
        let VersionTag { version, digest } = record.tag;
        print_line!(
            "version={version} digest={digest} who={} when={}",
            record.who,
            record.when
        );
    }
    Ok(0)
}

async fn diff(platform: &str) -> Result<u8, CommandError> {
    let store = connect(platform)?;
    let trial = read_current(&store, Environment::Trial).await?;
    let new = read_content(&store, trial.tag).await?;
    let old = match read_current(&store, Environment::Production).await {
        Ok(record) => read_content(&store, record.tag).await?,
        Err(CommandError::Absent(_)) => Arc::from(""),
        Err(error) => return Err(error),
    };
    out::write(format_args!("{}", diff_texts(&old, &new)));
    Ok(0)
}
