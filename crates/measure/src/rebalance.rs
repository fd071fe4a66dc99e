//! Measures the step-time skew and cost of each placement policy.

mod course;
mod noise;
mod plot;
mod trace;

use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;
use std::thread;

use bpaf::Bpaf;

use siskinbend_placement::ExpertMap;
use siskinbend_placement::PolicyKind;
use siskinbend_placement::Price;
use siskinbend_placement::Shape;
use siskinbend_types::ByteSize;

use course::Figures;
use course::INTERVAL_S;
use course::STEPS_A_SECOND;
use course::Setting;
use plot::Point;
pub use trace::Kind;

/// Experts that each token chooses in a layer.
const EXPERTS_A_TOKEN: f64 = 8.0;

/// Equal copies of a policy that decide side by side.
const POLICY_COPIES: usize = 3;

/// The prices of the two sample documents.
const SKEW_FIRST: Price = Price {
    skew_weight: 4.0,
    byte_cost: 0.05,
    horizon_steps: 20_000,
};
const COST_FIRST: Price = Price {
    skew_weight: 1.0,
    byte_cost: 1.0,
    horizon_steps: 20_000,
};

/// A price on the command line, written as `SKEW_WEIGHT,BYTE_COST,HORIZON_STEPS`.
#[derive(Debug, Clone, Copy)]
pub struct PriceText(Price);

impl FromStr for PriceText {
    type Err = String;

    fn from_str(text: &str) -> Result<PriceText, String> {
        let parts: Vec<&str> = text.split(',').collect();
        let number = |part: &str| {
            let value = part.parse::<f64>().ok();
            value.filter(|n| n.is_finite() && *n >= 0.0)
        };
        if let [skew, byte, horizon] = parts[..]
            && let (Some(skew_weight), Some(byte_cost), Ok(horizon_steps)) =
                (number(skew), number(byte), horizon.parse())
        {
            return Ok(PriceText(Price {
                skew_weight,
                byte_cost,
                horizon_steps,
            }));
        }
        Err(format!(
            "\"{text}\" is not a price such as 4,0.05,20000: skew weight, byte cost, horizon in steps"
        ))
    }
}

impl fmt::Display for PriceText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let price = self.0;
        write!(
            f,
            "{},{},{}",
            price.skew_weight, price.byte_cost, price.horizon_steps
        )
    }
}

/// Options of the experiment.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Seed of every random choice; the same seed gives the same output
    #[bpaf(argument("N"))]
    pub seed: u64,
    /// Ranks of the group
    #[bpaf(argument("N"), fallback(64), display_fallback)]
    pub ranks: u16,
    /// Experts in each layer
    #[bpaf(argument("N"), fallback(256), display_fallback)]
    pub experts: u16,
    /// Layers with experts
    #[bpaf(argument("N"), fallback(4), display_fallback)]
    pub layers: u16,
    /// Experts that a rank can hold in each layer
    #[bpaf(argument("N"), fallback(6), display_fallback)]
    pub slots: u16,
    /// Steps of each trace, rounded up to whole intervals of 300
    #[bpaf(argument("N"), fallback(24_000), display_fallback)]
    pub steps: u32,
    /// Tokens of each rank in a step
    #[bpaf(argument("N"), fallback(64), display_fallback)]
    pub tokens: u32,
    /// Weights of one expert in one layer
    #[bpaf(argument("SIZE"), fallback(ByteSize(8 << 20)), display_fallback)]
    pub expert_size: ByteSize,
    /// Bytes a second that the group may load
    #[bpaf(argument("SIZE"), fallback(ByteSize(256 << 20)), display_fallback)]
    pub load_rate: ByteSize,
    /// Only this trace: drift, burst, organisation, slow_rank, lossy_counts or steady
    #[bpaf(argument("NAME"), optional)]
    pub trace: Option<Kind>,
    /// Price of one policy in place of skew_first and cost_first: skew weight, byte cost, horizon
    #[bpaf(argument("W,B,H"), optional)]
    pub price: Option<PriceText>,
    /// Also draw skew against bytes into this SVG file
    #[bpaf(argument("FILE"), optional)]
    pub plot: Option<PathBuf>,
}

/// A policy of the experiment.
#[derive(Debug, Clone, Copy)]
enum Variant {
    Policy(&'static str, PolicyKind, Price),
    Bound,
}

impl Variant {
    fn as_str(self) -> &'static str {
        match self {
            Variant::Policy(name, ..) => name,
            Variant::Bound => "bound",
        }
    }

    fn run(self, setting: Setting, kind: Kind) -> Figures {
        match self {
            Variant::Bound => course::run_bound(setting, kind),
            Variant::Policy(_, policy, price) => {
                // The full replan gets its map at once. With the weight store's rate it would be
                // behind by minutes and no measure of what a placement can reach.
                let instant = policy == PolicyKind::Replan;
                let mut copies = [(); POLICY_COPIES].map(|()| policy.build(price));
                course::run(setting, kind, &mut copies, instant)
            }
        }
    }
}

/// Runs the experiment and returns one line per policy and trace, baselines first.
///
/// # Errors
///
/// Returns a sentence if the options don't fit together.
pub fn run(options: &Options) -> Result<Vec<String>, String> {
    let setting = check_options(options)?;
    let variants = list_variants(options.price);
    let kinds = match options.trace {
        Some(kind) => vec![kind],
        None => Kind::ALL.to_vec(),
    };
    let start = |kind: &Kind| {
        let (kind, variants) = (*kind, variants.clone());
        thread::spawn(move || {
            let measure = |v: &Variant| (*v, v.run(setting, kind));
            variants.iter().map(measure).collect::<Vec<_>>()
        })
    };
    let jobs: Vec<_> = kinds.iter().map(start).collect();
    let mut lines = Vec::new();
    let mut points = Vec::new();
    for (kind, job) in kinds.into_iter().zip(jobs) {
        let results = job
            .join()
            .map_err(|_| format!("the trace {} failed", kind.as_str()))?;
        for (variant, figures) in results {
            points.push(Point {
                policy: variant.as_str(),
                bytes: figures.bytes,
                skew: figures.mean_skew(),
            });
            lines.push(write_line(variant.as_str(), kind, figures));
        }
    }
    if let Some(path) = &options.plot {
        plot::draw(path, &points)
            .map_err(|error| format!("{} can't be drawn: {error}", path.display()))?;
    }
    Ok(lines)
}

fn check_options(options: &Options) -> Result<Setting, String> {
    let shape = Shape {
        ranks: options.ranks,
        experts: options.experts,
        layers: options.layers,
        slots: options.slots,
    };
    if [shape.ranks, shape.experts, shape.layers, shape.slots].contains(&0) {
        return Err("ranks, experts, layers and slots must be at least 1".to_owned());
    }
    if options.steps == 0 || options.tokens == 0 {
        return Err("steps and tokens must be at least 1".to_owned());
    }
    if options.expert_size.0 == 0 || options.load_rate.0 == 0 {
        return Err("the expert size and the load rate must be at least 1 byte".to_owned());
    }
    ExpertMap::initial(shape).map_err(|error| error.to_string())?;
    let interval = STEPS_A_SECOND * INTERVAL_S;
    Ok(Setting {
        shape,
        seconds: options.steps.div_ceil(interval) * INTERVAL_S,
        tokens: f64::from(options.ranks) * f64::from(options.tokens) * EXPERTS_A_TOKEN,
        expert_size: options.expert_size,
        load_rate: options.load_rate,
        seed: options.seed,
    })
}

fn list_variants(price: Option<PriceText>) -> Vec<Variant> {
    let mut variants = vec![
        Variant::Policy("static", PolicyKind::Static, SKEW_FIRST),
        Variant::Policy("replan", PolicyKind::Replan, SKEW_FIRST),
    ];
    match price {
        Some(PriceText(price)) => {
            variants.push(Variant::Policy("priced", PolicyKind::Priced, price));
        }
        None => {
            variants.push(Variant::Policy(
                "skew_first",
                PolicyKind::Priced,
                SKEW_FIRST,
            ));
            variants.push(Variant::Policy(
                "cost_first",
                PolicyKind::Priced,
                COST_FIRST,
            ));
        }
    }
    variants.push(Variant::Bound);
    variants
}

fn write_line(policy: &str, kind: Kind, mut figures: Figures) -> String {
    let mean = figures.mean_skew();
    figures.skews.sort_by(f64::total_cmp);
    figures.plans_ns.sort_unstable();
    let quantile = |part: f64| figures.skews[((figures.skews.len() - 1) as f64 * part) as usize];
    let plans = &figures.plans_ns;
    let plan_ns = plans
        .get(plans.len().saturating_sub(1) * 99 / 100)
        .unwrap_or(&0);
    format!(
        "policy={policy} trace={} skew_mean={mean:.4} skew_p95={:.4} skew_p99={:.4} moves={} \
         bytes={} switches={} pause_us={} plan_us={} ranks_touched={}",
        kind.as_str(),
        quantile(0.95),
        quantile(0.99),
        figures.moves,
        figures.bytes,
        figures.switches,
        figures.pause_us,
        plan_ns / 1_000,
        figures.ranks_touched,
    )
}
