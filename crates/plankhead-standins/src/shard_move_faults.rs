//! Kills and pauses real controller processes while shards of machines move between them,
//! and checks that every job reached exactly one final answer and no task ran twice.

use crate::answer_history::Verdict;
use crate::environment::Environment;
use crate::nodes::{Cluster, RunningNodes};
use crate::LoadArgs;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// The time until the first fault: the cluster elects a leader and rents its first machines.
const WARM_UP_TIME: Duration = Duration::from_secs(5);
/// What nodes log when a shard changes hands.
const SHARD_MOVED_LINE: &str = "shard holder changed: from=plank-";

/// Which troubles come while shards move.
#[derive(Debug, Clone, clap::Args)]
pub struct ShardMoveFaultArgs {
    /// Troubles, one after the other: a kill, a pause, or some quiet.
    #[arg(long = "troubles", default_value_t = 50)]
    pub faults: u32,
    /// The seed of what befalls whom, and for how long.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Seconds that a process is paused or away at the most.
    #[arg(long, default_value_t = 5.0)]
    pub longest_s: f64,
    /// Seconds after the last trouble until every job must be over.
    #[arg(long = "patience-s", default_value_t = 120.0)]
    pub finish_timeout_s: f64,
}

/// What came of a run.
#[derive(Debug)]
pub struct Outcome {
    pub verdict: Verdict,
    pub kills: u32,
    pub pauses: u32,
    /// Shards that changed hands, as the nodes logged.
    pub moves: usize,
}

/// Runs a cluster under load with troubles, and checks what came of the jobs.
pub async fn run(load: &LoadArgs, args: &ShardMoveFaultArgs) -> std::io::Result<Outcome> {
    let environment = Environment::start(load).await?;
    let mut running = environment.cluster.start(load)?;
    environment.start_users(load);
    tokio::time::sleep(WARM_UP_TIME).await;
    let mut random = StdRng::seed_from_u64(args.seed);
    let (mut kills, mut pauses) = (0, 0);
    for _ in 0..args.faults {
        let node = random.random_range(0..load.nodes);
        let duration = Duration::from_secs_f64(random.random_range(0.2..=args.longest_s.max(0.3)));
        match random.random_range(0..3) {
            0 => {
                kills += 1;
                kill_for(&environment.cluster, &mut running, load, node, duration).await?;
            }
            1 => {
                pauses += 1;
                running.pause(node);
                tokio::time::sleep(duration).await;
                running.resume(node);
            }
            _ => tokio::time::sleep(duration).await,
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(100..2_500))).await;
    }
    let timeout = Duration::from_secs_f64(args.finish_timeout_s);
    let verdict = environment.finish(running, load, timeout).await?;
    Ok(Outcome { verdict, kills, pauses, moves: environment.cluster.count_logged(SHARD_MOVED_LINE) })
}

/// Ends a process without warning, and starts it again after some time.
async fn kill_for(
    cluster: &Cluster,
    running: &mut RunningNodes,
    load: &LoadArgs,
    node: usize,
    downtime: Duration,
) -> std::io::Result<()> {
    running.kill(node);
    tokio::time::sleep(downtime).await;
    running.replace(node, cluster.start_node(load, node)?);
    Ok(())
}
