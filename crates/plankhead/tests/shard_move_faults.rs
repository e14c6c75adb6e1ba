//! Runs real controller processes, some of which are killed and paused, while shards of machines move between
//! them every 1.5 s. Every job must get exactly one final status, and no task may run on two machines at the
//! same time.
//!
//! For longer runs there is a separate program: see the README.

#![allow(clippy::unwrap_used)]

mod common;

use common::{command_line, DEPLOY, SMALL_LOAD};
use plankhead_standins::shard_move_faults::{self, ShardMoveFaultArgs};

#[tokio::test]
async fn every_job_gets_one_final_status_while_shards_move() {
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
