//! Kills and pauses real controller processes under load while shards of machines move
//! between them, and checks that every job reached exactly one final answer. It is run by hand:
//!
//! ```sh
//! cargo run --release -p plankhead-standins --bin shard_move_faults -- --nodes 3 --jobs 300 \
//!     --node-arguments "--sharding rotate.json"
//! ```
//!
//! It exits with a failure if the check finds a fault, such as a task that ran on two machines at
//! the same time.

use clap::Parser;
use plankhead_standins::shard_move_faults::{self, ShardMoveFaultArgs};
use plankhead_standins::CommandLine;
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<ExitCode> {
    let args = CommandLine::<ShardMoveFaultArgs>::parse();
    let outcome = shard_move_faults::run(&args.load, &args.program).await?;
    println!(
        "{} moves, {} kills, {} pauses, {} repeated commands; {}",
        outcome.moves, outcome.kills, outcome.pauses, outcome.repeated_commands, outcome.verdict
    );
    Ok(outcome.verdict.report_faults())
}
