//! Checks documents and puts them in force.

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

/// Exit status of a change that was refused.
const REFUSED: u8 = 1;

/// Exit status of wrong input.
const USAGE: u8 = 2;

/// Exit status of a change whose outcome is not known yet.
const NOT_KNOWN: u8 = 3;

/// Versions that the history shows at most.
const HISTORY_ROWS: usize = 200;

/// Where a change is written and who makes it.
#[derive(Debug, Clone, Bpaf)]
pub struct WriteFlags {
    /// Address of the platform's services
    #[bpaf(env("SISKINBEND_PLATFORM"), argument("URL"))]
    platform: String,
    /// Version that the change replaces, 0 for none
    #[bpaf(argument("N"))]
    replaces: u64,
    /// Newest version known from elsewhere; the new version is above it
    #[bpaf(argument("N"), fallback(0))]
    floor: u64,
    /// Name of the operator, kept in the history
    #[bpaf(env("SISKINBEND_OPERATOR"), argument("NAME"), fallback("unknown".to_owned()))]
    operator: String,
    #[bpaf(external(offer::offer_flags))]
    offer: OfferFlags,
}

/// Where documents are read.
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
    /// Checks a file without the platform
    #[bpaf(command)]
    Check {
        /// The document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Puts a file in force in the trial environment
    #[bpaf(command("try"))]
    Try {
        #[bpaf(external(write_flags))]
        /// Where the change is written and who makes it:
        write: WriteFlags,
        /// The document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Puts what was tried in force in production
    #[bpaf(command)]
    Promote {
        #[bpaf(external(write_flags))]
        /// Where the change is written and who makes it:
        write: WriteFlags,
        /// Digest of the trial document that was tested
        #[bpaf(argument("SHA256"))]
        digest: Digest,
    },
    /// Makes a new version with the content of an earlier one
    #[bpaf(command)]
    Undo {
        #[bpaf(external(write_flags))]
        /// Where the change is written and who makes it:
        write: WriteFlags,
        /// `trial` or `production`
        #[bpaf(argument("NAME"), fallback("production".to_owned()))]
        environment: String,
        /// Version whose content comes back
        #[bpaf(argument("N"))]
        target: u64,
    },
    /// Prints the document in force, or an earlier version
    #[bpaf(command)]
    Show {
        #[bpaf(external(read_flags))]
        /// Where documents are read:
        read: ReadFlags,
        /// Version to print instead of the one in force
        #[bpaf(argument("N"))]
        version: Option<u64>,
    },
    /// Prints the versions of an environment, with who and when
    #[bpaf(command)]
    History {
        #[bpaf(external(read_flags))]
        /// Where documents are read:
        read: ReadFlags,
    },
    /// Tells what became of a change whose outcome was not known
    #[bpaf(command)]
    Resolve {
        #[bpaf(external(read_flags))]
        /// Where documents are read:
        read: ReadFlags,
        /// Version that the change would have made
        #[bpaf(argument("N"))]
        version: u64,
        /// Id of the change's transaction
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

/// Why a command failed.
#[derive(Debug, Display)]
enum CommandError {
    /// the file {0} can't be read: {1}
    File(PathBuf, std::io::Error),
    /// {0} has mistakes:
    Findings(PathBuf, siskinbend_document::Findings),
    /// "{0}" is not of the form http://IP:PORT
    Platform(String),
    /// "{0}" is not trial or production
    Environment(String),
    /// the platform can't be reached: {0}
    Store(StoreError),
    /// {0} has no document
    Absent(&'static str),
    /// {0} has no version {1}
    NoVersion(&'static str, Version),
    /// the content of version {0} can't be read: {1}
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
            change(&write, Request::Promote { replaces, digest }).await
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
    change(write, request).await
}

async fn undo(write: &WriteFlags, environment: &str, target: u64) -> Result<u8, CommandError> {
    let request = Request::Undo {
        environment: parse_environment(environment)?,
        replaces: Version(write.replaces),
        target: Version(target),
    };
    change(write, request).await
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

/// Carries out a change and tells how it ended.
async fn change(write: &WriteFlags, request: Request) -> Result<u8, CommandError> {
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
    let ending = documents::run_promotion(table, table, author, request, floor).await;
    report(write, &store, environment, &id, ending).await
}

/// Seconds since 1970 by the operator's clock; only shown, never compared.
fn format_seconds() -> SmolStr {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format_smolstr!("{}", now.as_secs())
}

async fn report(
    write: &WriteFlags,
    store: &Client,
    environment: Environment,
    id: &TransactionId,
    ending: PromotionOutcome,
) -> Result<u8, CommandError> {
    let name = environment.as_str();
    match ending {
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
            print_line!("refused environment={name}: {}", explain(&refusal));
            if let Refusal::Superseded(Some(entry)) | Refusal::TrialChanged(Some(entry)) = &refusal
            {
                print_difference(store, write, environment, entry).await;
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
            Ok(NOT_KNOWN)
        }
    }
}

fn explain(refusal: &Refusal) -> String {
    let describe = |entry: &VersionRecord| {
        let VersionTag { version, digest } = entry.tag;
        format!(
            "version {version} with digest {digest} by {} at {}",
            entry.who, entry.when
        )
    };
    match refusal {
        Refusal::Superseded(Some(entry)) => format!("in force is {}", describe(entry)),
        Refusal::Superseded(None) => "another version is in force".to_owned(),
        Refusal::TrialChanged(Some(entry)) => format!("the trial has {}", describe(entry)),
        Refusal::TrialChanged(None) => "the trial has no document".to_owned(),
        Refusal::UnknownVersion(version) => format!("there is no version {version}"),
        Refusal::Malformed(key) => format!("the row {key} can't be understood"),
        Refusal::Reverted(entry, version) => format!(
            "the platform shows {}, but version {version} exists already; \
             run the command again with --floor {version}",
            describe(entry)
        ),
    }
}

/// Shows the loser of a race what the winner changed since the version it meant to replace.
async fn print_difference(
    store: &Client,
    write: &WriteFlags,
    environment: Environment,
    winner: &VersionRecord,
) {
    let old = match write.replaces {
        0 => Ok(Arc::from("")),
        version => read_version(store, environment, Version(version)).await,
    };
    if let (Ok(old), Ok(new)) = (old, read_content(store, winner.tag).await) {
        out::write(format_args!("{}", diff_texts(&old, &new)));
    }
}

async fn read_content(store: &Client, tag: VersionTag) -> Result<Arc<str>, CommandError> {
    let text = documents::fetch_text(store, &tag.digest).await;
    text.map_err(|error| CommandError::Content(tag.version, error))
}

async fn read_entry(
    store: &Client,
    environment: Environment,
) -> Result<VersionRecord, CommandError> {
    let entry = documents::read_current(store, environment).await;
    let entry = entry.map_err(CommandError::Store)?;
    entry.ok_or(CommandError::Absent(environment.as_str()))
}

async fn read_version(
    store: &Client,
    environment: Environment,
    version: Version,
) -> Result<Arc<str>, CommandError> {
    let entry = documents::read_version(store, environment, version).await;
    let entry = entry.map_err(CommandError::Store)?;
    let entry = entry.ok_or(CommandError::NoVersion(environment.as_str(), version))?;
    read_content(store, entry.tag).await
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
            NOT_KNOWN,
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
            let entry = read_entry(&store, environment).await?;
            let VersionTag { version, digest } = entry.tag;
            eprintln!(
                "version={version} digest={digest} who={} when={}",
                entry.who, entry.when
            );
            read_content(&store, entry.tag).await?
        }
    };
    out::write(format_args!("{text}"));
    Ok(0)
}

async fn list_history(read: &ReadFlags) -> Result<u8, CommandError> {
    let store = connect(&read.platform)?;
    let environment = parse_environment(&read.environment)?;
    let entries = documents::list_history(store.as_ref(), environment, HISTORY_ROWS).await;
    for entry in entries.map_err(CommandError::Store)? {
        let VersionTag { version, digest } = entry.tag;
        print_line!(
            "version={version} digest={digest} who={} when={}",
            entry.who,
            entry.when
        );
    }
    Ok(0)
}

async fn diff(platform: &str) -> Result<u8, CommandError> {
    let store = connect(platform)?;
    let trial = read_entry(&store, Environment::Trial).await?;
    let new = read_content(&store, trial.tag).await?;
    let old = match read_entry(&store, Environment::Production).await {
        Ok(entry) => read_content(&store, entry.tag).await?,
        Err(CommandError::Absent(_)) => Arc::from(""),
        Err(error) => return Err(error),
    };
    out::write(format_args!("{}", diff_texts(&old, &new)));
    Ok(0)
}
