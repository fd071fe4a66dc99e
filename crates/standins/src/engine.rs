//! Model engine: continuous batching with a fixed number of slots, one token a step for each.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use bpaf::Bpaf;
use bytes::Bytes;
use futures::stream;
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::tally::Counters;
use crate::tally::Counts;
use crate::tally::Load;
use crate::tally::lock;
use crate::tally::read_id;

/// Tokens that a sequence may be ahead of its reader; a slow reader then holds its own sequence.
const TOKENS_AHEAD: usize = 64;

/// Tokens are timed in steps of the runtime's timer, which has a resolution of 1 ms.
const TIMER_STEP: Duration = Duration::from_millis(1);

/// Interval over which the token rate is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Settings of the engine.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Address to listen on; port 0 takes a free one
    #[bpaf(argument("ADDR"))]
    pub listen: SocketAddr,
    /// Name given in each answer
    #[bpaf(argument("X"))]
    pub name: String,
    /// Sequences that run at a time
    #[bpaf(argument("N"), fallback(8))]
    pub slots: usize,
    /// Time of a step without its sequences
    #[bpaf(argument("MS"), fallback(20))]
    pub token_ms: u64,
    /// Time that each running sequence adds to a step
    #[bpaf(argument("US"), fallback(0))]
    pub step_us: u64,
}

/// Body of a request.
#[derive(Debug, Deserialize)]
struct Prompt {
    prompt: String,
    #[serde(default = "default_tokens")]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
}

fn default_tokens() -> u32 {
    16
}

/// One token as an event of a stream.
#[derive(Debug, Serialize)]
struct TokenEvent<'a> {
    engine: &'a str,
    index: u32,
    token: String,
}

/// Answer to a request without a stream.
#[derive(Debug, Serialize)]
struct Completion<'a> {
    engine: &'a str,
    text: String,
    tokens: u32,
}

/// One request in a slot or in the queue.
#[derive(Debug)]
struct Sequence {
    id: Option<String>,
    next: u32,
    limit: u32,
    output: mpsc::Sender<u32>,
}

#[derive(Debug)]
struct Engine {
    name: String,
    arrivals: mpsc::UnboundedSender<Sequence>,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    load: Mutex<Load>,
    counters: Mutex<Counters>,
}

/// Builds the routes of one engine and starts its step loop.
pub fn build_router(options: &Options) -> Router {
    build(options, None)
}

/// Builds the routes of one engine that takes a step whenever the number in `steps` changes.
pub fn build_paced(options: &Options, steps: watch::Receiver<u64>) -> Router {
    build(options, Some(steps))
}

fn build(options: &Options, steps: Option<watch::Receiver<u64>>) -> Router {
    let (arrivals, arriving) = mpsc::unbounded_channel();
    let shared = Arc::<Shared>::default();
    lock(&shared.load).slots = options.slots;
    let batch = Batch {
        queue: VecDeque::new(),
        running: Vec::new(),
        shared: Arc::clone(&shared),
        options: options.clone(),
        steps,
    };
    tokio::spawn(batch.run(arriving));
    let engine = Engine {
        name: options.name.clone(),
        arrivals,
        shared,
    };
    Router::new()
        .route("/v1/{*path}", post(complete))
        .route("/load", get(read_load))
        .route("/counts", get(read_counts))
        .with_state(Arc::new(engine))
}

async fn complete(
    State(engine): State<Arc<Engine>>,
    headers: HeaderMap,
    Json(prompt): Json<Prompt>,
) -> Response {
    let (output, tokens) = mpsc::channel(TOKENS_AHEAD);
    let limit = prompt.max_tokens.max(1);
    let sequence = Sequence {
        id: read_id(&headers),
        next: 0,
        limit,
        output,
    };
    // The step loop lives as long as the runtime; without it the stream is empty.
    let _ = engine.arrivals.send(sequence);
    if prompt.stream {
        return stream_tokens(engine, prompt, tokens);
    }
    let mut tokens = tokens;
    let mut words = Vec::new();
    while let Some(index) = tokens.recv().await {
        words.push(make_token(&prompt.prompt, index));
    }
    let text = words.join(" ");
    Json(Completion {
        engine: &engine.name,
        text,
        tokens: limit,
    })
    .into_response()
}

fn stream_tokens(engine: Arc<Engine>, prompt: Prompt, tokens: mpsc::Receiver<u32>) -> Response {
    let start = Some((engine, prompt, tokens));
    let events = stream::unfold(start, |state| async move {
        let (engine, prompt, mut tokens) = state?;
        let Some(index) = tokens.recv().await else {
            return Some((
                Ok::<_, Infallible>(Bytes::from_static(b"data: [DONE]\n\n")),
                None,
            ));
        };
        let token = make_token(&prompt.prompt, index);
        let event = TokenEvent {
            engine: &engine.name,
            index,
            token,
        };
        let json = serde_json::to_string(&event).unwrap_or_default();
        let line = Bytes::from(format!("data: {json}\n\n"));
        Some((Ok(line), Some((engine, prompt, tokens))))
    });
    (
        [(CONTENT_TYPE, "text/event-stream")],
        Body::from_stream(events),
    )
        .into_response()
}

/// Makes a token that depends on the prompt, so that a crossed answer is visible.
fn make_token(prompt: &str, index: u32) -> String {
    let word = prompt
        .split_whitespace()
        .nth(index as usize % 8)
        .unwrap_or("word");
    format!("{word}-{index}")
}

async fn read_load(State(engine): State<Arc<Engine>>) -> Json<Load> {
    Json(*lock(&engine.shared.load))
}

async fn read_counts(State(engine): State<Arc<Engine>>) -> Json<Counts> {
    Json(lock(&engine.shared.counters).report())
}

/// The step loop and what it works on.
struct Batch {
    queue: VecDeque<Sequence>,
    running: Vec<Sequence>,
    shared: Arc<Shared>,
    options: Options,
    /// Number of the newest step of a group; none for an engine that steps by itself.
    steps: Option<watch::Receiver<u64>>,
}

impl Batch {
    async fn run(mut self, mut arriving: mpsc::UnboundedReceiver<Sequence>) {
        let mut due = Instant::now();
        let mut window = (Instant::now(), 0);
        loop {
            if self.running.is_empty() && self.queue.is_empty() {
                lock(&self.shared.load).tokens_per_s = 0.0;
                let Some(first) = arriving.recv().await else {
                    return;
                };
                self.queue.push_back(first);
                due = Instant::now();
                window = (due, 0);
            }
            while let Ok(next) = arriving.try_recv() {
                self.queue.push_back(next);
            }
            self.admit();
            due += self.step_time();
            self.wait_step(due).await;
            window.1 += self.step();
            let elapsed = window.0.elapsed();
            if elapsed >= RATE_WINDOW {
                lock(&self.shared.load).tokens_per_s = f64::from(window.1) / elapsed.as_secs_f64();
                window = (Instant::now(), 0);
            }
        }
    }

    async fn wait_step(&mut self, due: Instant) {
        if let Some(steps) = &mut self.steps {
            // The group of a closed channel takes no more steps.
            if steps.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        } else if due.saturating_duration_since(Instant::now()) >= TIMER_STEP {
            tokio::time::sleep_until(due).await;
        } else {
            tokio::task::yield_now().await;
        }
    }

    fn step_time(&self) -> Duration {
        let sequences = self.running.len() as u64;
        Duration::from_millis(self.options.token_ms)
            + Duration::from_micros(self.options.step_us * sequences)
    }

    /// Drops cancelled work from the queue and fills the free slots.
    fn admit(&mut self) {
        let mut counters = lock(&self.shared.counters);
        let before = self.queue.len();
        self.queue.retain(|sequence| !sequence.output.is_closed());
        counters.totals.cancelled += (before - self.queue.len()) as u64;
        while self.running.len() < self.options.slots
            && let Some(next) = self.queue.pop_front()
        {
            counters.start(next.id.as_deref());
            self.running.push(next);
        }
        self.report_load();
    }

    /// Makes one token for each running sequence and returns how many were made.
    fn step(&mut self) -> u32 {
        let mut made = 0;
        let mut counters = lock(&self.shared.counters);
        self.running.retain_mut(|sequence| {
            match sequence.output.try_send(sequence.next) {
                Ok(()) => {
                    made += 1;
                    sequence.next += 1;
                    if sequence.next == sequence.limit {
                        counters.totals.finished += 1;
                        return false;
                    }
                }
                Err(mpsc::error::TrySendError::Full(_)) => {}
                Err(mpsc::error::TrySendError::Closed(_)) => {
                    counters.totals.cancelled += 1;
                    return false;
                }
            }
            true
        });
        // Under the lock, so that no reader sees a finished request still running.
        self.report_load();
        made
    }

    fn report_load(&self) {
        let mut load = lock(&self.shared.load);
        load.running = self.running.len();
        load.queued = self.queue.len();
    }
}
