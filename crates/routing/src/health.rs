//! Health of one replica as one entry sees it.

use std::time::Duration;

use siskinbend_types::Time;

/// Samples of the first-token time before a replica can be called slow.
const LEAST_SAMPLES: u32 = 10;
/// Weight of a new sample in the smoothed first-token time.
const SMOOTHING: f64 = 0.1;
/// Share of requests with which a replica returns after an ejection.
const FIRST_SHARE: f64 = 0.1;

/// Limits of the health checks.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Failures or stalls in a row that eject a replica.
    pub max_failures: u32,
    /// A replica not heard from for this long is probed.
    pub probe_delay: Duration,
    /// A probe unanswered for this long makes the replica silent.
    pub probe_timeout: Duration,
    /// Lack of progress of the backend server with work running that ejects the replica.
    pub stall_timeout: Duration,
    /// First ejection; each further one in a row takes twice as long, up to `longest`.
    pub min_ejection: Duration,
    /// Longest ejection.
    pub max_ejection: Duration,
    /// Time over which a replica's share of requests grows back after an ejection.
    pub readmission_period: Duration,
    /// A smoothed first-token time above this multiple of the replicas' median is an outlier.
    pub outlier_ratio: f64,
    /// Largest share of the replicas that may be ejected at a time. Silent replicas are not
    /// counted: nothing sent to them is answered, so keeping them in use helps nobody.
    pub max_ejected_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_failures: 3,
            // With a probe timer of 250 ms a frozen process is noticed after 2.75 s.
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
    /// Several failures in a row.
    Failed,
    /// The backend server makes no progress.
    Stalled,
    /// Much slower than the others.
    Slow,
}

/// Whether a replica takes requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Availability {
    /// It takes its full share.
    Active,
    /// It takes none.
    Ejected(EjectionCause),
    /// It takes this share of what it would take.
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

/// Record of one replica's failures and speed.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failed: u32,
    ejections: u32,
    samples: u32,
    first_us: f64,
    state: State,
}

impl Health {
    /// Whether the replica takes requests now.
    pub fn availability(&self, settings: &Settings, now: Time) -> Availability {
        match self.state {
            State::Active => Availability::Active,
            State::Ejected { cause, .. } => Availability::Ejected(cause),
            State::Readmitted { since } => {
                let passed = now.since(since).as_secs_f64()
                    / settings.readmission_period.as_secs_f64().max(1e-6);
                if passed >= 1.0 {
                    Availability::Active
                } else {
                    Availability::Readmitted(passed.max(FIRST_SHARE))
                }
            }
        }
    }

    /// Tells whether the replica is ejected.
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }

    /// The smoothed first-token time in microseconds, once there are enough samples.
    pub fn mean_first_token(&self) -> Option<f64> {
        (self.samples >= LEAST_SAMPLES).then_some(self.first_us)
    }

    /// Notes a first-token time.
    pub fn record_first_token(&mut self, first_token: Duration) {
        self.samples = self.samples.saturating_add(1);
        let sample = first_token.as_secs_f64() * 1e6;
        // The plain mean of the first samples keeps one early sample from dominating.
        let weight = SMOOTHING.max(1.0 / f64::from(self.samples));
        self.first_us += (sample - self.first_us) * weight;
    }

    /// Notes a complete answer.
    pub fn record_success(&mut self, settings: &Settings, now: Time) {
        self.failed = 0;
        if matches!(self.state, State::Readmitted { .. })
            && self.availability(settings, now) == Availability::Active
        {
            self.state = State::Active;
            self.ejections = 0;
        }
    }

    /// Notes a failure and tells whether the replica should be ejected.
    ///
    /// While it is being readmitted, one failure is enough.
    pub fn record_failure(&mut self, settings: &Settings, now: Time) -> bool {
        self.failed = self.failed.saturating_add(1);
        let returning = matches!(
            self.availability(settings, now),
            Availability::Readmitted(_)
        );
        !self.is_ejected() && (returning || self.failed >= settings.max_failures)
    }

    /// Ejects the replica.
    pub fn eject(&mut self, cause: EjectionCause, settings: &Settings, now: Time) {
        let factor = 1u32 << self.ejections.min(16);
        let length = settings
            .min_ejection
            .saturating_mul(factor)
            .min(settings.max_ejection);
        self.ejections += 1;
        self.failed = 0;
        self.samples = 0;
        self.state = State::Ejected {
            cause,
            until: now + length,
        };
    }

    /// Notes that the replica was heard and its backend server makes progress; ends an ejection
    /// whose time has passed.
    pub fn recover(&mut self, now: Time) {
        if let State::Ejected { until, .. } = self.state
            && now >= until
        {
            self.readmit(now);
        }
    }

    /// Starts to give the replica a growing share of requests.
    pub fn readmit(&mut self, now: Time) {
        self.failed = 0;
        self.state = State::Readmitted { since: now };
    }
}
