//! Injects faults into single links of real controller processes under load, and checks that
//! every job reached exactly one final answer. It is run by hand:
//!
//! ```sh
//! cargo run --release -p plankhead-standins --bin link_faults -- --nodes 3 --jobs 300 --cuts 50 \
//!     --node-arguments "--reachability deploy/reachability.json"
//! ```
//!
//! It exits with a failure if the check finds a fault.

use clap::Parser;
use plankhead_standins::link_faults::{self, LinkFaultArgs};
use plankhead_standins::CommandLine;
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<ExitCode> {
    let args = CommandLine::<LinkFaultArgs>::parse();
    let outcome = link_faults::run(&args.load, &args.program).await?;
    let verdict = &outcome.verdict;
    println!("{} cuts, {} mode changes; {verdict}", outcome.cuts, outcome.mode_changes);
    Ok(outcome.verdict.report_faults())
}
