//! Kills and pauses real controller processes while shards of machines move between them,
//! and checks that every job reached exactly one final answer and that no task ran on two machines
//! at the same time.

use crate::answer_history::Verdict;
use crate::environment::Environment;
use crate::nodes::{Cluster, RunningNodes};
use crate::LoadArgs;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// The time before the first fault, in which the cluster elects a leader and rents its first machines.
const WARM_UP_TIME: Duration = Duration::from_secs(5);
/// The text that a node logs when another node takes over a shard.
const SHARD_MOVED_LINE: &str = "shard holder changed: from=plank-";

/// The arguments that describe the faults.
#[derive(Debug, Clone, clap::Args)]
pub struct ShardMoveFaultArgs {
    /// Number of steps, one after the other: each is a kill, a pause, or a wait without a fault.
    #[arg(long = "troubles", default_value_t = 50)]
    pub steps: u32,
    /// Seed for the choice of faults, nodes and durations.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Maximum time in seconds for which a process is paused or not running.
    #[arg(long, default_value_t = 5.0)]
    pub longest_s: f64,
    /// Seconds after the last step by which every job must be finished.
    #[arg(long = "patience-s", default_value_t = 120.0)]
    pub finish_timeout_s: f64,
}

/// The result of a run.
#[derive(Debug)]
pub struct Outcome {
    pub verdict: Verdict,
    pub kills: u32,
    pub pauses: u32,
    /// The number of copies of direct commands that reached their workers.
    pub repeated_commands: u64,
    /// The number of shard moves between nodes that the nodes logged.
    pub moves: usize,
}

/// Runs a cluster under load, kills and pauses its processes, and checks the answers about all jobs.
pub async fn run(load: &LoadArgs, args: &ShardMoveFaultArgs) -> std::io::Result<Outcome> {
    let environment = Environment::start(load).await?;
    let mut running = environment.cluster.start(load)?;
    environment.start_users(load);
    tokio::time::sleep(WARM_UP_TIME).await;
    let mut random = StdRng::seed_from_u64(args.seed);
    let (mut kills, mut pauses) = (0, 0);
    for _ in 0..args.steps {
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
    let moves = environment.cluster.count_logged(SHARD_MOVED_LINE);
    Ok(Outcome { verdict, kills, pauses, repeated_commands: environment.counts.repeated_commands(), moves })
}

/// Kills the process of a node, and starts a new one after `downtime`.
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
