//! Outcomes, reasons and priorities, with the names used in metrics, logs and problem documents.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::ParseError;

/// How an attempt or a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The backend server's complete answer was forwarded.
    Answered,
    /// It is certain that the backend server did not run the request and never will.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the name used in metrics, logs and problem documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Defines the reasons with their name, HTTP status and message to the caller.
macro_rules! reasons {
    ($($(#[$doc:meta])* $variant:ident => $name:literal, $status:literal, $message:literal;)+) => {
        /// Why a request was refused, aborted or retried.
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        pub enum Reason {
            $($(#[$doc])* $variant,)+
        }

        impl Reason {
            /// All reasons.
            pub const ALL: &'static [Reason] = &[$(Reason::$variant,)+];

            /// Returns the name used in metrics, logs and problem documents.
            pub fn as_str(self) -> &'static str {
                match self { $(Reason::$variant => $name,)+ }
            }

            /// Returns the HTTP status of a request that ends with this reason.
            pub fn status(self) -> u16 {
                match self { $(Reason::$variant => $status,)+ }
            }

            /// Returns the message to the caller.
            pub fn message(self) -> &'static str {
                match self { $(Reason::$variant => $message,)+ }
            }
        }
    };
}

reasons! {
    /// No valid bearer token.
    Unauthorized => "unauthorized", 401, "The bearer token is missing or not known.";
    /// The service is not in the document.
    UnknownService => "unknown_service", 404, "The environment has no service of this name.";
    /// The service has no such route.
    UnknownRoute => "unknown_route", 404, "The service has no route for this path.";
    /// A header or the body is malformed.
    BadRequest => "bad_request", 400, "A header or the body of the request is malformed.";
    /// The request body exceeds the route's limit.
    BodyTooLarge => "body_too_large", 413, "The request body is larger than the route allows.";
    /// The caller sent its request too slowly.
    SlowCaller => "slow_caller", 408, "The request was not received within the time allowed.";
    /// The process has no document yet.
    NoDocument => "no_document", 503, "The configuration is not known yet.";
    /// No replica of the service can accept the request.
    NoReplica => "no_replica", 503, "No replica of the service can take the request.";
    /// The agent or the entry is draining.
    Draining => "draining", 503, "The replica is leaving and takes no new work.";
    /// The dispatch was made for another incarnation of the agent.
    WrongIncarnation => "wrong_incarnation", 503, "The agent was restarted.";
    /// The dispatch was made in an earlier dispatch window.
    StaleWindow => "stale_window", 503, "The dispatch arrived too late.";
    /// The agent has already received this attempt.
    Duplicate => "duplicate", 409, "The attempt has already been received.";
    /// The attempt was cancelled before it arrived.
    Tombstone => "tombstone", 409, "The attempt was cancelled before it arrived.";
    /// The agent's queue is full.
    QueueFull => "queue_full", 429, "The queue of the replica is full.";
    /// The organisation exceeds its rate limit.
    RateLimited => "rate_limited", 429, "The organisation sends more requests a second than it may.";
    /// All replicas have reached the request rate that they accept.
    ServerLimit => "server_limit", 429, "All replicas have reached the request rate that they accept.";
    /// The organisation's share of the queue is used up.
    ShareExceeded => "share_exceeded", 429, "The organisation's share of the queue is used up.";
    /// The deadline passed, or can't be met.
    Deadline => "deadline", 504, "The deadline passed or can't be met.";
    /// The retry budget is used up.
    RetryBudget => "retry_budget", 503, "The retry budget is used up.";
    /// The connection to the agent was lost.
    LinkLost => "link_lost", 502, "The connection to the replica was lost.";
    /// The agent stopped answering.
    Stalled => "stalled", 504, "The replica stopped answering.";
    /// The replica delays the others of its group.
    SlowReplica => "slow_replica", 503, "The replica is much slower than the others.";
    /// The backend server failed.
    BackendFailed => "backend_failed", 502, "The backend server failed.";
    /// A frame does not belong to the request.
    Protocol => "protocol", 502, "A peer sent a frame that doesn't belong to the request.";
    /// Requests with the same prompt part have crashed replicas.
    PromptBlocked => "prompt_blocked", 503, "Requests with a part of this prompt have crashed replicas.";
    /// The same request may have crashed replicas before.
    RequestBlocked => "request_blocked", 503, "This request may have crashed replicas before.";
    /// The caller closed the connection.
    CallerGone => "caller_gone", 499, "The caller closed the connection.";
    /// The platform's table service is unavailable.
    StoreUnavailable => "store_unavailable", 503, "The platform's table service can't be reached.";
    /// The idempotency key was used with another request body.
    KeyReused => "key_reused", 422, "The idempotency key was used with another request body.";
    /// A request with this idempotency key is running.
    InProgress => "in_progress", 409, "A request with this idempotency key is running.";
    /// The outcome of an earlier request with this idempotency key is unknown.
    OutcomeLost => "outcome_lost", 409, "What became of an earlier request with this key isn't known.";
    /// The answer was too large to be stored with its idempotency key.
    AnswerNotKept => "answer_not_kept", 409, "The request was answered; the answer was too large to keep.";
    /// All replicas are in availability zones that are being evacuated.
    ZoneEvacuated => "zone_evacuated", 503, "The availability zones of all replicas are being evacuated.";
    /// All replicas have just started and have reached the request rate that they tolerate.
    ColdStart => "cold_start", 429, "All replicas have just started and accept few requests.";
    /// All replicas have asked for a pause.
    ServersPaused => "servers_paused", 503, "All replicas have asked for a pause.";
    /// No replica is in a region that the route and the organisation allow.
    RegionNotAllowed => "region_not_allowed", 503, "No replica is in a region that may serve the request.";
    /// A more urgent request took its place in the queue.
    Displaced => "displaced", 429, "A more urgent request took the place in the queue.";
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Priority of a request, most urgent first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// A person is waiting for the answer.
    Interactive,
    /// The default priority.
    #[default]
    Normal,
    /// Work that can be delayed.
    Batch,
}

impl FromStr for Priority {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "interactive" => Ok(Priority::Interactive),
            "normal" => Ok(Priority::Normal),
            "batch" => Ok(Priority::Batch),
            _ => Err(ParseError::Choice(
                text.to_owned(),
                "interactive, normal, batch",
            )),
        }
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Priority::Interactive => "interactive",
            Priority::Normal => "normal",
            Priority::Batch => "batch",
        })
    }
}
