//! Pauses real controller processes while a call to the cloud is in progress. Without fencing, the cloud then
//! carries out requests of a former leader that the new leader does not know of (stale effects). With fencing
//! there must be none.
//!
//! For a thousand pauses there is a separate program: see the README.

#![allow(clippy::unwrap_used)]

mod common;

use common::{command_line, DEPLOY};
use plankhead_standins::cloud::{Effect, Subject};
use plankhead_standins::kv_store::KeyChange;
use plankhead_standins::process_pauses::{self, Outcome, PauseArgs};
use plankhead_standins::stale_effects;
use serde_json::{json, Value};
use std::time::Instant;

/// Pauses the leader for longer than its lease of 1.5 s after it has sent a request to the cloud, which the
/// cloud carries out 2 to 3 s later.
async fn run_with_pauses(node_arguments: &str) -> Outcome {
    let arguments = [
        "--nodes=3",
        "--machines=20",
        "--jobs-per-s=4",
        "--idle-s=5",
        "--run-s=1",
        "--tasks=4",
        "--cpus=8",
        "--boot-s=0.5",
        "--report-s=0.5",
        "--cloud-delay-least-s=2",
        "--cloud-delay-s=3",
        "--pauses=2",
        "--shortest-s=4",
        "--longest-s=5",
        "--instants=cloud-called",
    ];
    let args = command_line::<PauseArgs>(node_arguments, &arguments);
    process_pauses::run(&args.load, &args.program).await.unwrap()
}

#[tokio::test]
async fn fencing_prevents_stale_effects_of_paused_processes() {
    let fencing = format!("--fencing {DEPLOY}/fencing.json");
    let (fenced, unfenced) = tokio::join!(run_with_pauses(&fencing), run_with_pauses(""));
    assert_eq!(fenced.effect_counts.stale, 0, "{fenced:?}");
    assert!(fenced.effect_counts.effects > 0 && fenced.intent_changes > 0, "{fenced:?}");
    assert!(unfenced.effect_counts.stale > 0, "no stale effects without fencing: {unfenced:?}");
    assert_eq!(unfenced.intent_changes, 0, "{unfenced:?}");
}

/// Tests the check for stale effects itself, on histories written by hand.
#[test]
fn stale_effect_check_finds_stale_effects() {
    let written = |revision, key: &str, value: Option<Value>| KeyChange {
        revision,
        key: key.into(),
        value,
        at: Instant::now(),
    };
    let effect = |sender: &str, subject, revision| Effect {
        sender: sender.into(),
        subject,
        revision,
        at: Instant::now(),
    };
    let lease = |host: &str| Some(json!({"host": host, "boot": 1, "hold": 1}));
    let record = json!({"format": 1, "duties": [{"kind": "rent", "name": "r-1"}, {"kind": "return", "hosts": ["i-2"]}]});
    let late = json!({"format": 1, "duties": [{"kind": "rent", "name": "r-6"}]});
    let history = [
        written(1, "lead", lease("plank-0")),
        written(2, "duty/1/0", Some(record)),
        written(3, "lead", None),
        written(4, "lead", lease("plank-1")),
        written(5, "duty/1/0", None),
        written(6, "duty/1/0", Some(late)),
    ];
    let rental = |name: &str| Subject::Rental(name.into());
    let machine = |name: &str| Subject::Machine(name.into());
    let count = |effects: &[Effect]| {
        let found = stale_effects::check(&history, effects);
        (found.by_former_leaders, found.stale)
    };
    assert_eq!(count(&[effect("plank-0", rental("r-9"), 1)]), (0, 0), "from the holder of the lease");
    assert_eq!(count(&[effect("plank-1", rental("r-9"), 1)]), (1, 1), "not from the holder of the lease");
    assert_eq!(count(&[effect("plank-0", rental("r-1"), 3)]), (1, 0), "recorded as an intent");
    assert_eq!(
        count(&[effect("plank-0", machine("i-2"), 4)]),
        (1, 0),
        "recorded, carried out under the next leader"
    );
    assert_eq!(count(&[effect("plank-0", machine("r-1"), 4)]), (1, 1), "recorded as something else");
    assert_eq!(count(&[effect("plank-0", rental("i-2"), 4)]), (1, 1), "recorded as something else");
    assert_eq!(count(&[effect("plank-0", machine("i-2"), 5)]), (1, 1), "its record has been removed");
    assert_eq!(count(&[effect("plank-0", rental("r-6"), 6)]), (1, 1), "recorded after the lease had ended");
    assert_eq!(count(&[effect("plank-1", machine("i-3"), 5)]), (0, 0), "from the next holder of the lease");
}
