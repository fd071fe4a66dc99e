//! Token bucket that limits retries to a share of the requests.

/// Thousandths of a retry that each request adds by default, so that retries are at most 10 % of
/// the requests.
const DEPOSIT_MILLIS: u64 = 100;
/// Thousandths of a retry that one retry costs.
const RETRY_MILLIS: u64 = 1_000;

/// Retry budget of one entry, shared by all its calls.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Available thousandths of a retry.
    balance: u64,
    /// Upper bound of the balance.
    max_balance: u64,
    /// Thousandths of a retry that each request adds.
    deposit: u64,
}

impl RetryBudget {
    /// Creates a full budget that holds at most `burst` retries.
    ///
    /// The burst allows an entry with little traffic to retry. It is also the number of retries by
    /// which one run of an entry can exceed its share of the requests, so it should be small.
    pub fn new(burst: u32) -> Self {
        let max_balance = u64::from(burst) * RETRY_MILLIS;
        Self {
            balance: max_balance,
            max_balance,
            deposit: DEPOSIT_MILLIS,
        }
    }

    /// Sets the share of the requests that may be retries, from 0 to 1.
    #[must_use]
    pub fn with_ratio(self, ratio: f64) -> Self {
        let deposit = (ratio.clamp(0.0, 1.0) * RETRY_MILLIS as f64) as u64;
        Self { deposit, ..self }
    }

    /// Adds the retry share of one new request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.deposit).min(self.max_balance);
    }

    /// Whether a retry is left.
    pub fn has_retry(&self) -> bool {
        self.balance >= RETRY_MILLIS
    }

    /// Takes one retry from the budget; returns false if it is used up.
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
