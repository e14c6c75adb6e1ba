//! Pauses and resumes real controller processes under load, and counts the effects of the cloud
//! for processes that no longer held the leader's lease. It is run by hand:
//!
//! ```sh
//! cargo run --release -p plankhead-standins --bin process_pauses -- --pauses 1000 \
//!     --node-arguments "--fencing deploy/fencing.json"
//! ```
//!
//! It exits with a failure if it finds a stale effect while fencing is configured.

use clap::Parser;
use plankhead_standins::process_pauses::{self, PauseArgs};
use plankhead_standins::CommandLine;
use std::process::ExitCode;
use std::time::Duration;

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<ExitCode> {
    let args = CommandLine::<PauseArgs>::parse();
    let outcome = process_pauses::run(&args.load, &args.program).await?;
    let counts = outcome.effect_counts;
    println!(
        "{} pauses, {} leader terms, {} cloud effects, {} for former leaders, {} stale, {} jobs finished",
        outcome.pauses,
        counts.terms,
        counts.effects,
        counts.by_former_leaders,
        counts.stale,
        outcome.jobs_finished
    );
    println!(
        "{} changes in the state service, {} of them to records of intents",
        outcome.changes, outcome.intent_changes
    );
    let mut gaps = outcome.gaps;
    gaps.sort();
    let quantile =
        |share: f64| gaps.get((gaps.len() as f64 * share) as usize).copied().unwrap_or(Duration::ZERO);
    println!(
        "from a lease's end to the first effect under the next: {} samples, quartiles {:.2?} {:.2?} {:.2?}",
        gaps.len(),
        quantile(0.25),
        quantile(0.5),
        quantile(0.75)
    );
    let fenced = args.load.node_arguments.contains("--fencing");
    Ok(if fenced && counts.stale > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}
