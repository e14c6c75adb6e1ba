//! Cuts single links of real controller processes under load, and checks that every job
//! reached exactly one final answer. Run by hand:
//!
//!     cargo run --release -p plankhead-standins --bin cuts -- --nodes 3 --jobs 300 --cuts 50 \
//!         --node-arguments "--reachability deploy/reachability.json"
//!
//! It ends with an error if a job did not.

use clap::Parser;
use plankhead_standins::cuts::{self, Cuts};
use plankhead_standins::Load;
use std::process::ExitCode;

#[derive(Debug, Parser)]
struct Args {
    #[command(flatten)]
    load: Load,
    #[command(flatten)]
    cuts: Cuts,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<ExitCode> {
    let args = Args::parse();
    let outcome = cuts::run(&args.load, &args.cuts).await?;
    let verdict = &outcome.verdict;
    println!("{} cuts, {} changes of mode; {verdict}", outcome.cuts, outcome.mode_changes);
    for fault in &verdict.faults {
        println!("fault: {fault}");
    }
    Ok(if verdict.faults.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
