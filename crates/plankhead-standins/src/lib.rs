//! Stand-ins for what controller processes meet, on the loopback interface: a state
//! service, a cloud, workers and users. They follow the published protocol as far as
//! their users need, keep what they did, and fail only on purpose.
//!
//! Five programs use them: `cluster` runs a small cluster to try, `load` generates load for one cluster, `freeze` pauses and
//! resumes its processes and checks what the cloud did for whom ([`stale`]), `cuts`
//! cuts single links through proxies ([`proxy`]) and checks that every job reached exactly
//! one final answer ([`finals`]), and `moves` does so with kills and pauses while shards of
//! machines move.

pub mod cloud;
pub mod counts;
pub mod cuts;
pub mod finals;
pub mod freeze;
pub mod moves;
pub mod nodes;
pub mod proxy;
pub mod stale;
pub mod state;
pub mod surroundings;
pub mod users;
pub mod workers;

use clap::Parser;
use std::path::PathBuf;

/// What is generated.
#[derive(Debug, Clone, Parser)]
pub struct Load {
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
