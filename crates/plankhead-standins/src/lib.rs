//! Stand-ins on the loopback interface for the systems around plankhead's processes: a state
//! service, a cloud, workers and users. They implement the parts of the published protocol that
//! the programs below need, record their actions, and fail only where a program injects a fault.
//!
//! Five programs use them:
//!
//! - `local_cluster` runs a small cluster for trying plankhead out;
//! - `load_generator` generates load for one cluster;
//! - `process_pauses` pauses and resumes the processes of a cluster, and checks what the cloud did
//!   for former leaders ([`stale_effects`]);
//! - `link_faults` injects faults into single links through proxies ([`proxy`]), and checks that
//!   every job reached exactly one final answer ([`answer_history`]);
//! - `shard_move_faults` kills and pauses processes while shards of machines move, and makes the
//!   same check.

pub mod answer_history;
pub mod cloud;
pub mod environment;
pub mod kv_store;
pub mod link_faults;
pub mod nodes;
pub mod process_pauses;
pub mod proxy;
pub mod request_counts;
pub mod shard_move_faults;
pub mod stale_effects;
pub mod users;
pub mod workers;

use clap::Parser;
use std::path::PathBuf;

/// The command line of a program that runs a cluster under load: the arguments of the cluster and
/// its load, and those of the program.
#[derive(Debug, Parser)]
pub struct CommandLine<A: clap::Args> {
    /// The cluster and its load.
    #[command(flatten)]
    pub load: LoadArgs,
    /// The arguments that only this program has.
    #[command(flatten)]
    pub program: A,
}

/// The arguments that describe the cluster and its load.
#[derive(Debug, Clone, Parser)]
pub struct LoadArgs {
    /// The executable of the nodes.
    #[arg(long, default_value = "target/release/plankhead")]
    pub binary: PathBuf,
    /// A command that runs the first node, such as a profiler with its arguments.
    #[arg(long, default_value = "")]
    pub wrap: String,
    /// Additional arguments of every node, such as `--fencing deploy/fencing.json`.
    #[arg(long, default_value = "", allow_hyphen_values = true)]
    pub node_arguments: String,
    /// Number of controller nodes.
    #[arg(long, default_value_t = 1)]
    pub nodes: usize,
    /// Number of machines that the cloud offers.
    #[arg(long, default_value_t = 185)]
    pub machines: usize,
    /// Seconds between the heartbeats of a worker.
    #[arg(long, default_value_t = 1.0)]
    pub report_s: f64,
    /// Average number of jobs submitted per second.
    #[arg(long, default_value_t = 0.5)]
    pub jobs_per_s: f64,
    /// Total number of jobs submitted; 0: no limit.
    #[arg(long, default_value_t = 0)]
    pub jobs: u64,
    /// Number of jobs submitted at once at the start.
    #[arg(long, default_value_t = 20)]
    pub initial: u64,
    /// Seconds without submissions after every tenth job.
    #[arg(long, default_value_t = 0.0)]
    pub idle_s: f64,
    /// Seconds from the rental of a machine to its first heartbeat.
    #[arg(long, default_value_t = 5.0)]
    pub boot_s: f64,
    /// Average number of tasks of a job.
    #[arg(long, default_value_t = 16)]
    pub tasks: u32,
    /// CPU cores that a task takes; a machine has 16.
    #[arg(long, default_value_t = 6.0)]
    pub cpus: f64,
    /// Average run time of a task in seconds.
    #[arg(long, default_value_t = 30.0)]
    pub run_s: f64,
    /// Share of the jobs that their users cancel a few seconds after submission.
    #[arg(long, default_value_t = 0.04)]
    pub cancelled: f64,
    /// Seconds that a worker keeps its tasks running without a response to its heartbeats.
    #[arg(long, default_value_t = 11.0)]
    pub lease_s: f64,
    /// Seconds after the cancellation of a job by which its tasks must have stopped.
    #[arg(long, default_value_t = 36.0)]
    pub cancel_s: f64,
    /// Number of connections that the platform allows a node.
    #[arg(long, default_value_t = 600)]
    pub sockets: usize,
    /// Maximum delay in seconds before the cloud carries out a rental or a return.
    #[arg(long, default_value_t = 0.0)]
    pub cloud_delay_s: f64,
    /// Share of the direct commands of which a copy reaches the worker again after it was answered.
    #[arg(long, default_value_t = 0.0)]
    pub repeated_commands: f64,
    /// Maximum delay in seconds of these copies.
    #[arg(long, default_value_t = 20.0)]
    pub repeat_delay_s: f64,
    /// Share of the attempts that fail.
    #[arg(long, default_value_t = 0.0)]
    pub failed: f64,
    /// Seed for the choice of copies, their delays and the failing attempts.
    #[arg(long, default_value_t = 1)]
    pub worker_seed: u64,
    /// Minimum delay in seconds before the cloud carries out a rental or a return.
    #[arg(long, default_value_t = 0.0)]
    pub cloud_delay_least_s: f64,
}
