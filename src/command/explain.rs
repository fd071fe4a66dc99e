//! The command that tells from logs what became of a request and why.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;

/// Exit status if nothing was found or a log can't be read.
const NOT_FOUND: u8 = 1;
/// Events that tell what a process believes; the last one before a request explains it.
const BELIEFS: [&str; 6] = [
    "config_in_force",
    "store_lost",
    "store_regained",
    "server_registered",
    "server_removed",
    "group_state",
];

/// Flags of `siskinbend explain`.
#[derive(Debug, Clone, Bpaf)]
pub struct ExplainFlags {
    /// Id of the request
    #[bpaf(positional("REQUEST-ID"))]
    pub request: String,
    /// Logs of processes; the name of the file names the process
    #[bpaf(positional("LOG"), some("at least one log is needed"))]
    pub logs: Vec<PathBuf>,
}

/// One line of a log.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Unix time in seconds.
    pub time: f64,
    /// The process.
    pub process: String,
    /// The event with its fields.
    pub text: String,
}

/// The value of a field of a line, without its quotes.
pub fn find_field<'line>(line: &'line str, name: &str) -> Option<&'line str> {
    let start = line.match_indices(name).map(|(at, _)| at).find(|at| {
        let begins = *at == 0 || line.as_bytes()[at - 1] == b' ';
        begins && line.as_bytes().get(at + name.len()) == Some(&b'=')
    })?;
    let rest = &line[start + name.len() + 1..];
    match rest.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next(),
        None => rest.split(' ').next(),
    }
}

fn read_line(process: &str, text: &str) -> Option<Line> {
    let at = text.find("ts=")?;
    let text = &text[at..];
    Some(Line {
        time: find_field(text, "ts")?.parse().ok()?,
        process: process.to_owned(),
        text: text.split_once(' ')?.1.to_owned(),
    })
}

/// The lines about a request in the order of time, each process's beliefs before them.
///
/// From each log come the lines with the request's id, the last lines before the first of them
/// about the configuration and the store, and those about the backend servers that are named.
pub fn tell(request: &str, logs: &[(String, Vec<String>)]) -> Vec<Line> {
    let mut story = Vec::new();
    for (process, lines) in logs {
        let lines: Vec<Line> = lines.iter().filter_map(|l| read_line(process, l)).collect();
        let own = |l: &&Line| find_field(&l.text, "request") == Some(request);
        let found: Vec<&Line> = lines.iter().filter(own).collect();
        let Some(first) = found.first() else {
            continue;
        };
        let servers: BTreeSet<&str> = found
            .iter()
            .filter_map(|l| find_field(&l.text, "server"))
            .collect();
        for event in BELIEFS {
            let named = |l: &&Line| {
                let server = find_field(&l.text, "server");
                find_field(&l.text, "event") == Some(event)
                    && l.time <= first.time
                    && server.is_none_or(|s| servers.contains(s))
            };
            story.extend(lines.iter().rfind(named).cloned());
        }
        story.extend(found.into_iter().cloned());
    }
    story.sort_by(|a, b| a.time.total_cmp(&b.time));
    story
}

fn read_log(path: &Path) -> std::io::Result<(String, Vec<String>)> {
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    let lines = BufReader::new(File::open(path)?).lines();
    Ok((name.into_owned(), lines.collect::<Result<_, _>>()?))
}

/// Prints the story of a request.
pub fn run(flags: &ExplainFlags) -> ExitCode {
    let mut logs = Vec::new();
    for path in &flags.logs {
        match read_log(path) {
            Ok(log) => logs.push(log),
            Err(error) => {
                eprintln!("error: {}: {error}", path.display());
                return ExitCode::from(NOT_FOUND);
            }
        }
    }
    let story = tell(&flags.request, &logs);
    if story.is_empty() {
        eprintln!("error: no log has a line about request {}", flags.request);
        return ExitCode::from(NOT_FOUND);
    }
    let mut out = std::io::stdout().lock();
    for line in &story {
        // A reader that has seen enough closes the pipe; that is no failure.
        if writeln!(out, "{:.3} {} {}", line.time, line.process, line.text).is_err() {
            break;
        }
    }
    ExitCode::SUCCESS
}
