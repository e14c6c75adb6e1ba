//! A load generator for one cluster on the loopback interface: state service, cloud,
//! workers and users, at rates set on the command line, and the real `plankhead`
//! processes under a profiler if one is named. Run by hand:
//!
//!     cargo run --release -p plankhead-standins --bin load -- --machines 185 --report-s 1 --seconds 60
//!
//! It prints how often each kind of request was made and what the processes used. It is
//! not a simulation: nothing fails, and a process has a whole core.

use clap::Parser;
use plankhead_standins::finals::History;
use plankhead_standins::{cloud, counts, nodes, state, users, workers, Load};
use std::sync::Arc;
use std::time::Duration;

#[derive(Debug, Parser)]
struct Args {
    #[command(flatten)]
    load: Load,
    /// Seconds before counting begins: machines boot and the backlog is served.
    #[arg(long, default_value_t = 30)]
    warmup_s: u64,
    /// Seconds counted.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let load = &args.load;
    let counts = Arc::new(counts::Counts::default());
    let (state_address, state) = state::start(counts.clone()).await?;
    let cluster = nodes::Cluster::plan(load, state_address)?;
    let workload = Arc::new(users::Workload::default());
    let history = Arc::new(History::default());
    let workers = workers::Workers::start(
        load,
        cluster.api_addresses(),
        workload.clone(),
        counts.clone(),
        history.clone(),
        None,
    )
    .await?;
    cloud::start(&cluster.cloud_addresses, load, workers, state).await?;
    let mut running = cluster.start(load)?;
    tokio::spawn(users::run(load.clone(), cluster.api_addresses(), workload, counts.clone(), history));
    tokio::time::sleep(Duration::from_secs(args.warmup_s)).await;
    let (counted, used) = (counts.read(), running.usage());
    tokio::time::sleep(Duration::from_secs(args.seconds)).await;
    counts.print(&counted, args.seconds);
    running.print(&used, args.seconds);
    running.stop();
    Ok(())
}
