//! Pauses and resumes controller processes, at random instants and at critical ones.

use crate::cloud::Cloud;
use crate::environment::Environment;
use crate::kv_store::KvStore;
use crate::nodes::RunningNodes;
use crate::stale_effects::{self, EffectCounts};
use crate::LoadArgs;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};

/// The maximum time to wait for a chosen instant, after which the pause begins in any case.
const INSTANT_TIMEOUT: Duration = Duration::from_secs(8);
/// The time before the first pause, in which the cluster elects a leader and rents its first machines.
const WARM_UP_TIME: Duration = Duration::from_secs(6);
/// The time after the last pause, in which outstanding requests are carried out.
const COOL_DOWN_TIME: Duration = Duration::from_secs(5);

/// The arguments that describe the pauses.
#[derive(Debug, Clone, clap::Args)]
pub struct PauseArgs {
    /// Number of pauses.
    #[arg(long, default_value_t = 1000)]
    pub pauses: u32,
    /// Seed for the choice of instants, nodes and durations.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Maximum duration of a pause in seconds; the leader's lease lasts 1.5 s.
    #[arg(long, default_value_t = 4.0)]
    pub longest_s: f64,
    /// Minimum duration of a pause in seconds.
    #[arg(long, default_value_t = 0.2)]
    pub shortest_s: f64,
    /// Instants at which processes are paused.
    #[arg(long, value_enum, default_value_t = PauseInstant::Any)]
    pub instants: PauseInstant,
}

/// The instants at which processes are paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum PauseInstant {
    /// One of the other values, chosen at random for each pause.
    Any,
    /// A random instant.
    Random,
    /// A record of intents has just been written.
    RecordWritten,
    /// A request for a rental or a return has just reached the cloud, which has not carried it out yet.
    CloudCalled,
}

/// The result of a run.
#[derive(Debug)]
pub struct Outcome {
    pub effect_counts: EffectCounts,
    pub pauses: u32,
    /// The number of changes of keys in the state service.
    pub changes: usize,
    /// The number of these changes that concern records of intents.
    pub intent_changes: usize,
    /// For each end of a lease, the time to the first effect after the lease was acquired again.
    pub gaps: Vec<Duration>,
    pub jobs_finished: u64,
}

/// Runs a cluster under load, pauses its processes, and checks the effects of the cloud.
pub async fn run(load: &LoadArgs, args: &PauseArgs) -> std::io::Result<Outcome> {
    let environment = Environment::start(load).await?;
    let (state, cloud) = (&environment.state, &environment.cloud);
    let mut running = environment.cluster.start(load)?;
    environment.start_users(load);
    // Once the fleet has its target size, the leader may not call the cloud for a minute. Only the
    // first rental is certain, so pauses at calls to the cloud begin without a warm-up.
    if args.instants != PauseInstant::CloudCalled {
        tokio::time::sleep(WARM_UP_TIME).await;
    }
    let mut random = StdRng::seed_from_u64(args.seed);
    for _ in 0..args.pauses {
        pause_once(&running, state, cloud, args, &mut random).await;
    }
    tokio::time::sleep(COOL_DOWN_TIME).await;
    running.stop_all_running()?;
    let (history, effects) = (state.history(), cloud.effects());
    Ok(Outcome {
        effect_counts: stale_effects::check(&history, &effects),
        pauses: args.pauses,
        changes: history.len(),
        intent_changes: history.iter().filter(|change| change.key.starts_with("duty/")).count(),
        gaps: gaps(state, cloud),
        jobs_finished: environment.counts.jobs_finished(),
    })
}

async fn pause_once(
    running: &RunningNodes,
    state: &KvStore,
    cloud: &Cloud,
    args: &PauseArgs,
    random: &mut StdRng,
) {
    let drawn = match random.random_range(0..4) {
        0 => PauseInstant::RecordWritten,
        1 | 2 => PauseInstant::CloudCalled,
        _ => PauseInstant::Random,
    };
    let instant = if args.instants == PauseInstant::Any { drawn } else { args.instants };
    let mut caller = None;
    match instant {
        PauseInstant::Any | PauseInstant::Random => {
            tokio::time::sleep(Duration::from_millis(random.random_range(50..1_500))).await;
        }
        PauseInstant::RecordWritten => {
            _ = tokio::time::timeout(INSTANT_TIMEOUT, state.wait_for_write("duty/")).await
        }
        PauseInstant::CloudCalled => {
            caller = tokio::time::timeout(INSTANT_TIMEOUT, cloud.next_caller()).await.ok().flatten();
        }
    }
    let random_node = random.random_range(0..running.len());
    let node_number = |host: String| host.strip_prefix("plank-")?.parse().ok();
    let lease_holder = state.lease_holder().and_then(node_number).filter(|_| random.random_bool(0.8));
    let node = caller.and_then(node_number).or(lease_holder).unwrap_or(random_node);
    running.pause(node);
    let duration = random.random_range(args.shortest_s..=args.longest_s.max(args.shortest_s));
    tokio::time::sleep(Duration::from_secs_f64(duration)).await;
    running.resume(node);
}

/// For each end of a lease, returns the time to the first effect after the lease was acquired again.
fn gaps(state: &KvStore, cloud: &Cloud) -> Vec<Duration> {
    let (history, effects) = (state.history(), cloud.effects());
    let mut gaps = Vec::new();
    let mut ended_at: Option<Instant> = None;
    let mut effects = effects.iter().peekable();
    for change in history.iter().filter(|change| change.key == "lead") {
        if let (Some(at), true) = (ended_at, change.value.is_some()) {
            while effects.next_if(|effect| effect.revision < change.revision).is_some() {}
            if let Some(effect) = effects.peek() {
                gaps.push(effect.at.saturating_duration_since(at));
            }
        }
        ended_at = change.value.is_none().then_some(change.at);
    }
    gaps
}
