//! Runs real controller processes, some of which are killed and paused, while copies of the direct commands
//! that workers have carried out and answered reach them again. Every job must get exactly one final status,
//! and no attempt may start again after its end was acknowledged.
//!
//! For longer runs there is a separate program: see the README.

#![allow(clippy::unwrap_used)]

mod common;

use common::{command_line, DEPLOY, SMALL_LOAD};
use plankhead_standins::shard_move_faults::{self, Outcome, ShardMoveFaultArgs};

/// Half of the direct commands arrive again within 12 s, and a fifth of the attempts fail.
const REPEATS: [&str; 4] =
    ["--repeated-commands=0.5", "--repeat-delay-s=12", "--failed=0.2", "--worker-seed=7"];

/// Runs the load with these faults of processes.
async fn run(node_arguments: &str, faults: &[&str]) -> Outcome {
    let arguments = [&SMALL_LOAD[..], &REPEATS, faults].concat();
    let args = command_line::<ShardMoveFaultArgs>(node_arguments, &arguments);
    shard_move_faults::run(&args.load, &args.program).await.unwrap()
}

fn assert_no_faults(outcome: &Outcome) {
    assert_eq!(outcome.verdict.faults, Vec::<String>::new(), "{outcome:?}");
    assert_eq!(outcome.verdict.accepted, 60, "{outcome:?}");
    assert!(outcome.repeated_commands > 20, "{outcome:?}");
}

#[tokio::test]
async fn no_acknowledged_attempt_starts_again_as_deployed() {
    let arguments = format!("--fencing {DEPLOY}/fencing.json --sharding {DEPLOY}/sharding.json");
    assert_no_faults(&run(&arguments, &["--troubles=6", "--seed=5"]).await);
}

#[tokio::test]
async fn no_acknowledged_attempt_starts_again_without_sharding() {
    let arguments = format!("--fencing {DEPLOY}/fencing.json");
    assert_no_faults(&run(&arguments, &["--troubles=6", "--seed=5"]).await);
}
