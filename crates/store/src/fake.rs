//! In-memory platform with faults; times are tokio's, so that tests can pause them.

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

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The call is answered at once.
    None,
    /// The service can't be reached.
    Down,
    /// The call waits before it is carried out.
    Slow(Duration),
    /// The call is carried out and its answer never arrives.
    LoseAnswer,
    /// The call is carried out at once, and its answer arrives later than those of later calls.
    LateAnswer(Duration),
    /// The caller gets no answer, and the call is carried out later.
    DelayWrite(Duration),
}

/// Shares of calls that meet each fault; the rest is answered after up to `jitter`.
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultRates {
    /// Share of calls that can't reach the service.
    pub down: f64,
    /// Share of calls whose answer is lost.
    pub lost: f64,
    /// Share of calls that are carried out after their caller has given up.
    pub delayed: f64,
    /// Longest delay before and, separately, after a call is carried out.
    pub jitter: Duration,
}

struct State {
    table: MemoryTable,
    objects: BTreeMap<Digest, Bytes>,
    vms: Vec<Vm>,
    script: VecDeque<Fault>,
    mix: FaultRates,
    down: bool,
    calls: u64,
    rng: StdRng,
}

/// Platform in memory.
#[derive(Clone)]
pub struct FakePlatform {
    state: Arc<Mutex<State>>,
    origin: Instant,
}

impl FakePlatform {
    /// Creates an empty platform; `seed` decides which calls meet the faults of the mix.
    pub fn new(seed: u64) -> Self {
        let state = State {
            table: MemoryTable::default(),
            objects: BTreeMap::new(),
            vms: Vec::new(),
            script: VecDeque::new(),
            mix: FaultRates::default(),
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

    /// Sets the faults of calls that the script doesn't cover.
    pub fn set_fault_rates(&self, mix: FaultRates) {
        self.lock().mix = mix;
    }

    /// Sets the faults of the next calls, one each.
    pub fn script_faults<Faults>(&self, faults: Faults)
    where
        Faults: IntoIterator<Item = Fault>,
    {
        self.lock().script = faults.into_iter().collect();
    }

    /// Sets the VM list.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.lock().vms = vms;
    }

    /// Number of calls made, failed ones included.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Reads a row without faults.
    pub fn peek(&self, key: &Key) -> Option<Row> {
        let now = self.now();
        self.lock().table.read(key, now).cloned()
    }

    /// Puts back an earlier row, as a restore from a backup does.
    pub fn restore(&self, row: Row) {
        self.lock().table.restore(row);
    }

    fn draw_fault(&self) -> Fault {
        let mut state = self.lock();
        state.calls += 1;
        if state.down {
            return Fault::Down;
        }
        if let Some(fault) = state.script.pop_front() {
            return fault;
        }
        let FaultRates {
            down,
            lost,
            delayed,
            jitter,
        } = state.mix;
        let draw: f64 = state.rng.random();
        let span = jitter.mul_f64(state.rng.random());
        if draw < down {
            Fault::Down
        } else if draw < down + lost {
            Fault::LoseAnswer
        } else if draw < down + lost + delayed {
            Fault::DelayWrite(span)
        } else if jitter.is_zero() {
            Fault::None
        } else if state.rng.random() {
            Fault::Slow(span)
        } else {
            Fault::LateAnswer(span)
        }
    }

    /// Carries a call out as its fault says.
    async fn call<Answer, Run>(&self, run: Run) -> Result<Answer, StoreError>
    where
        Run: FnOnce(&mut State, Time) -> Answer + Send + 'static,
        Answer: Send,
    {
        match self.draw_fault() {
            Fault::None => Ok(run(&mut self.lock(), self.now())),
            Fault::Down => Err(StoreError::NotApplied(Cause::Unreachable)),
            Fault::Slow(span) => {
                tokio::time::sleep(span).await;
                Ok(run(&mut self.lock(), self.now()))
            }
            Fault::LoseAnswer => {
                run(&mut self.lock(), self.now());
                Err(StoreError::Ambiguous(Cause::Broken))
            }
            Fault::LateAnswer(span) => {
                let answer = run(&mut self.lock(), self.now());
                tokio::time::sleep(span).await;
                Ok(answer)
            }
            Fault::DelayWrite(span) => {
                let platform = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(span).await;
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
