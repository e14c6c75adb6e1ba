//! Pauses and resumes controller processes, at random instants and at chosen ones.

use crate::cloud::Cloud;
use crate::environment::Environment;
use crate::kv_store::KvStore;
use crate::nodes::Running;
use crate::stale_effects::{self, StaleEffects};
use crate::LoadArgs;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};

/// How long a chosen instant is waited for.
const INSTANT_TIMEOUT: Duration = Duration::from_secs(8);
/// The time until the first pause: the cluster elects a leader and rents its first machines.
const WARM_UP_TIME: Duration = Duration::from_secs(6);
/// The time after the last pause, in which requests under way arrive.
const COOL_DOWN_TIME: Duration = Duration::from_secs(5);

/// How pauses are set.
#[derive(Debug, Clone, clap::Args)]
pub struct PauseArgs {
    /// How many.
    #[arg(long, default_value_t = 1000)]
    pub pauses: u32,
    /// The seed of instants and lengths.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Seconds that a pause lasts at the most; the leader's lease lasts 1.5.
    #[arg(long, default_value_t = 4.0)]
    pub longest_s: f64,
    /// Seconds that a pause lasts at the least.
    #[arg(long, default_value_t = 0.2)]
    pub shortest_s: f64,
    /// At which instants.
    #[arg(long, value_enum, default_value_t = Instants::Any)]
    pub instants: Instants,
}

/// At which instants processes are paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Instants {
    /// Any of the others, drawn each time.
    Any,
    Random,
    /// A record of duties was just written.
    RecordWritten,
    /// A rental or a return has just reached the cloud, which has not carried it out.
    CloudCalled,
}

/// What came of a run.
#[derive(Debug)]
pub struct Outcome {
    pub found: StaleEffects,
    pub pauses: u32,
    /// Changes of the state service, and those of records of duties.
    pub changes: usize,
    pub duty_changes: usize,
    /// From the end of a lease to the first effect of the next leader, each time.
    pub gaps: Vec<Duration>,
    pub jobs_over: u64,
}

/// Runs a cluster under load, pauses its processes, and checks what the cloud did.
pub async fn run(load: &LoadArgs, pauses: &PauseArgs) -> std::io::Result<Outcome> {
    let environment = Environment::start(load).await?;
    let (state, cloud) = (&environment.state, &environment.cloud);
    let mut running = environment.cluster.start(load)?;
    environment.start_users(load);
    // A fleet that has its size may call the cloud no more for a minute: the first rental
    // is the one call that is sure to come.
    if pauses.instants != Instants::CloudCalled {
        tokio::time::sleep(WARM_UP_TIME).await;
    }
    let mut random = StdRng::seed_from_u64(pauses.seed);
    for _ in 0..pauses.pauses {
        pause_once(&running, state, cloud, pauses, &mut random).await;
    }
    tokio::time::sleep(COOL_DOWN_TIME).await;
    running.stop_all_running()?;
    let (history, effects) = (state.history(), cloud.effects());
    Ok(Outcome {
        found: stale_effects::check(&history, &effects),
        pauses: pauses.pauses,
        changes: history.len(),
        duty_changes: history.iter().filter(|written| written.key.starts_with("duty/")).count(),
        gaps: gaps(state, cloud),
        jobs_over: environment.counts.jobs_over(),
    })
}

async fn pause_once(
    running: &Running,
    state: &KvStore,
    cloud: &Cloud,
    pauses: &PauseArgs,
    random: &mut StdRng,
) {
    let drawn = match random.random_range(0..4) {
        0 => Instants::RecordWritten,
        1 | 2 => Instants::CloudCalled,
        _ => Instants::Random,
    };
    let instance = if pauses.instants == Instants::Any { drawn } else { pauses.instants };
    let mut caller = None;
    match instance {
        Instants::Any | Instants::Random => {
            tokio::time::sleep(Duration::from_millis(random.random_range(50..1_500))).await;
        }
        Instants::RecordWritten => _ = tokio::time::timeout(INSTANT_TIMEOUT, state.written("duty/")).await,
        Instants::CloudCalled => {
            caller = tokio::time::timeout(INSTANT_TIMEOUT, cloud.called()).await.ok().flatten();
        }
    }
    let any = random.random_range(0..running.len());
    let number = |host: String| host.strip_prefix("plank-")?.parse().ok();
    let holder = state.holder().and_then(number).filter(|_| random.random_bool(0.8));
    let node = caller.and_then(number).or(holder).unwrap_or(any);
    running.pause(node);
    let length = random.random_range(pauses.shortest_s..=pauses.longest_s.max(pauses.shortest_s));
    tokio::time::sleep(Duration::from_secs_f64(length)).await;
    running.resume(node);
}

/// From each end of a lease to the next effect of a sender that holds it.
fn gaps(state: &KvStore, cloud: &Cloud) -> Vec<Duration> {
    let (history, effects) = (state.history(), cloud.effects());
    let mut gaps = Vec::new();
    let mut ended: Option<Instant> = None;
    let mut effects = effects.iter().peekable();
    for written in history.iter().filter(|written| written.key == "lead") {
        if let (Some(at), true) = (ended, written.value.is_some()) {
            while effects.next_if(|effect| effect.revision < written.revision).is_some() {}
            if let Some(effect) = effects.peek() {
                gaps.push(effect.at.saturating_duration_since(at));
            }
        }
        ended = written.value.is_none().then_some(written.at);
    }
    gaps
}
