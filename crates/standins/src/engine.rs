//! Simulated model engine with continuous batching: a fixed number of slots, each of which produces
//! one token per step.

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

use crate::counters::Counters;
use crate::counters::Counts;
use crate::counters::Load;
use crate::counters::lock;
use crate::counters::read_request_id;

/// Number of unread tokens after which a sequence waits for its reader. A slow reader delays only
/// its own sequence.
const MAX_UNREAD_TOKENS: usize = 64;

/// Resolution of the runtime's timer; shorter waits yield to the scheduler instead of sleeping.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// Minimum interval over which the token rate is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Command line options of the engine.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Address to listen on; port 0 takes a free one
    #[bpaf(argument("ADDR"))]
    pub listen: SocketAddr,
    /// Name given in each answer
    #[bpaf(argument("X"))]
    pub name: String,
    /// Maximum number of sequences that run concurrently
    #[bpaf(argument("N"), fallback(8))]
    pub slots: usize,
    /// Base duration of a step
    #[bpaf(argument("MS"), fallback(20))]
    pub token_ms: u64,
    /// Duration that each running sequence adds to a step
    #[bpaf(argument("US"), fallback(0))]
    pub step_us: u64,
}

/// Body of a completion request.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    prompt: String,
    #[serde(default = "default_tokens")]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
}

fn default_tokens() -> u32 {
    16
}

/// Event of a stream, which carries one token.
#[derive(Debug, Serialize)]
struct TokenEvent<'a> {
    engine: &'a str,
    index: u32,
    token: String,
}

/// Response to a request that does not ask for a stream.
#[derive(Debug, Serialize)]
struct Completion<'a> {
    engine: &'a str,
    text: String,
    tokens: u32,
}

/// A request that runs in a slot or waits in the queue.
#[derive(Debug)]
struct Sequence {
    id: Option<String>,
    next_index: u32,
    limit: u32,
    output: mpsc::Sender<u32>,
}

#[derive(Debug)]
struct Engine {
    name: String,
    arrivals: mpsc::UnboundedSender<Sequence>,
    metrics: Arc<Metrics>,
}

#[derive(Debug, Default)]
struct Metrics {
    load: Mutex<Load>,
    counters: Mutex<Counters>,
}

/// Builds the routes of one engine and starts its step loop.
pub fn build_router(options: &Options) -> Router {
    build_engine(options, None)
}

/// Builds the routes of one engine that runs a step whenever the number in `steps` changes.
pub fn build_router_with_steps(options: &Options, steps: watch::Receiver<u64>) -> Router {
    build_engine(options, Some(steps))
}

fn build_engine(options: &Options, steps: Option<watch::Receiver<u64>>) -> Router {
    let (arrivals, arrival_receiver) = mpsc::unbounded_channel();
    let metrics = Arc::<Metrics>::default();
    lock(&metrics.load).slots = options.slots;
    let batch = Batch {
        queue: VecDeque::new(),
        running: Vec::new(),
        metrics: Arc::clone(&metrics),
        options: options.clone(),
        steps,
    };
    tokio::spawn(batch.run(arrival_receiver));
    let engine = Engine {
        name: options.name.clone(),
        arrivals,
        metrics,
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
    Json(body): Json<CompletionBody>,
) -> Response {
    let (output, tokens) = mpsc::channel(MAX_UNREAD_TOKENS);
    let limit = body.max_tokens.max(1);
    let sequence = Sequence {
        id: read_request_id(&headers),
        next_index: 0,
        limit,
        output,
    };
    // The send fails only if the step loop has ended with the runtime; the answer is then empty.
    let _ = engine.arrivals.send(sequence);
    if body.stream {
        return stream_tokens(engine, body, tokens);
    }
    let mut tokens = tokens;
    let mut words = Vec::new();
    while let Some(index) = tokens.recv().await {
        words.push(format_token(&body.prompt, index));
    }
    let text = words.join(" ");
    Json(Completion {
        engine: &engine.name,
        text,
        tokens: limit,
    })
    .into_response()
}

fn stream_tokens(
    engine: Arc<Engine>,
    body: CompletionBody,
    tokens: mpsc::Receiver<u32>,
) -> Response {
    let start = Some((engine, body, tokens));
    let events = stream::unfold(start, |state| async move {
        let (engine, body, mut tokens) = state?;
        let Some(index) = tokens.recv().await else {
            return Some((
                Ok::<_, Infallible>(Bytes::from_static(b"data: [DONE]\n\n")),
                None,
            ));
        };
        let token = format_token(&body.prompt, index);
        let event = TokenEvent {
            engine: &engine.name,
            index,
            token,
        };
        let json = serde_json::to_string(&event).unwrap_or_default();
        let line = Bytes::from(format!("data: {json}\n\n"));
        Some((Ok(line), Some((engine, body, tokens))))
    });
    (
        [(CONTENT_TYPE, "text/event-stream")],
        Body::from_stream(events),
    )
        .into_response()
}

/// Formats a token that depends on the prompt, so that an answer sent to the wrong request is
/// detectable.
fn format_token(prompt: &str, index: u32) -> String {
    let word = prompt
        .split_whitespace()
        .nth(index as usize % 8)
        .unwrap_or("word");
    format!("{word}-{index}")
}

async fn read_load(State(engine): State<Arc<Engine>>) -> Json<Load> {
    Json(*lock(&engine.metrics.load))
}

async fn read_counts(State(engine): State<Arc<Engine>>) -> Json<Counts> {
    Json(lock(&engine.metrics.counters).report())
}

/// State of the step loop.
struct Batch {
    queue: VecDeque<Sequence>,
    running: Vec<Sequence>,
    metrics: Arc<Metrics>,
    options: Options,
    /// Number of the latest step of a group; `None` for an engine that times its own steps.
    steps: Option<watch::Receiver<u64>>,
}

impl Batch {
    async fn run(mut self, mut arrival_receiver: mpsc::UnboundedReceiver<Sequence>) {
        let mut due = Instant::now();
        let mut window_start = Instant::now();
        let mut window_tokens = 0;
        loop {
            if self.running.is_empty() && self.queue.is_empty() {
                lock(&self.metrics.load).tokens_per_s = 0.0;
                let Some(first) = arrival_receiver.recv().await else {
                    return;
                };
                self.queue.push_back(first);
                due = Instant::now();
                window_start = due;
                window_tokens = 0;
            }
            while let Ok(next) = arrival_receiver.try_recv() {
                self.queue.push_back(next);
            }
            self.admit();
            due += self.step_duration();
            self.wait_for_step(due).await;
            window_tokens += self.run_step();
            let elapsed = window_start.elapsed();
            if elapsed >= RATE_WINDOW {
                lock(&self.metrics.load).tokens_per_s =
                    f64::from(window_tokens) / elapsed.as_secs_f64();
                window_start = Instant::now();
                window_tokens = 0;
            }
        }
    }

    async fn wait_for_step(&mut self, due: Instant) {
        if let Some(steps) = &mut self.steps {
            // A closed channel means that the group has ended and runs no more steps.
            if steps.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        } else if due.saturating_duration_since(Instant::now()) >= TIMER_RESOLUTION {
            tokio::time::sleep_until(due).await;
        } else {
            tokio::task::yield_now().await;
        }
    }

    fn step_duration(&self) -> Duration {
        let sequences = self.running.len() as u64;
        Duration::from_millis(self.options.token_ms)
            + Duration::from_micros(self.options.step_us * sequences)
    }

    /// Removes cancelled requests from the queue and fills the free slots.
    fn admit(&mut self) {
        let mut counters = lock(&self.metrics.counters);
        let before = self.queue.len();
        self.queue.retain(|sequence| !sequence.output.is_closed());
        counters.totals.cancelled += (before - self.queue.len()) as u64;
        while self.running.len() < self.options.slots
            && let Some(next) = self.queue.pop_front()
        {
            counters.record_start(next.id.as_deref());
            self.running.push(next);
        }
        self.update_load();
    }

    /// Produces one token for each running sequence whose reader keeps up. Returns the number of
    /// tokens.
    fn run_step(&mut self) -> u32 {
        let mut produced = 0;
        let mut counters = lock(&self.metrics.counters);
        self.running.retain_mut(|sequence| {
            match sequence.output.try_send(sequence.next_index) {
                Ok(()) => {
                    produced += 1;
                    sequence.next_index += 1;
                    if sequence.next_index == sequence.limit {
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
        // Updated while the counters are locked, so that no reader sees a finished request as
        // running.
        self.update_load();
        produced
    }

    fn update_load(&self) {
        let mut load = lock(&self.metrics.load);
        load.running = self.running.len();
        load.queued = self.queue.len();
    }
}
