//! Token bucket that keeps retries a fixed share of requests.

/// Thousandths of a retry that each request adds by default: retries stay at or under 10 % of
/// requests.
const DEPOSIT_MILLIS: u64 = 100;
/// Thousandths of a retry that one retry takes.
const RETRY_MILLIS: u64 = 1_000;

/// Retry budget of one entry, shared by all its calls.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Thousandths of a retry at hand.
    balance: u64,
    /// Most thousandths that can be saved up.
    limit: u64,
    /// Thousandths that each request adds.
    deposit: u64,
}

impl RetryBudget {
    /// A full budget that saves up at most `burst` retries.
    ///
    /// The burst lets an entry with little traffic retry at all. It is all that a run of an entry
    /// can spend beyond a tenth of its requests, so it should be small.
    pub fn new(burst: u32) -> Self {
        let limit = u64::from(burst) * RETRY_MILLIS;
        Self {
            balance: limit,
            limit,
            deposit: DEPOSIT_MILLIS,
        }
    }

    /// The same budget with retries as another part of the requests, 0 to 1.
    #[must_use]
    pub fn with_ratio(self, ratio: f64) -> Self {
        let deposit = (ratio.clamp(0.0, 1.0) * RETRY_MILLIS as f64) as u64;
        Self { deposit, ..self }
    }

    /// Adds the share of one new request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.deposit).min(self.limit);
    }

    /// Takes one retry; false if the budget is used up.
    pub fn try_withdraw(&mut self) -> bool {
        match self.balance.checked_sub(RETRY_MILLIS) {
            Some(rest) => {
                self.balance = rest;
                true
            }
            None => false,
        }
    }
}
