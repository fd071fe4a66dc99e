//! Stand-ins and checks of the review's cases: `review-standins CASE RECORD TEMPORARY_FOLDER`.
//!
//! The exit status is 0 if the rule held, 1 if it was broken and 2 if the case could not run. With
//! `TROUBLE=0` the same is done without the disruption.

mod cases;
mod group;
mod http;
mod process;
mod record;
mod site;
mod store;

use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// Result of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken(String),
    /// The case could not show anything.
    NotRun(String),
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, record, folder] = words.as_slice() else {
        eprintln!("usage: review-standins CASE RECORD TEMPORARY_FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(record)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, trouble={}", u8::from(has_trouble)));
    let folder = Path::new(folder);
    let verdict = run(case, folder, &record, has_trouble);
    let (text, status) = match verdict {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken(what)) => (format!("the rule was BROKEN: {what}"), 1),
        Ok(Verdict::NotRun(why)) => (format!("the case could not run: {why}"), 2),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(status)
}

fn run(case: &str, folder: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    match case {
        "maps" => cases::maps::run(folder, record, has_trouble),
        "stop" => cases::stop::run(folder, record, has_trouble),
        "move" => cases::moved::run(folder, record, has_trouble),
        "silent" => cases::silent::run(folder, record, has_trouble),
        "restore" => cases::restore::run(folder, record, has_trouble),
        _ => Ok(Verdict::NotRun(format!("there is no case {case}"))),
    }
}
