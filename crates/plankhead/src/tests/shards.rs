//! Tests of the sharding settings file, the messages about shards, and the table of `plankhead shards`.

use crate::peer_messages::shards::{decode, encode, MAX_MESSAGE};
use crate::settings::sharding::ShardingFile;
use crate::subcommands::shards::Shards;
use crate::tests::{assert_schema_is_current, compare_with_fixture, parse_file};
use plankhead_core::jobs::job::JobId;
use plankhead_core::protocol::{ExitReason, Heartbeat, ReportedTask, TaskId, TaskStatus, WorkerCommand};
use plankhead_core::shards::messages::{
    HolderStatus, LeaderCommands, MachineCommands, MachineUpdate, ShardHolding, ShardMessage,
    ShardMessageError,
};
use plankhead_sharding::sequence::MessageStamp;
use plankhead_sharding::shard::ShardId;
use serde_json::{json, Value};
use std::time::Duration;

#[test]
fn sharding_schema_is_current() {
    assert_schema_is_current::<ShardingFile>("sharding.schema.json");
}

#[test]
fn every_fault_of_the_sharding_file_is_reported() {
    let faults = |value: Value| parse_file::<ShardingFile>(&value).1;
    assert_eq!(faults(json!({})), Vec::<String>::new());
    let deployed = include_str!("../../../../deploy/sharding.json");
    assert_eq!(faults(serde_json::from_str(deployed).unwrap()), Vec::<String>::new());
    let bad = faults(json!({"enabled": 1, "shards_per_zone": 65, "drained": ["a", 2], "shards": 1}));
    assert_eq!(bad.len(), 4, "{bad:?}");
    for part in ["/enabled", "/shards_per_zone", "/drained/1", "shards"] {
        assert!(bad.iter().any(|fault| fault.contains(part)), "{part} in {bad:?}");
    }
}

fn task(index: u32) -> TaskId {
    TaskId { job: JobId::parse("job-000412").unwrap(), index }
}

fn heartbeat(machine: u32, tasks: u32) -> Heartbeat {
    let statuses = [
        TaskStatus::Running,
        TaskStatus::Exited(ExitReason::Completed),
        TaskStatus::FetchingImage,
        TaskStatus::Exited(ExitReason::Unrecognized),
    ];
    let reported_task =
        |n: u32| ReportedTask { task: task(n), attempt: u64::from(n), status: statuses[n as usize % 4] };
    Heartbeat {
        machine: format!("i-{machine:06}").as_str().into(),
        address: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        incarnation: 3,
        sequence: 88,
        token: 41,
        preemption_notice: Some(Duration::from_secs(30)),
        tasks: (0..tasks).map(reported_task).collect(),
    }
}

fn holder_status(machines: u32) -> ShardMessage {
    let update = |n: u32| MachineUpdate {
        number: n,
        heartbeat: heartbeat(n, 16),
        confirmed: n & 1 == 0,
        ignores_commands: n == 3,
        unanswered_commands: n,
        age: Duration::from_millis(70),
    };
    ShardMessage::HolderStatus(Box::new(HolderStatus {
        host: "plank-1".into(),
        stamp: MessageStamp { boot: 5, sequence: 9 },
        zone: "a".into(),
        term: 40,
        sees_records: true,
        shards: vec![ShardHolding {
            shard: ShardId { zone: "a".into(), index: 1 },
            epoch: 44,
            released: true,
        }],
        stream: 2,
        first: true,
        updates: (0..machines).map(update).collect(),
        alive: (0..50).collect(),
        alive_age: Duration::from_millis(480),
    }))
}

fn leader_commands() -> LeaderCommands {
    let (run, acknowledge) = (
        WorkerCommand::Run { task: task(4), attempt: 2 },
        WorkerCommand::Acknowledge { task: task(0), attempt: 1 },
    );
    let kill = WorkerCommand::Kill { task: task(1), attempt: 1, grace: Duration::from_secs(10) };
    LeaderCommands {
        host: "plank-0".into(),
        stamp: MessageStamp { boot: 6, sequence: 10 },
        acknowledged: 9,
        token: 40,
        shards: vec![(ShardId { zone: "a".into(), index: 1 }, 44)],
        latest_epoch: 45,
        machines: vec![MachineCommands {
            machine: "i-000231".into(),
            shard: 0,
            incarnation: 3,
            commands: vec![run, kill, acknowledge],
        }],
        removed: vec!["i-000007".into()],
        snapshot: vec![heartbeat(1, 3)],
    }
}

#[test]
fn messages_survive_encoding_and_large_ones_are_compressed() {
    for message in
        [holder_status(1), holder_status(200), ShardMessage::LeaderCommands(Box::new(leader_commands()))]
    {
        assert_eq!(decode(&encode(&message).unwrap()).unwrap(), message);
    }
    // Large messages are compressed: this one has 200 machines with 16 tasks each.
    let bytes = encode(&holder_status(200)).unwrap().len();
    assert!(bytes < 60_000, "{bytes} bytes");
}

/// The encodings must match the bytes recorded from version 749ebcd, since versions run side by side.
#[test]
fn message_encodings_are_unchanged() {
    let commands = ShardMessage::LeaderCommands(Box::new(leader_commands()));
    compare_with_fixture("holder-report.bin", &encode(&holder_status(1)).unwrap());
    compare_with_fixture("holder-report-compressed.bin", &encode(&holder_status(8)).unwrap());
    compare_with_fixture("leader-orders.bin", &encode(&commands).unwrap());
    assert_eq!(decode(include_bytes!("../../tests/fixtures/leader-orders.bin")).unwrap(), commands);
    let compressed = include_bytes!("../../tests/fixtures/holder-report-compressed.bin");
    assert_eq!(decode(compressed).unwrap(), holder_status(8));
}

#[test]
fn malformed_messages_are_rejected_with_their_reason() {
    let good = encode(&holder_status(200)).unwrap();
    let malformed = |bytes: &[u8]| matches!(decode(bytes), Err(ShardMessageError::Malformed(_)));
    assert!(malformed(&[]) && malformed(&[7]) && malformed(&[0]) && malformed(&[1, 2]));
    assert!(malformed(&good[..good.len() / 2]), "cut off");
    assert_eq!(decode(&vec![0; MAX_MESSAGE + 1]), Err(ShardMessageError::TooLarge));
    let huge_size = [&[1u8][..], &u32::MAX.to_le_bytes(), &[0; 64]].concat();
    assert_eq!(
        decode(&huge_size),
        Err(ShardMessageError::TooLarge),
        "the size must be checked before decompression"
    );
    // A message with a changed byte is decoded or rejected, without a panic.
    let small = encode(&ShardMessage::LeaderCommands(Box::new(leader_commands()))).unwrap();
    for at in 0..small.len() {
        let mut bytes = small.clone();
        bytes[at] ^= 0x55;
        let _ = decode(&bytes);
    }
    let assert_out_of_range = |change: &dyn Fn(&mut LeaderCommands)| {
        let mut commands = leader_commands();
        change(&mut commands);
        let bytes = encode(&ShardMessage::LeaderCommands(Box::new(commands))).unwrap();
        assert!(matches!(decode(&bytes), Err(ShardMessageError::Range(_))), "{:?}", decode(&bytes));
    };
    assert_out_of_range(&|commands| commands.machines[0].shard = 1);
    assert_out_of_range(&|commands| commands.machines[0].machine = "".into());
    assert_out_of_range(&|commands| commands.host = "x".repeat(201));
    assert_out_of_range(&|commands| commands.shards[0].0.index = 64);
    assert_out_of_range(&|commands| commands.machines = vec![commands.machines[0].clone(); 401]);
}

/// The table must list every disagreement between the records and the controllers' views.
#[test]
fn disagreements_about_shards_are_reported() {
    let record =
        |holder: &str| json!({"format": 1, "holder": holder, "boot": 1, "term": 3, "shards": 4}).to_string();
    let mut shards = Shards::default();
    for (index, holder) in ["plank-0", "plank-1", "plank-1", "plank-2"].iter().enumerate() {
        shards.table.insert(&format!("shard/a/{index}"), &record(holder), 10).unwrap();
    }
    let row = |index: u32, epoch: u64| json!({"shard": format!("a/{index}"), "epoch": epoch, "machines": 5, "acts": true});
    let led =
        json!({"shard": "a/0", "epoch": 10, "machines": 7, "holder": "plank-0", "waitsFor": "its record"});
    shards.add_view("plank-0", Some(&json!({"leader": {"sharding": {"shards": [led]}}})));
    let held = json!({"holder": {"shards": [row(1, 10), row(2, 9), row(3, 8)]}});
    shards.add_view("plank-1", Some(&json!({"leader": null, "sharding": held})));
    shards.add_view("plank-2", None);
    let found = shards.disagreements();
    let expected = [
        "a/2: plank-1 holds it under epoch 9, its record has epoch 10",
        "a/3: its record names plank-2, which does not answer",
        "a/3: plank-1 acts for it under epoch 8, its record names plank-2",
    ];
    assert_eq!(found, expected);
    let printed = shards.format_table();
    assert!(printed.contains("leader: plank-0") && printed.contains("waits for its record"), "{printed}");
}
