//! Stand-ins on the loopback interface for what plankhead's processes meet: a state service, a
//! cloud, workers and users. They follow the published protocol as far as their users need it,
//! record what they did, and fail only on purpose.
//!
//! Five programs use them: `local_cluster` runs a small cluster to try, `load_generator`
//! generates load for one cluster, `process_pauses` pauses and resumes its processes and checks
//! what the cloud did for former leaders ([`stale_effects`]), `link_faults` fails single links
//! through proxies ([`proxy`]) and checks that every job reached exactly one final answer
//! ([`answer_history`]), and `shard_move_faults` does so with kills and pauses while shards of
//! machines move.

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

/// The command line of a program that puts a cluster under load, with the program's own
/// arguments.
#[derive(Debug, Parser)]
pub struct CommandLine<A: clap::Args> {
    /// The load.
    #[command(flatten)]
    pub load: LoadArgs,
    /// The program's own arguments.
    #[command(flatten)]
    pub program: A,
}

/// The cluster and its load.
#[derive(Debug, Clone, Parser)]
pub struct LoadArgs {
    /// The program under load.
    #[arg(long, default_value = "target/release/plankhead")]
    pub binary: PathBuf,
    /// A command that the first node is started with, such as a profiler.
    #[arg(long, default_value = "")]
    pub wrap: String,
    /// Further arguments of every node, such as `--fencing deploy/fencing.json`.
    #[arg(long, default_value = "", allow_hyphen_values = true)]
    pub node_arguments: String,
    /// Controller nodes.
    #[arg(long, default_value_t = 1)]
    pub nodes: usize,
    /// Machines that the cloud has.
    #[arg(long, default_value_t = 185)]
    pub machines: usize,
    /// Seconds between the reports of a worker.
    #[arg(long, default_value_t = 1.0)]
    pub report_s: f64,
    /// Jobs submitted in a second.
    #[arg(long, default_value_t = 0.5)]
    pub jobs_per_s: f64,
    /// Jobs submitted in all; 0: without end.
    #[arg(long, default_value_t = 0)]
    pub jobs: u64,
    /// Jobs submitted at once in the beginning.
    #[arg(long, default_value_t = 20)]
    pub initial: u64,
    /// Seconds without a submission after every tenth job.
    #[arg(long, default_value_t = 0.0)]
    pub idle_s: f64,
    /// Seconds until a rented machine reports.
    #[arg(long, default_value_t = 5.0)]
    pub boot_s: f64,
    /// Tasks of a job on average.
    #[arg(long, default_value_t = 16)]
    pub tasks: u32,
    /// Processors that a task takes, of 16 on a machine.
    #[arg(long, default_value_t = 6.0)]
    pub cpus: f64,
    /// Run time of a task on average.
    #[arg(long, default_value_t = 30.0)]
    pub run_s: f64,
    /// Share of the jobs that are cancelled while they run.
    #[arg(long, default_value_t = 0.04)]
    pub cancelled: f64,
    /// Seconds that a worker goes on without an answer to its reports.
    #[arg(long, default_value_t = 11.0)]
    pub lease_s: f64,
    /// Seconds after a cancellation until its tasks must be gone.
    #[arg(long, default_value_t = 36.0)]
    pub cancel_s: f64,
    /// Connections that the platform allows a node.
    #[arg(long, default_value_t = 600)]
    pub sockets: usize,
    /// Seconds that the cloud takes at the most before it carries out a rental or a return.
    #[arg(long, default_value_t = 0.0)]
    pub cloud_delay_s: f64,
    /// And at the least.
    #[arg(long, default_value_t = 0.0)]
    pub cloud_delay_least_s: f64,
}
