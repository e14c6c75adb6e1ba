//! A load generator for one cluster on the loopback interface: state service, cloud,
//! workers and users, at rates set on the command line, and the real `plankhead`
//! processes under a profiler if one is named. Run by hand:
//!
//!     cargo run --release -p plankhead-standins --bin load_generator -- --machines 185 --report-s 1 --seconds 60
//!
//! It prints how often each kind of request was made and what the processes used. It is
//! not a simulation: nothing fails, and a process has a whole core.

use clap::Parser;
use plankhead_standins::environment::Environment;
use plankhead_standins::LoadArgs;
use std::time::Duration;

#[derive(Debug, Parser)]
struct Args {
    #[command(flatten)]
    load: LoadArgs,
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
