//! Measures how state, messages and processor time of each role grow with the fleet.

use std::fmt::Write as _;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use bpaf::Bpaf;
use bytes::BytesMut;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sha2::Digest as _;
use sha2::Sha256;

use siskinbend_control::version::poll_interval;
use siskinbend_document::Document;
use siskinbend_placement::DemandEstimator;
use siskinbend_placement::ExpertMap;
use siskinbend_placement::LayerMap;
use siskinbend_placement::PolicyInput;
use siskinbend_placement::PolicyKind;
use siskinbend_placement::Price;
use siskinbend_placement::Report as CountReport;
use siskinbend_placement::Shape;
use siskinbend_request::AttemptRef;
use siskinbend_request::ExecutionResult;
use siskinbend_request::Ledger;
use siskinbend_request::ledger;
use siskinbend_routing::LoadReport;
use siskinbend_routing::Observation;
use siskinbend_routing::Picker;
use siskinbend_routing::Requirements;
use siskinbend_routing::picker;
use siskinbend_types::AgentId;
use siskinbend_types::Attempt;
use siskinbend_types::ByteSize;
use siskinbend_types::Digest;
use siskinbend_types::Incarnation;
use siskinbend_types::RequestId;
use siskinbend_types::Time;
use siskinbend_types::Version;
use siskinbend_types::Window;
use siskinbend_types::Zone;
use siskinbend_wire::DocumentVersion;
use siskinbend_wire::Load;
use siskinbend_wire::Message;
use siskinbend_wire::Status;
use siskinbend_wire::frame;

use crate::fit::fit;

/// Time over which one operation is repeated.
const REPEAT: Duration = Duration::from_millis(100);

/// Ranks and experts of a group at the planned size.
const RANKS: u16 = 64;
const EXPERTS: u16 = 256;

/// Interval between two count reports of a rank, in seconds.
const REPORT_SECONDS: f64 = 10.0;

/// Options of the experiment.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Seed of every random choice; the same seed gives the same output
    #[bpaf(argument("N"))]
    pub seed: u64,
}

/// Runs the experiment and returns one line for each item and size, then the fit of the item.
///
/// # Errors
///
/// Returns a sentence if a sample document or map can't be built.
pub fn run(options: &Options) -> Result<Vec<String>, String> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut lines = Vec::new();
    lines.extend(measure_organisations()?);
    lines.extend(measure_choice(&mut rng)?);
    lines.extend(measure_ledger(&mut rng)?);
    lines.extend(measure_group(&mut rng)?);
    lines.extend(measure_frames());
    lines.extend(measure_polls());
    Ok(lines)
}

/// Mean time of one run of `work` in nanoseconds.
fn time<T, W>(mut work: W) -> f64
where
    W: FnMut() -> T,
{
    let start = Instant::now();
    let mut runs = 0_u32;
    while start.elapsed() < REPEAT {
        black_box(work());
        runs += 1;
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(runs)
}

fn format_fit(item: &str, per: &str, points: &[(f64, f64)]) -> String {
    let line = fit(points);
    format!(
        "item={item} fit_slope_{per}_ns={:.2} fit_base_ns={:.0} fit_quality_ns={:.4}",
        line.slope, line.intercept, line.quality
    )
}

fn build_document(organisations: usize) -> String {
    let mut text = String::from(
        "environment = \"planned\"\n[[zones]]\nname = \"recife\"\nregion = \"nordeste\"\n",
    );
    for n in 0..organisations {
        let digest = Digest(Sha256::digest(format!("token-{n}")).into());
        // Writing to a string can't fail.
        let _ = write!(
            text,
            "[[organisations]]\nname = \"organisation-{n}\"\ntoken_digests = [\"{digest}\"]\n\
             weight = 1\nrate_limit = 50\n"
        );
    }
    for n in 0..16 {
        let _ = write!(
            text,
            "[[services]]\nname = \"service-{n}\"\nkind = \"plain\"\ndrain_ms = 1000\n\
             queue_limit = 64\nconcurrency = 8\n[[services.routes]]\nmethod = \"POST\"\n\
             path = \"/calls\"\nidempotent = true\ntimeout_ms = 1000\nstall_ms = 500\n\
             body_limit = \"64KiB\"\n"
        );
    }
    text
}

fn measure_organisations() -> Result<Vec<String>, String> {
    let mut lines = Vec::new();
    let (mut finds, mut parses) = (Vec::new(), Vec::new());
    for (size, organisations) in [(10.0, 10), (205.0, 205), (410.0, 410), (820.0, 820)] {
        let text = build_document(organisations);
        let document = Document::parse(&text).map_err(|findings| findings.to_string())?;
        let find = time(|| document.find_organisation("token-7").is_some());
        let parse = time(|| Document::parse(&text).is_ok());
        lines.push(format!(
            "item=document organisations={organisations} bytes={} find_token_ns={find:.0} \
             parse_ns={parse:.0}",
            text.len()
        ));
        finds.push((size, find));
        parses.push((size, parse));
    }
    lines.push(format_fit("find_token", "organisation", &finds));
    lines.push(format_fit("parse_document", "organisation", &parses));
    Ok(lines)
}

fn parse<T>(text: &str) -> Result<T, String>
where
    T: std::str::FromStr<Err: ToString>,
{
    text.parse().map_err(|e: T::Err| e.to_string())
}

fn measure_choice(rng: &mut ChaCha8Rng) -> Result<Vec<String>, String> {
    let mut lines = Vec::new();
    let mut points = Vec::new();
    let zone: Zone = parse("recife")?;
    for (size, replicas) in [(6.0, 6), (12.0, 12), (24.0, 24), (48.0, 48), (96.0, 96)] {
        let mut picker = Picker::new(picker::Settings::default(), zone.clone());
        let now = Time::from_millis(1_000);
        for n in 0..replicas {
            let agent: AgentId = parse(&format!("agent-{n}"))?;
            let seen = Observation {
                incarnation: Incarnation(1),
                window: Window(1),
                zone: zone.clone(),
                draining: false,
                report: LoadReport {
                    running: n % 7,
                    slots: 8,
                    ..LoadReport::default()
                },
                report_age: Duration::ZERO,
            };
            picker.observe(&agent, seen, now);
        }
        let wish = Requirements {
            prefix: Some(rng.random()),
            ..Requirements::default()
        };
        let choose = time(|| picker.choose(&wish, now, rng).is_ok());
        lines.push(format!(
            "item=choose replicas={replicas} choose_ns={choose:.0}"
        ));
        points.push((size, choose));
    }
    lines.push(format_fit("choose", "replica", &points));
    Ok(lines)
}

fn measure_ledger(rng: &mut ChaCha8Rng) -> Result<Vec<String>, String> {
    let mut lines = Vec::new();
    let mut points = Vec::new();
    let organisation: siskinbend_types::Organisation = parse("fiscalizacao-recife")?;
    for (size, records) in [(1e3, 1_000), (1e4, 10_000), (1e5, 100_000)] {
        let now = Time::from_millis(1);
        let mut ledger = Ledger::new(ledger::Settings::default(), Incarnation(1), now);
        let mut cycle = || {
            let attempt = AttemptRef {
                id: RequestId(rng.random()),
                attempt: Attempt(1),
                incarnation: Incarnation(1),
                window: ledger.window(),
            };
            let organisation = organisation.clone();
            let dispatch = ledger::Dispatch {
                attempt,
                organisation,
                idempotent: true,
            };
            if ledger.admit(&dispatch, now).is_ok() && ledger.start(attempt.id, Attempt(1), now) {
                ledger.finish(attempt.id, Attempt(1), ExecutionResult::Answered(None), now);
            }
        };
        for _ in 0..records {
            cycle();
        }
        let cost = time(cycle);
        lines.push(format!(
            "item=ledger records={records} attempt_ns={cost:.0}"
        ));
        points.push((size, cost));
    }
    lines.push(format_fit("ledger", "record", &points));
    Ok(lines)
}

fn build_reports(map: &ExpertMap, interval: u32, rng: &mut ChaCha8Rng) -> Vec<CountReport> {
    let mut build = |rank: u16| {
        let count = |expert: usize, rng: &mut ChaCha8Rng| {
            // A law of Zipf: the hottest expert gets about a hundred times the coldest one's tokens.
            let hot = 4_000_000 / (expert as u64 + 2);
            rng.random_range(hot * 9 / 10..hot * 11 / 10)
        };
        let list = |layer: &LayerMap, rng: &mut ChaCha8Rng| {
            layer
                .list_hosted(rank)
                .map(|(expert, _)| count(expert, rng))
                .collect()
        };
        let layers = map.layers.iter().map(|layer| list(layer, rng)).collect();
        let (steps, busy_ns) = (300, 30_000_000);
        CountReport {
            version: map.version,
            interval,
            rank,
            steps,
            busy_ns,
            layers,
        }
    };
    (0..RANKS).map(&mut build).collect()
}

fn measure_group(rng: &mut ChaCha8Rng) -> Result<Vec<String>, String> {
    let mut lines = Vec::new();
    let (mut ingests, mut plans) = (Vec::new(), Vec::new());
    for (size, layers) in [(15.0, 15), (30.0, 30), (60.0, 60)] {
        let shape = Shape {
            ranks: RANKS,
            experts: EXPERTS,
            layers,
            slots: 6,
        };
        let map = ExpertMap::initial(shape).map_err(|e| e.to_string())?;
        let mut aggregate = DemandEstimator::new(shape, map.clone());
        let mut bytes = 0;
        let mut spent = Duration::ZERO;
        for interval in 0..12 {
            let reports = build_reports(&map, interval, rng);
            bytes = reports
                .iter()
                .map(|report| report.encode().len())
                .sum::<usize>();
            let begin = Instant::now();
            for report in &reports {
                let read = CountReport::decode(&report.encode(), shape);
                let read = read.map_err(|e| e.to_string())?;
                aggregate.ingest(&read).map_err(|e| e.to_string())?;
            }
            spent += begin.elapsed();
        }
        let ingest = spent.as_secs_f64() * 1e9 / 12.0;
        let demand = aggregate.estimate();
        let price = Price {
            skew_weight: 4.0,
            byte_cost: 0.05,
            horizon_steps: 20_000,
        };
        let view = PolicyInput {
            shape,
            map: &map,
            demand: &demand,
            expert_size: ByteSize(8 << 20),
            budget: ByteSize(u64::MAX),
        };
        // A policy that has decided once may answer the same question from memory.
        let plan = time(|| {
            PolicyKind::Priced
                .build(price)
                .decide(&view)
                .explanations
                .len()
        });
        #[expect(
            clippy::cast_precision_loss,
            reason = "reports have far fewer than 2^52 bytes"
        )]
        let rate = bytes as f64 / REPORT_SECONDS;
        lines.push(format!(
            "item=group ranks={RANKS} experts={EXPERTS} layers={layers} report_bytes={} \
             coordinator_bytes_per_s={rate:.0} interval_ns={ingest:.0} plan_ns={plan:.0}",
            bytes / usize::from(RANKS)
        ));
        ingests.push((size, ingest));
        plans.push((size, plan));
    }
    lines.push(format_fit("group_interval", "layer", &ingests));
    lines.push(format_fit("group_plan", "layer", &plans));
    Ok(lines)
}

fn measure_frames() -> Vec<String> {
    let newest = Some(DocumentVersion {
        version: Version(420),
        digest: Digest([7; 32]),
    });
    let load = Load {
        running: 8,
        queued: 12,
        slots: 16,
        hold_ms: 900,
        idle_ms: 30,
    };
    let status = Status {
        incarnation: Incarnation(u64::MAX),
        window: Window(10_000),
        draining: false,
        entries: 48,
        load,
        newest,
    };
    let frames = [
        ("probe", Message::Probe),
        ("report", Message::Report(status)),
        ("beacon", Message::Beacon(newest)),
        (
            "fetch",
            Message::Fetch(DocumentVersion {
                version: Version(420),
                digest: Digest([7; 32]),
            }),
        ),
    ];
    let measure = |(name, message): &(&str, Message)| {
        let mut out = BytesMut::new();
        frame::encode(RequestId(0), message, &mut out);
        format!("item=frame name={name} bytes={}", out.len())
    };
    frames.iter().map(measure).collect()
}

fn measure_polls() -> Vec<String> {
    let measure = |nodes: u32| {
        let interval = poll_interval(usize::try_from(nodes).unwrap_or(usize::MAX));
        let reads = f64::from(nodes) / interval.as_secs_f64();
        format!(
            "item=polls nodes={nodes} interval_ms={} table_reads_per_s={reads:.1}",
            interval.as_millis()
        )
    };
    [7, 30, 390, 1_160].map(measure).to_vec()
}
