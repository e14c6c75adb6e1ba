//! A small cluster on loopback for trying plankhead out: three controllers, a state service, a
//! cloud and workers. It accepts jobs until it is interrupted:
//!
//! ```sh
//! cargo run --release -p plankhead-standins --bin local_cluster
//! ```
//!
//! The controller processes run this same executable, with `--config` and their settings.

use clap::Parser;
use plankhead_standins::environment::Environment;
use plankhead_standins::LoadArgs;
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};

/// The argument with which this program runs a controller instead of the cluster.
const CONFIG_FLAG: &str = "--config";

#[derive(Debug, Parser)]
struct Args {
    /// Number of controllers.
    #[arg(long, default_value_t = 3)]
    nodes: usize,
    /// Number of machines that the cloud offers.
    #[arg(long, default_value_t = 10)]
    machines: usize,
    /// Additional arguments of every controller, such as `--sharding deploy/sharding.json`.
    #[arg(long, default_value = "", allow_hyphen_values = true)]
    node_arguments: String,
}

impl Args {
    fn into_load_args(self) -> std::io::Result<LoadArgs> {
        let mut load = LoadArgs::parse_from(["local_cluster", "--boot-s=1", "--jobs=1"]);
        load.binary = std::env::current_exe()?;
        load.nodes = self.nodes;
        load.machines = self.machines;
        load.node_arguments = self.node_arguments;
        Ok(load)
    }
}

fn main() -> std::io::Result<ExitCode> {
    if std::env::args().any(|argument| argument == CONFIG_FLAG) {
        return Ok(plankhead::cli::main());
    }
    let load = Args::parse().into_load_args()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run(load))
}

async fn run(load: LoadArgs) -> std::io::Result<ExitCode> {
    let environment = Environment::start(&load).await?;
    let mut interrupted = signal(SignalKind::interrupt())?;
    let mut terminated = signal(SignalKind::terminate())?;
    let mut running = environment.cluster.start(&load)?;
    let nodes = environment.cluster.api_addresses();
    println!("{} controllers accept jobs; the first listens on http://{}", nodes.len(), nodes[0]);
    println!("\nTo submit a job of two tasks and query its status (machines take a few seconds to boot):\n");
    println!("  curl -s http://{}/work -d '{}'", nodes[0], example_job());
    println!("  curl -s http://{}/work/job-1\n\nPress Ctrl-C to stop the cluster.", nodes[0]);
    tokio::select! {
        _ = interrupted.recv() => {}
        _ = terminated.recv() => {}
    }
    running.stop();
    Ok(ExitCode::SUCCESS)
}

fn example_job() -> serde_json::Value {
    plankhead_standins::users::job("job-1", "urgent", 2, 2.0, "img-00", 5.0)
}
