//! In-memory platform with fault injection. It uses tokio's clock, which tests can pause.

use std::collections::BTreeMap;
use std::collections::VecDeque;
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
use tokio::time::Instant;

use crate::api::ObjectStore;
use crate::api::Table;
use crate::api::Vm;
use crate::api::VmList;
use crate::memory::MemoryTable;

/// Fault injected into one call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The call is executed and answered at once.
    None,
    /// The service is unreachable.
    Down,
    /// The call is delayed before it is executed.
    Slow(Duration),
    /// The call is executed, but its answer is lost.
    LoseAnswer,
    /// The call is executed at once and its answer is delayed, possibly past those of later calls.
    LateAnswer(Duration),
    /// The caller gets a timeout, and the call is executed later.
    DelayWrite(Duration),
}

/// Probability of each fault per call; the remaining calls are delayed by up to `jitter`.
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultRates {
    /// Probability that the service is unreachable.
    pub down: f64,
    /// Probability that the answer is lost.
    pub lost: f64,
    /// Probability that the call is executed after its caller has timed out.
    pub delayed: f64,
    /// Maximum delay before a call is executed or before its answer arrives.
    pub jitter: Duration,
}

struct State {
    table: MemoryTable,
    objects: BTreeMap<Digest, Bytes>,
    vms: Vec<Vm>,
    scripted_faults: VecDeque<Fault>,
    fault_rates: FaultRates,
    down: bool,
    calls: u64,
    rng: StdRng,
}

/// Platform in memory with fault injection.
#[derive(Clone)]
pub struct FakePlatform {
    state: Arc<Mutex<State>>,
    origin: Instant,
}

impl FakePlatform {
    /// Creates an empty platform; `seed` decides which calls get faults.
    pub fn new(seed: u64) -> Self {
        let state = State {
            table: MemoryTable::default(),
            objects: BTreeMap::new(),
            vms: Vec::new(),
            scripted_faults: VecDeque::new(),
            fault_rates: FaultRates::default(),
            down: false,
            calls: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            origin: Instant::now(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Time {
        Time::default() + self.origin.elapsed()
    }

    /// Starts or ends an outage of all services.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Sets the fault probabilities of calls that have no scripted fault.
    pub fn set_fault_rates(&self, rates: FaultRates) {
        self.lock().fault_rates = rates;
    }

    /// Sets the faults of the next calls, one per call.
    pub fn script_faults<Faults>(&self, faults: Faults)
    where
        Faults: IntoIterator<Item = Fault>,
    {
        self.lock().scripted_faults = faults.into_iter().collect();
    }

    /// Sets the VM list.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.lock().vms = vms;
    }

    /// Returns the number of calls made, including failed ones.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Reads a row without fault injection.
    pub fn peek(&self, key: &Key) -> Option<Row> {
        let now = self.now();
        self.lock().table.read(key, now).cloned()
    }

    /// Writes an earlier row under a new revision, as a restore from a backup does.
    pub fn restore(&self, row: Row) {
        self.lock().table.restore(row);
    }

    fn draw_fault(&self) -> Fault {
        let mut state = self.lock();
        state.calls += 1;
        if state.down {
            return Fault::Down;
        }
        if let Some(fault) = state.scripted_faults.pop_front() {
            return fault;
        }
        let FaultRates {
            down,
            lost,
            delayed,
            jitter,
        } = state.fault_rates;
        let draw: f64 = state.rng.random();
        let delay = jitter.mul_f64(state.rng.random());
        if draw < down {
            Fault::Down
        } else if draw < down + lost {
            Fault::LoseAnswer
        } else if draw < down + lost + delayed {
            Fault::DelayWrite(delay)
        } else if jitter.is_zero() {
            Fault::None
        } else if state.rng.random() {
            Fault::Slow(delay)
        } else {
            Fault::LateAnswer(delay)
        }
    }

    /// Executes a call with the fault drawn for it.
    async fn call<Answer, Run>(&self, run: Run) -> Result<Answer, StoreError>
    where
        Run: FnOnce(&mut State, Time) -> Answer + Send + 'static,
        Answer: Send,
    {
        match self.draw_fault() {
            Fault::None => Ok(run(&mut self.lock(), self.now())),
            Fault::Down => Err(StoreError::NotApplied(Cause::Unreachable)),
            Fault::Slow(delay) => {
                tokio::time::sleep(delay).await;
                Ok(run(&mut self.lock(), self.now()))
            }
            Fault::LoseAnswer => {
                run(&mut self.lock(), self.now());
                Err(StoreError::Ambiguous(Cause::Broken))
            }
            Fault::LateAnswer(delay) => {
                let answer = run(&mut self.lock(), self.now());
                tokio::time::sleep(delay).await;
                Ok(answer)
            }
            Fault::DelayWrite(delay) => {
                let platform = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    run(&mut platform.lock(), platform.now());
                });
                Err(StoreError::Ambiguous(Cause::Timeout))
            }
        }
    }

    async fn read_call<Answer, Run>(&self, run: Run) -> Result<Answer, StoreError>
    where
        Run: FnOnce(&mut State, Time) -> Answer + Send + 'static,
        Answer: Send,
    {
        let answer = self.call(run).await;
        answer.map_err(|error| StoreError::NotApplied(error.cause()))
    }
}

#[async_trait]
impl Table for FakePlatform {
    async fn read(&self, key: &Key) -> Result<Option<Row>, StoreError> {
        let key = key.clone();
        self.read_call(move |state, now| state.table.read(&key, now).cloned())
            .await
    }

    async fn scan(&self, prefix: &Key, limit: usize) -> Result<Vec<Row>, StoreError> {
        let prefix = prefix.clone();
        self.read_call(move |state, now| state.table.scan(&prefix, limit, now))
            .await
    }

    async fn commit(&self, commit: &Commit) -> Result<CommitAnswer, StoreError> {
        let commit = commit.clone();
        self.call(move |state, now| state.table.commit(&commit, now))
            .await
    }
}

#[async_trait]
impl ObjectStore for FakePlatform {
    async fn put(&self, name: &Digest, content: Bytes) -> Result<(), StoreError> {
        let name = *name;
        self.call(move |state, _| {
            state.objects.insert(name, content);
        })
        .await
    }

    async fn get(&self, name: &Digest) -> Result<Option<Bytes>, StoreError> {
        let name = *name;
        self.read_call(move |state, _| state.objects.get(&name).cloned())
            .await
    }
}

#[async_trait]
impl VmList for FakePlatform {
    async fn list(&self) -> Result<Vec<Vm>, StoreError> {
        self.read_call(|state, _| state.vms.clone()).await
    }
}
