//! Reads the limits of expert maps from the configuration, or asks another agent for them.
//!
//! A leader that can't reach the store would leave its group on an outdated map.

use std::sync::Arc;
use std::time::Duration;

use siskinbend_placement::even_split::Limits;
use siskinbend_placement::even_split::find_rank_copies;
use tokio::time::sleep;

use super::Agent;
use crate::peer::LIMITS_PATH;

/// Interval at which the agent checks whether it needs the limits.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Timeout of a call to another agent, which may read the store for it.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Minimum gain in one set for each GB that is copied.
const MIN_GAIN_PER_GB: f64 = 0.1;
const MB_PER_GB: f64 = 1_000.0;
/// Lower bound of the minimum gain of one copy: each copy delays the switch, whatever its size.
const MIN_COPY_GAIN: f64 = 0.03;
/// Upper bound of the minimum gain of one copy.
const MAX_COPY_GAIN: f64 = 0.1;

/// Keeps the limits known while this agent leads its group.
pub(super) async fn run(agent: Arc<Agent>) {
    let mut is_failing = false;
    loop {
        sleep(CHECK_INTERVAL).await;
        if !agent.group_view().needs_limits(agent.now()) {
            continue;
        }
        let limits = match read(&agent).await {
            Some(limits) => Some(limits),
            None => ask_member(&agent).await,
        };
        match limits {
            Some(limits) => {
                let now = agent.now();
                agent.group_view().set_limits(limits, now);
                is_failing = false;
            }
            None => {
                if !std::mem::replace(&mut is_failing, true) {
                    log::warn!(matter = "limits"; "store_lost");
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the limits that this agent knows, or reads them for another agent.
pub(super) async fn find(agent: &Agent) -> Option<Limits> {
    let known = agent.group_view().limits();
    match known {
        Some(limits) => Some(limits),
        None => read(agent).await,
    }
}

async fn ask_member(agent: &Agent) -> Option<Limits> {
    let member = agent.group_view().choose_member(rand::random())?;
    let call = agent
        .peers
        .call_within(PEER_TIMEOUT, member, LIMITS_PATH, &());
    let limits: Option<Limits> = call.await.flatten();
    if limits.is_some() {
        log::info!(member:% = member; "limits_received");
    }
    limits
}

/// Reads the limits from the configuration.
async fn read(agent: &Agent) -> Option<Limits> {
    let service = agent.settings.service.as_ref()?;
    let config = match agent.source.read_config().await {
        Ok(read) => read.content.config?.config,
        Err(error) => {
            log::debug!(matter = "config", error:% = error; "limits_not_read");
            return None;
        }
    };
    let engine = config.find_service(service)?.engine.as_ref()?;
    Some(Limits {
        slots: usize::from(engine.rank_capacity),
        max_copies: usize::from(engine.max_copies),
        rank_copies: find_rank_copies(engine.copy_time()),
        min_gain: (engine.expert_mb / MB_PER_GB * MIN_GAIN_PER_GB)
            .clamp(MIN_COPY_GAIN, MAX_COPY_GAIN),
    })
}
