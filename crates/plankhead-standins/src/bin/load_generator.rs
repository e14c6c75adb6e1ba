//! A load generator for one cluster on the loopback interface. It runs a state service, a cloud,
//! workers and users at the rates given on the command line, and the real `plankhead` processes,
//! of which the first can run under a profiler. It is run by hand:
//!
//! ```sh
//! cargo run --release -p plankhead-standins --bin load_generator -- --machines 185 --report-s 1 --seconds 60
//! ```
//!
//! It prints the rate of each kind of request, and the CPU time and memory that the processes used.
//! It is not a simulation: no faults are injected, and a process has a whole core.

use clap::Parser;
use plankhead_standins::environment::Environment;
use plankhead_standins::LoadArgs;
use std::time::Duration;

#[derive(Debug, Parser)]
struct Args {
    #[command(flatten)]
    load: LoadArgs,
    /// Seconds before the counts begin, in which machines boot and the initial backlog is processed.
    #[arg(long, default_value_t = 30)]
    warmup_s: u64,
    /// Seconds over which requests and resource use are counted.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let load = &args.load;
    let environment = Environment::start(load).await?;
    let mut running = environment.cluster.start(load)?;
    environment.start_users(load);
    tokio::time::sleep(Duration::from_secs(args.warmup_s)).await;
    let (counted, used) = (environment.counts.read(), running.usage());
    tokio::time::sleep(Duration::from_secs(args.seconds)).await;
    environment.counts.print(&counted, args.seconds);
    running.print(&used, args.seconds);
    running.stop();
    Ok(())
}
