//! The command that merges the log lines about one request into a timeline.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;

/// Exit status if no line was found or a log can't be read.
const NOT_FOUND: u8 = 1;
/// Events that report the state of a process; the last one of each before a request shows the state
/// that its decisions were based on.
const CONTEXT_EVENTS: [&str; 6] = [
    "config_in_force",
    "store_lost",
    "store_regained",
    "server_registered",
    "server_removed",
    "group_state",
];

/// Events that withhold requests from servers or zones, or let them through again. The last one of
/// each server and zone is shown, because a request passes by several.
const WITHHOLDING_EVENTS: [&str; 6] = [
    "zone_evacuated",
    "zone_reopened",
    "server_cold",
    "server_warm",
    "server_leaving",
    "server_paused",
];

/// Flags of `siskinbend explain`.
#[derive(Debug, Clone, Bpaf)]
pub struct ExplainFlags {
    /// ID of the request
    #[bpaf(positional("REQUEST-ID"))]
    pub request: String,
    /// Log files; each file is named after its process
    #[bpaf(positional("LOG"), some("at least one log is needed"))]
    pub logs: Vec<PathBuf>,
}

/// One line of a log.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Unix time in seconds.
    pub time: f64,
    /// Name of the process, from the name of its log file.
    pub process: String,
    /// The rest of the line: level, event and fields.
    pub text: String,
}

/// Returns the value of a field of a log line, without quotes.
pub fn find_field<'line>(line: &'line str, name: &str) -> Option<&'line str> {
    let start = line.match_indices(name).map(|(at, _)| at).find(|at| {
        let starts_word = *at == 0 || line.as_bytes()[at - 1] == b' ';
        starts_word && line.as_bytes().get(at + name.len()) == Some(&b'=')
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

/// Collects the lines about a request from all logs, sorted by time.
///
/// A log contributes the lines with the request's ID and, for each of the context events, the last
/// line before the first of these. Context lines that name a backend server are limited to the
/// servers that the request's lines name.
pub fn build_timeline(request: &str, logs: &[(String, Vec<String>)]) -> Vec<Line> {
    let mut timeline = Vec::new();
    for (process, lines) in logs {
        let lines: Vec<Line> = lines.iter().filter_map(|l| read_line(process, l)).collect();
        let is_about = |l: &&Line| find_field(&l.text, "request") == Some(request);
        let matching: Vec<&Line> = lines.iter().filter(is_about).collect();
        let Some(first) = matching.first() else {
            continue;
        };
        let servers: BTreeSet<&str> = matching
            .iter()
            .filter_map(|l| find_field(&l.text, "server"))
            .collect();
        for event in CONTEXT_EVENTS {
            let is_context = |l: &&Line| {
                let server = find_field(&l.text, "server");
                find_field(&l.text, "event") == Some(event)
                    && l.time <= first.time
                    && server.is_none_or(|s| servers.contains(s))
            };
            timeline.extend(lines.iter().rfind(is_context).cloned());
        }
        timeline.extend(list_withholding(&lines, &matching, first.time));
        timeline.extend(matching.into_iter().cloned());
    }
    timeline.sort_by(|a, b| a.time.total_cmp(&b.time));
    timeline
}

/// Lists the last line before `time` about each server and zone that requests were withheld from. Lines
/// that name a server are limited to the services and servers that the request's lines name: a
/// refused request names no server.
fn list_withholding(lines: &[Line], matching: &[&Line], time: f64) -> Vec<Line> {
    let named = |name: &'static str| -> BTreeSet<&str> {
        let values = matching.iter().filter_map(|l| find_field(&l.text, name));
        values.collect()
    };
    let (servers, services) = (named("server"), named("service"));
    let mut latest = BTreeMap::new();
    for line in lines.iter().filter(|l| l.time <= time) {
        let event = find_field(&line.text, "event").unwrap_or_default();
        let server = find_field(&line.text, "server");
        let service = find_field(&line.text, "service");
        let concerns = server.is_none_or(|s| servers.contains(s))
            || service.is_some_and(|s| services.contains(s));
        if WITHHOLDING_EVENTS.contains(&event) && concerns {
            let kind = find_kind(event);
            latest.insert((kind, server, find_field(&line.text, "zone")), line);
        }
    }
    latest.into_values().cloned().collect()
}

/// Returns what an event is about; the latest event about it counts.
fn find_kind(event: &str) -> &str {
    match event {
        "zone_evacuated" | "zone_reopened" => "zone",
        "server_cold" | "server_warm" => "cold",
        other => other,
    }
}

fn read_log(path: &Path) -> std::io::Result<(String, Vec<String>)> {
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    let lines = BufReader::new(File::open(path)?).lines();
    Ok((name.into_owned(), lines.collect::<Result<_, _>>()?))
}

/// Prints the timeline of a request; fails if a log can't be read or none mentions the request.
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
    let timeline = build_timeline(&flags.request, &logs);
    if timeline.is_empty() {
        eprintln!("error: no log has a line about request {}", flags.request);
        return ExitCode::from(NOT_FOUND);
    }
    let mut out = std::io::stdout().lock();
    for line in &timeline {
        // The reader, such as `head`, may close the pipe early; that is not an error.
        if writeln!(out, "{:.3} {} {}", line.time, line.process, line.text).is_err() {
            break;
        }
    }
    ExitCode::SUCCESS
}
