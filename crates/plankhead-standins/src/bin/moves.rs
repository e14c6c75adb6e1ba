//! Kills and pauses real controller processes under load while shards of machines move
//! between them, and checks that every job reached exactly one final answer. Run by hand:
//!
//!     cargo run --release -p plankhead-standins --bin moves -- --nodes 3 --jobs 300 \
//!         --node-arguments "--sharding rotate.json"
//!
//! It ends with an error if a job did not, or a task ran twice.

use clap::Parser;
use plankhead_standins::moves::{self, Moves};
use plankhead_standins::Load;
use std::process::ExitCode;

#[derive(Debug, Parser)]
struct Args {
    #[command(flatten)]
    load: Load,
    #[command(flatten)]
    moves: Moves,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<ExitCode> {
    let args = Args::parse();
    let outcome = moves::run(&args.load, &args.moves).await?;
    println!(
        "{} moves, {} kills, {} pauses; {}",
        outcome.moves, outcome.kills, outcome.pauses, outcome.verdict
    );
    for fault in &outcome.verdict.faults {
        println!("fault: {fault}");
    }
    Ok(if outcome.verdict.faults.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
