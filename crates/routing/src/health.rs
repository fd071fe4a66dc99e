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
    pub failures: u32,
    /// A replica not heard from for this long is probed.
    pub quiet: Duration,
    /// A probe unanswered for this long makes the replica silent.
    pub answer: Duration,
    /// Lack of progress of the backend server with work running that ejects the replica.
    pub stall: Duration,
    /// First ejection; each further one in a row takes twice as long, up to `longest`.
    pub shortest: Duration,
    /// Longest ejection.
    pub longest: Duration,
    /// Time over which a replica's share of requests grows back after an ejection.
    pub readmission: Duration,
    /// A smoothed first-token time above this multiple of the replicas' median is an outlier.
    pub outlier: f64,
    /// Largest share of the replicas that may be ejected at a time. Silent replicas are not
    /// counted: nothing sent to them is answered, so keeping them in use helps nobody.
    pub cap: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            failures: 3,
            // With a probe timer of 250 ms a frozen process is noticed after 2.75 s.
            quiet: Duration::from_millis(1_000),
            answer: Duration::from_millis(1_500),
            stall: Duration::from_millis(1_500),
            shortest: Duration::from_secs(5),
            longest: Duration::from_secs(60),
            readmission: Duration::from_secs(10),
            outlier: 3.0,
            cap: 0.34,
        }
    }
}

/// Why a replica was ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Several failures in a row.
    Failed,
    /// The backend server makes no progress.
    Stalled,
    /// Much slower than the others.
    Slow,
}

/// Whether a replica takes requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Standing {
    /// It takes its full share.
    Active,
    /// It takes none.
    Ejected(Cause),
    /// It takes this share of what it would take.
    Readmitted(f64),
}

#[derive(Debug, Clone, Copy, Default)]
enum State {
    #[default]
    Active,
    Ejected {
        cause: Cause,
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
    pub fn standing(&self, settings: &Settings, now: Time) -> Standing {
        match self.state {
            State::Active => Standing::Active,
            State::Ejected { cause, .. } => Standing::Ejected(cause),
            State::Readmitted { since } => {
                let passed =
                    now.since(since).as_secs_f64() / settings.readmission.as_secs_f64().max(1e-6);
                if passed >= 1.0 {
                    Standing::Active
                } else {
                    Standing::Readmitted(passed.max(FIRST_SHARE))
                }
            }
        }
    }

    /// Tells whether the replica is ejected.
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }

    /// The smoothed first-token time in microseconds, once there are enough samples.
    pub fn first_token(&self) -> Option<f64> {
        (self.samples >= LEAST_SAMPLES).then_some(self.first_us)
    }

    /// Notes a first-token time.
    pub fn sample(&mut self, first_token: Duration) {
        self.samples = self.samples.saturating_add(1);
        let sample = first_token.as_secs_f64() * 1e6;
        // The plain mean of the first samples keeps one early sample from dominating.
        let weight = SMOOTHING.max(1.0 / f64::from(self.samples));
        self.first_us += (sample - self.first_us) * weight;
    }

    /// Notes a complete answer.
    pub fn succeed(&mut self, settings: &Settings, now: Time) {
        self.failed = 0;
        if matches!(self.state, State::Readmitted { .. })
            && self.standing(settings, now) == Standing::Active
        {
            self.state = State::Active;
            self.ejections = 0;
        }
    }

    /// Notes a failure and tells whether the replica should be ejected.
    ///
    /// While it is being readmitted, one failure is enough.
    pub fn fail(&mut self, settings: &Settings, now: Time) -> bool {
        self.failed = self.failed.saturating_add(1);
        let returning = matches!(self.standing(settings, now), Standing::Readmitted(_));
        !self.is_ejected() && (returning || self.failed >= settings.failures)
    }

    /// Ejects the replica.
    pub fn eject(&mut self, cause: Cause, settings: &Settings, now: Time) {
        let factor = 1u32 << self.ejections.min(16);
        let length = settings
            .shortest
            .saturating_mul(factor)
            .min(settings.longest);
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
