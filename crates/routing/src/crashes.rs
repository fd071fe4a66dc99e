//! Finds requests and parts of prompts that crash backend servers, and blocks them.
//!
//! A backend server that crashes takes all of its requests with it, and one gateway sees only those
//! that it sent. The tracker compares the requests of several crashes, also of those that other
//! gateways reported. A request that callers sent again, and that was at several crashes, is blocked;
//! a part of prompts is blocked if it was at several crashes that no such request accounts for.
//! Answers since the crashes speak for requests and parts.
//! The last part of a prompt belongs to one request and is not compared.

mod answers;
mod requests;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use siskinbend_types::AgentId;
use siskinbend_types::Incarnation;
use siskinbend_types::PromptPart;
use siskinbend_types::RequestFingerprint;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;
use smol_str::SmolStr;

use answers::Answers;
use requests::BlockedRequests;
use requests::weigh_request;

/// Number of parts of a stream that can arrive before the backend server has written the first
/// answer tokens of all requests that it started together.
const MAX_STARTING_PARTS: u32 = 2;
/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 64;
/// Maximum number of requests that are remembered of one crash.
const MAX_SUSPECTS: usize = 256;
/// Weight of a crash at which the answer had just begun.
const STARTING_WEIGHT: u32 = 4;
/// Weight of a crash at which the request was only waiting. Its answer may have begun without the
/// gateway having seen it.
const WAITING_WEIGHT: u32 = 3;

/// Progress of an attempt when its connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptStage {
    /// The answer had not begun.
    Waiting,
    /// The answer had just begun.
    Starting,
    /// The answer was well under way.
    Streaming,
}

impl AttemptStage {
    /// Returns the stage of an attempt whose answer has begun, after `parts` parts of its stream.
    pub fn of_stream(parts: u32) -> AttemptStage {
        match parts <= MAX_STARTING_PARTS {
            true => AttemptStage::Starting,
            false => AttemptStage::Streaming,
        }
    }

    /// Weight of a crash as evidence against the request's parts. A server that has already written
    /// some of an answer does not crash because of it.
    fn weight(self) -> u32 {
        match self {
            AttemptStage::Waiting => WAITING_WEIGHT,
            AttemptStage::Starting => STARTING_WEIGHT,
            AttemptStage::Streaming => 0,
        }
    }
}

impl fmt::Display for AttemptStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AttemptStage::Waiting => "waiting",
            AttemptStage::Starting => "starting",
            AttemptStage::Streaming => "streaming",
        })
    }
}

/// Request that a backend server had when it crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Id of the request.
    pub request: SmolStr,
    /// What the request is recognised by when it comes again. Gateways of earlier versions don't
    /// report it.
    #[serde(default)]
    pub fingerprint: Option<RequestFingerprint>,
    /// Parts of its prompt that other requests may share, in order.
    pub parts: Vec<PromptPart>,
    /// Progress of the attempt.
    pub stage: AttemptStage,
}

/// Crash of a backend server with the requests that one gateway had sent to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The backend server.
    pub server: AgentId,
    /// The run of the server that ended.
    pub incarnation: Incarnation,
    /// Service of the server.
    pub service: ServiceName,
    /// Requests whose connection broke.
    pub suspects: Vec<Suspect>,
}

/// Settings of a crash tracker.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Weight of crashes that blocks a part of which no answer is known.
    pub unknown_threshold: u32,
    /// Weight of crashes that blocks a part that was answered before them.
    pub answered_threshold: u32,
    /// Time within which several crashes count once, because they may have a common cause such as
    /// the loss of a rack.
    pub episode: Duration,
    /// Time for which crashes and answers are remembered, and for which a part stays blocked.
    pub retention: Duration,
    /// Time for which a request stays blocked that was at several crashes.
    pub request_block: Duration,
    /// Time for which a request stays blocked whose answer had just begun at one crash.
    pub probation: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            unknown_threshold: 2 * STARTING_WEIGHT,
            answered_threshold: 4 * STARTING_WEIGHT,
            episode: Duration::from_millis(500),
            retention: Duration::from_secs(600),
            request_block: Duration::from_secs(3_600),
            probation: Duration::from_secs(60),
        }
    }
}

/// What crashes backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cause {
    /// A request that callers send again.
    Request(RequestFingerprint),
    /// A part of prompts.
    Part(PromptPart),
}

/// Cause that has become blocked, and what it was blocked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Blocked {
    /// The request or part.
    pub cause: Cause,
    /// Weight of the crashes.
    pub weight: u32,
    /// Servers that crashed.
    pub servers: Vec<AgentId>,
}

#[derive(Debug)]
struct Crash {
    server: AgentId,
    incarnation: Incarnation,
    at: Time,
    suspects: Vec<Suspect>,
}

impl Crash {
    /// Returns the weight of this crash against a part.
    fn weigh(&self, part: &PromptPart) -> u32 {
        let with_part = self.suspects.iter().filter(|s| s.parts.contains(part));
        with_part.map(|s| s.stage.weight()).max().unwrap_or(0)
    }

    /// Whether a blocked part accounts for this crash.
    fn has_blocked_part(&self, blocked: &BTreeMap<PromptPart, Time>) -> bool {
        blocked.keys().any(|part| self.weigh(part) > 0)
    }

    /// Whether a blocked request that was at several crashes accounts for this one.
    fn has_repeated_request(&self, blocked: &BlockedRequests) -> bool {
        let is_repeated = |s: &Suspect| s.fingerprint.is_some_and(|f| blocked.is_repeated(f));
        self.suspects
            .iter()
            .any(|s| s.stage.weight() > 0 && is_repeated(s))
    }
}

/// Evidence against one part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Evidence {
    weight: u32,
    is_unknown: bool,
    /// Position in the prompt; later parts are more specific.
    depth: usize,
}

/// Tracks crashes of backend servers and blocks the prompt parts that cause them.
#[derive(Debug, Default)]
pub struct CrashTracker {
    settings: Settings,
    crashes: VecDeque<Crash>,
    answered: Answers<PromptPart>,
    /// Blocked parts with the end of the block.
    blocked: BTreeMap<PromptPart, Time>,
    answered_requests: Answers<RequestFingerprint>,
    blocked_requests: BlockedRequests,
}

impl CrashTracker {
    /// Returns the time for which a crash counts.
    pub fn retention(&self) -> Duration {
        self.settings.retention
    }

    /// Records a crash at the time `at`; several reports of the same crash are merged. Returns what
    /// it has blocked.
    pub fn record_crash(&mut self, report: CrashReport, at: Time, now: Time) -> Vec<Blocked> {
        self.forget_old(now);
        if now.since(at) >= self.settings.retention {
            return Vec::new();
        }
        let weighty = report.suspects.iter().filter(|s| s.stage.weight() > 0);
        let requests: BTreeSet<RequestFingerprint> =
            weighty.filter_map(|s| s.fingerprint).collect();
        self.merge(report, at);
        let mut blocked = self.block_requests(&requests, at);
        blocked.extend(self.block_parts(now));
        blocked
    }

    /// Records that a request with these shared parts, sent at `sent_at`, was answered, at least so
    /// far that it can't have crashed its backend server.
    pub fn record_answer(
        &mut self,
        fingerprint: RequestFingerprint,
        parts: &[PromptPart],
        sent_at: Time,
    ) {
        for part in parts {
            self.answered.record(part, sent_at);
        }
        self.answered_requests.record(&fingerprint, sent_at);
        if self.weigh_request(fingerprint) == 0 {
            self.blocked_requests.remove(fingerprint);
        }
    }

    /// Returns what a request is blocked for, and the time until the end of its block.
    pub fn find_blocked(
        &self,
        fingerprint: RequestFingerprint,
        parts: &[PromptPart],
        now: Time,
    ) -> Option<(Cause, Duration)> {
        let by_request = self.blocked_requests.find_end(fingerprint, now);
        let by_request = by_request.map(|until| (Cause::Request(fingerprint), until.since(now)));
        let by_part = parts.iter().filter_map(|part| {
            let until = *self.blocked.get(part)?;
            (now < until).then(|| (Cause::Part(part.clone()), until.since(now)))
        });
        by_part.chain(by_request).max_by_key(|(_, left)| *left)
    }

    /// Returns the number of blocked parts.
    pub fn count_blocked_parts(&self, now: Time) -> usize {
        self.blocked.values().filter(|until| now < **until).count()
    }

    /// Returns the number of blocked requests.
    pub fn count_blocked_requests(&self, now: Time) -> usize {
        self.blocked_requests.count(now)
    }

    fn forget_old(&mut self, now: Time) {
        let retention = self.settings.retention;
        self.crashes.retain(|c| now.since(c.at) < retention);
        self.blocked.retain(|_, until| now < *until);
        self.blocked_requests.remove_ended(now);
    }

    /// Returns the weight of the crashes against a request since its latest answer.
    fn weigh_request(&self, fingerprint: RequestFingerprint) -> u32 {
        let answered = self.answered_requests.find(&fingerprint);
        weigh_request(&self.crashes, fingerprint, answered, self.settings.episode)
    }

    /// Blocks the requests of a crash at the time `at` with enough evidence against them. Each block
    /// concerns one request only, so requests that the evidence does not tell apart are all blocked.
    fn block_requests(
        &mut self,
        requests: &BTreeSet<RequestFingerprint>,
        at: Time,
    ) -> Vec<Blocked> {
        let mut causes = Vec::new();
        for &fingerprint in requests {
            let weight = self.weigh_request(fingerprint);
            let is_answered = self.answered_requests.find(&fingerprint).is_some();
            let settings = &self.settings;
            let is_new =
                self.blocked_requests
                    .block(fingerprint, weight, is_answered, settings, at);
            if is_new {
                causes.push(Blocked {
                    cause: Cause::Request(fingerprint),
                    weight,
                    servers: self.list_servers(fingerprint),
                });
            }
        }
        causes
    }

    fn list_servers(&self, fingerprint: RequestFingerprint) -> Vec<AgentId> {
        let has = |c: &&Crash| requests::weigh_crash(c, fingerprint) > 0;
        let crashes = self.crashes.iter().filter(has);
        crashes.map(|c| c.server.clone()).collect()
    }

    fn merge(&mut self, report: CrashReport, at: Time) {
        let is_same =
            |c: &&mut Crash| c.server == report.server && c.incarnation == report.incarnation;
        if let Some(crash) = self.crashes.iter_mut().find(is_same) {
            let new = report.suspects.into_iter();
            let new: Vec<Suspect> = new.filter(|s| !crash.suspects.contains(s)).collect();
            crash.suspects.extend(new);
            crash.suspects.truncate(MAX_SUSPECTS);
            crash.at = crash.at.min(at);
            return;
        }
        let mut suspects = report.suspects;
        suspects.truncate(MAX_SUSPECTS);
        self.crashes.push_back(Crash {
            server: report.server,
            incarnation: report.incarnation,
            at,
            suspects,
        });
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
    }

    /// Blocks the parts that account for the most crashes, one after the other. Crashes that a blocked
    /// part or a repeated request accounts for are no evidence against other parts.
    fn block_parts(&mut self, now: Time) -> Vec<Blocked> {
        let mut causes = Vec::new();
        while let Some((part, evidence)) = self.find_cause(now) {
            let servers = self.unexplained().filter(|c| c.weigh(&part) > 0);
            causes.push(Blocked {
                cause: Cause::Part(part.clone()),
                weight: evidence.weight,
                servers: servers.map(|c| c.server.clone()).collect(),
            });
            self.blocked.insert(part, now + self.settings.retention);
        }
        causes
    }

    fn unexplained(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|c| {
            !c.has_blocked_part(&self.blocked) && !c.has_repeated_request(&self.blocked_requests)
        })
    }

    /// Returns the part with the most evidence against it, if that is enough to block it. Parts that
    /// the evidence does not tell apart wait for more of it.
    fn find_cause(&self, now: Time) -> Option<(PromptPart, Evidence)> {
        let parts: BTreeSet<&PromptPart> = self
            .unexplained()
            .flat_map(|c| &c.suspects)
            .flat_map(|s| &s.parts)
            .collect();
        let weighed: Vec<(&PromptPart, Evidence)> = parts
            .into_iter()
            .map(|part| (part, self.weigh(part, now)))
            .filter(|(_, evidence)| self.is_enough(evidence))
            .collect();
        let (part, most) = weighed.iter().max_by_key(|(_, evidence)| *evidence)?;
        let is_tied = weighed.iter().filter(|(_, e)| e == most).count() > 1;
        let can_wait = most.weight < self.settings.answered_threshold;
        (!(is_tied && can_wait)).then(|| ((*part).clone(), *most))
    }

    fn is_enough(&self, evidence: &Evidence) -> bool {
        let threshold = match evidence.is_unknown {
            true => self.settings.unknown_threshold,
            false => self.settings.answered_threshold,
        };
        evidence.weight >= threshold
    }

    /// Weighs the evidence against a part. Crashes before an answered request with the part was sent
    /// don't count.
    fn weigh(&self, part: &PromptPart, now: Time) -> Evidence {
        let is_recent = |sent_at: &Time| now.since(*sent_at) < self.settings.retention;
        let answered = self.answered.find(part).filter(is_recent);
        let mut crashes: Vec<&Crash> = self
            .unexplained()
            .filter(|c| c.weigh(part) > 0 && answered.is_none_or(|sent_at| c.at > sent_at))
            .collect();
        crashes.sort_by_key(|c| c.at);
        let position = |s: &Suspect| s.parts.iter().position(|p| p == part);
        let depths = crashes
            .iter()
            .flat_map(|c| &c.suspects)
            .filter_map(position);
        Evidence {
            weight: self.sum_episodes(part, &crashes),
            is_unknown: answered.is_none(),
            depth: depths.max().unwrap_or(0),
        }
    }

    /// Adds up the weights of crashes, in the order of time, against a part. Crashes of one episode
    /// count once, and so does each request: a retry may only have met with another crash.
    fn sum_episodes(&self, part: &PromptPart, crashes: &[&Crash]) -> u32 {
        let mut counted: BTreeSet<&SmolStr> = BTreeSet::new();
        let mut sum = 0;
        let mut rest = crashes;
        while let Some(first) = rest.first() {
            let is_together = |c: &&&Crash| c.at.since(first.at) < self.settings.episode;
            let length = rest.iter().take_while(is_together).count();
            let (episode, later) = rest.split_at(length.max(1));
            let suspects = episode.iter().flat_map(|c| &c.suspects);
            let new: Vec<&Suspect> = suspects
                .filter(|s| s.parts.contains(part) && !counted.contains(&s.request))
                .collect();
            sum += new.iter().map(|s| s.stage.weight()).max().unwrap_or(0);
            counted.extend(new.iter().map(|s| &s.request));
            rest = later;
        }
        sum
    }
}
