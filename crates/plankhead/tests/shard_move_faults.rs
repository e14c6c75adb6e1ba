//! Real controller processes between which shards of machines move every second and a half,
//! while some are killed and paused: every job reaches exactly one final answer, and no task
//! runs twice.
//!
//! Longer runs are a program of their own: see the README.

#![allow(clippy::unwrap_used)]

mod common;

use common::{command_line, DEPLOY, SMALL_LOAD};
use plankhead_standins::shard_move_faults::{self, ShardMoveFaultArgs};

#[tokio::test]
async fn every_job_reaches_one_final_answer_while_shards_move() {
    let file = std::env::temp_dir().join(format!("plankhead-rotate-{}.json", std::process::id()));
    let sharding = r#"{"enabled": true, "shards_per_zone": 4, "rotate_ms": 1500}"#;
    std::fs::write(&file, sharding).unwrap();
    let arguments = format!("--fencing {DEPLOY}/fencing.json --sharding {}", file.display());
    let args = command_line::<ShardMoveFaultArgs>(
        &arguments,
        &[&SMALL_LOAD[..], &["--troubles=6", "--seed=2"]].concat(),
    );
    let outcome = shard_move_faults::run(&args.load, &args.program).await.unwrap();
    std::fs::remove_file(&file).unwrap();
    assert_eq!(outcome.verdict.faults, Vec::<String>::new(), "{outcome:?}");
    assert_eq!(outcome.verdict.accepted, 60, "{outcome:?}");
    assert!(outcome.moves >= 4, "{outcome:?}");
    assert!(outcome.kills > 0 && outcome.pauses > 0, "{outcome:?}");
}
