//! Platform client with retries, coalesced reads, circuit breakers and counters.

use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use siskinbend_control::table::Cause;
use siskinbend_control::table::Commit;
use siskinbend_control::table::CommitAnswer;
use siskinbend_control::table::Key;
use siskinbend_control::table::Row;
use siskinbend_control::table::StoreError;
use siskinbend_types::Digest;
use siskinbend_types::Time;
use tokio::sync::OnceCell;
use tokio::time::Instant;

use crate::api::ObjectStore;
use crate::api::Table;
use crate::api::Vm;
use crate::api::VmList;
use crate::breaker::CircuitBreaker;
use crate::counters::Counters;
use crate::retry::CallKind;
use crate::retry::RetryBudget;
use crate::retry::decide_retry;

fn lock<Kind>(mutex: &Mutex<Kind>) -> MutexGuard<'_, Kind> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct PolicyState {
    breaker: CircuitBreaker,
    budget: RetryBudget,
    rng: StdRng,
}

/// Circuit breaker, retry budget and counters of one service.
struct CallPolicy {
    state: Mutex<PolicyState>,
    counters: Arc<Counters>,
    origin: Instant,
}

impl CallPolicy {
    fn new(seed: u64) -> Self {
        let state = PolicyState {
            breaker: CircuitBreaker::default(),
            budget: RetryBudget::default(),
            rng: StdRng::seed_from_u64(seed),
        };
        Self {
            state: Mutex::new(state),
            counters: Arc::default(),
            origin: Instant::now(),
        }
    }

    fn now(&self) -> Time {
        Time::default() + self.origin.elapsed()
    }

    fn admit(&self) -> Result<(), StoreError> {
        let mut state = lock(&self.state);
        let draw = state.rng.random();
        if state.breaker.admit(self.now(), draw) {
            Ok(())
        } else {
            Err(StoreError::NotApplied(Cause::BreakerOpen))
        }
    }

    /// Records the result of an admitted attempt.
    fn record(&self, error: Option<StoreError>) {
        let mut state = lock(&self.state);
        let failed = error.is_some_and(|error| error.cause() != Cause::Rejected);
        if failed {
            let draw = state.rng.random();
            state.breaker.record_failure(self.now(), draw);
            self.counters.set_breaker_opened(state.breaker.open_count());
        } else {
            state.breaker.record_success();
        }
    }

    fn retry_delay(
        &self,
        kind: CallKind,
        error: StoreError,
        attempts: u32,
        started: Time,
    ) -> Option<Duration> {
        let mut state = lock(&self.state);
        let draw = state.rng.random();
        let elapsed = self.now().since(started);
        decide_retry(kind, error, attempts, elapsed, draw, &mut state.budget)
    }

    /// Makes a call and retries it as the policy allows.
    async fn run<Answer, Attempt, Call>(
        &self,
        kind: CallKind,
        call: Call,
    ) -> Result<Answer, StoreError>
    where
        Attempt: Future<Output = Result<Answer, StoreError>> + Send,
        Call: Fn() -> Attempt + Send + Sync,
    {
        let started = self.now();
        self.counters.add_call();
        lock(&self.state).budget.record_call();
        let mut attempts = 0;
        loop {
            let result = match self.admit() {
                Ok(()) => {
                    let result = call().await;
                    self.record(result.as_ref().err().copied());
                    result
                }
                Err(error) => Err(error),
            };
            attempts += 1;
            let error = match result {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            self.counters.add_error(error);
            match self.retry_delay(kind, error, attempts, started) {
                Some(delay) => tokio::time::sleep(delay).await,
                None => return Err(error),
            }
            self.counters.add_retry();
        }
    }
}

type SharedRead = Arc<OnceCell<Result<Option<Row>, StoreError>>>;

/// Client of the platform's services that all processes use.
///
/// It never repeats a commit of unknown effect; the author of the commit reads back and decides.
pub struct Client {
    table: Arc<dyn Table>,
    objects: Arc<dyn ObjectStore>,
    vms: Arc<dyn VmList>,
    policies: [CallPolicy; 3],
    reads: Mutex<HashMap<Key, SharedRead>>,
}

/// A service of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Service {
    /// The table service.
    Table,
    /// The object store.
    Objects,
    /// The VM list.
    Vms,
}

impl Client {
    /// Creates a client of the services; `seed` makes jitter differ between processes.
    pub fn new(
        table: Arc<dyn Table>,
        objects: Arc<dyn ObjectStore>,
        vms: Arc<dyn VmList>,
        seed: u64,
    ) -> Self {
        let policies =
            [0, 1, 2].map(|service| CallPolicy::new(seed.wrapping_mul(3).wrapping_add(service)));
        let reads = Mutex::default();
        Self {
            table,
            objects,
            vms,
            policies,
            reads,
        }
    }

    /// Returns the counters of a service.
    pub fn counters(&self, service: Service) -> Arc<Counters> {
        self.policies[service as usize].counters.clone()
    }

    /// Returns whether the circuit breaker of a service is open.
    pub fn is_breaker_open(&self, service: Service) -> bool {
        let policy = &self.policies[service as usize];
        lock(&policy.state).breaker.is_open(policy.now())
    }

    /// Reads a row, joining a read of the same row that is already in flight.
    ///
    /// The result may be older than the call. To read back a write, use [`Table::read`].
    ///
    /// # Errors
    ///
    /// As [`Table::read`].
    pub async fn read_coalesced(&self, key: &Key) -> Result<Option<Row>, StoreError> {
        let cell = {
            let mut reads = lock(&self.reads);
            match reads.get(key) {
                Some(cell) => {
                    self.policies[Service::Table as usize]
                        .counters
                        .add_coalesced();
                    cell.clone()
                }
                None => reads.entry(key.clone()).or_default().clone(),
            }
        };
        // If the task that reads is cancelled, the next waiting task reads instead.
        let result = cell.get_or_init(|| self.read(key)).await.clone();
        let mut reads = lock(&self.reads);
        if reads
            .get(key)
            .is_some_and(|current| Arc::ptr_eq(current, &cell))
        {
            reads.remove(key);
        }
        result
    }
}

#[async_trait]
impl Table for Client {
    async fn read(&self, key: &Key) -> Result<Option<Row>, StoreError> {
        let policy = &self.policies[Service::Table as usize];
        policy
            .run(CallKind::Idempotent, || self.table.read(key))
            .await
    }

    async fn scan(&self, prefix: &Key, limit: usize) -> Result<Vec<Row>, StoreError> {
        let policy = &self.policies[Service::Table as usize];
        policy
            .run(CallKind::Idempotent, || self.table.scan(prefix, limit))
            .await
    }

    async fn commit(&self, commit: &Commit) -> Result<CommitAnswer, StoreError> {
        let policy = &self.policies[Service::Table as usize];
        let answer = policy
            .run(CallKind::Transaction, || self.table.commit(commit))
            .await;
        if let Ok(CommitAnswer::Conflict(..)) = answer {
            policy.counters.add_conflict();
        }
        answer
    }
}

#[async_trait]
impl ObjectStore for Client {
    async fn put(&self, name: &Digest, content: Bytes) -> Result<(), StoreError> {
        let policy = &self.policies[Service::Objects as usize];
        policy
            .run(CallKind::Idempotent, || {
                self.objects.put(name, content.clone())
            })
            .await
    }

    async fn get(&self, name: &Digest) -> Result<Option<Bytes>, StoreError> {
        let policy = &self.policies[Service::Objects as usize];
        policy
            .run(CallKind::Idempotent, || self.objects.get(name))
            .await
    }
}

#[async_trait]
impl VmList for Client {
    async fn list(&self) -> Result<Vec<Vm>, StoreError> {
        let policy = &self.policies[Service::Vms as usize];
        policy.run(CallKind::Idempotent, || self.vms.list()).await
    }
}
