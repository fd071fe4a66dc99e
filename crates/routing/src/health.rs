//! Health of one replica as seen by one entry.

use std::time::Duration;

use siskinbend_types::Time;

/// Samples of the first-token time before a replica can be ejected as slow.
const MIN_SAMPLES: u32 = 10;
/// Weight of a new sample in the smoothed first-token time.
const SMOOTHING: f64 = 0.1;
/// Share of requests that a replica receives at first when it is readmitted.
const INITIAL_SHARE: f64 = 0.1;

/// Limits of the health checks.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Consecutive failures or stalls after which a replica is ejected.
    pub max_failures: u32,
    /// Time without a message after which a replica is probed.
    pub probe_delay: Duration,
    /// Time without an answer to a probe after which the replica counts as silent.
    pub probe_timeout: Duration,
    /// Time without progress of a backend server that has running requests after which the replica
    /// is ejected.
    pub stall_timeout: Duration,
    /// Duration of the first ejection; each consecutive one takes twice as long, up to
    /// `max_ejection`.
    pub min_ejection: Duration,
    /// Longest duration of an ejection.
    pub max_ejection: Duration,
    /// Time over which a replica's share of requests grows back after an ejection.
    pub readmission_period: Duration,
    /// Multiple of the replicas' median above which a smoothed first-token time is an outlier.
    pub outlier_ratio: f64,
    /// Largest share of the replicas that may be ejected at a time. Silent replicas are not
    /// counted: they answer no request, so they are never used.
    pub max_ejected_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_failures: 3,
            // With a probe timer of 250 ms a frozen process is detected after 2.75 s.
            probe_delay: Duration::from_millis(1_000),
            probe_timeout: Duration::from_millis(1_500),
            stall_timeout: Duration::from_millis(1_500),
            min_ejection: Duration::from_secs(5),
            max_ejection: Duration::from_secs(60),
            readmission_period: Duration::from_secs(10),
            outlier_ratio: 3.0,
            max_ejected_share: 0.34,
        }
    }
}

/// Why a replica was ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionCause {
    /// Consecutive failures.
    Failed,
    /// The backend server made no progress.
    Stalled,
    /// The first-token time was an outlier.
    Slow,
}

/// Whether a replica receives requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Availability {
    /// It receives its full share.
    Active,
    /// It receives none.
    Ejected(EjectionCause),
    /// It receives this fraction of its full share.
    Readmitted(f64),
}

#[derive(Debug, Clone, Copy, Default)]
enum State {
    #[default]
    Active,
    Ejected {
        cause: EjectionCause,
        until: Time,
    },
    Readmitted {
        since: Time,
    },
}

/// Failures, first-token time and ejection state of one replica.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Consecutive failures.
    failures: u32,
    /// Consecutive ejections.
    ejections: u32,
    samples: u32,
    mean_first_token_us: f64,
    state: State,
}

impl Health {
    /// Whether the replica receives requests now.
    pub fn availability(&self, settings: &Settings, now: Time) -> Availability {
        match self.state {
            State::Active => Availability::Active,
            State::Ejected { cause, .. } => Availability::Ejected(cause),
            State::Readmitted { since } => {
                let progress = now.since(since).as_secs_f64()
                    / settings.readmission_period.as_secs_f64().max(1e-6);
                if progress >= 1.0 {
                    Availability::Active
                } else {
                    Availability::Readmitted(progress.max(INITIAL_SHARE))
                }
            }
        }
    }

    /// Whether the replica is ejected.
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }

    /// Returns the smoothed first-token time in microseconds, once there are enough samples.
    pub fn mean_first_token(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.mean_first_token_us)
    }

    /// Records a first-token time.
    pub fn record_first_token(&mut self, first_token: Duration) {
        self.samples = self.samples.saturating_add(1);
        let sample = first_token.as_secs_f64() * 1e6;
        // The first samples are averaged evenly so that the very first one doesn't dominate.
        let weight = SMOOTHING.max(1.0 / f64::from(self.samples));
        self.mean_first_token_us += (sample - self.mean_first_token_us) * weight;
    }

    /// Records a complete answer.
    pub fn record_success(&mut self, settings: &Settings, now: Time) {
        self.failures = 0;
        if matches!(self.state, State::Readmitted { .. })
            && self.availability(settings, now) == Availability::Active
        {
            self.state = State::Active;
            self.ejections = 0;
        }
    }

    /// Records a failure and returns whether the replica should be ejected.
    ///
    /// One failure is enough while the replica is being readmitted.
    pub fn record_failure(&mut self, settings: &Settings, now: Time) -> bool {
        self.failures = self.failures.saturating_add(1);
        let is_readmitted = matches!(
            self.availability(settings, now),
            Availability::Readmitted(_)
        );
        !self.is_ejected() && (is_readmitted || self.failures >= settings.max_failures)
    }

    /// Ejects the replica.
    pub fn eject(&mut self, cause: EjectionCause, settings: &Settings, now: Time) {
        let factor = 1u32 << self.ejections.min(16);
        let duration = settings
            .min_ejection
            .saturating_mul(factor)
            .min(settings.max_ejection);
        self.ejections += 1;
        self.failures = 0;
        self.samples = 0;
        self.state = State::Ejected {
            cause,
            until: now + duration,
        };
    }

    /// Records a message that shows progress of the backend server; readmits the replica if its
    /// ejection has expired.
    pub fn recover(&mut self, now: Time) {
        if let State::Ejected { until, .. } = self.state
            && now >= until
        {
            self.readmit(now);
        }
    }

    /// Starts to give the replica a growing share of requests.
    pub fn readmit(&mut self, now: Time) {
        self.failures = 0;
        self.state = State::Readmitted { since: now };
    }
}
