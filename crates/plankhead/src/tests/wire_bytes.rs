//! Compares the messages of the published protocol, and the error texts in replies to users and workers, with
//! those of version 205f9e2, byte for byte.

use crate::wire::cloud::{encode_release, encode_rental};
use crate::wire::responses::encode_response;
use crate::wire::state_service::{encode_lease_request, encode_txn};
use crate::wire::users::parse_submission;
use crate::wire::workers::{encode_commands, parse_heartbeat};
use plankhead_core::jobs::job::JobId;
use plankhead_core::protocol::{Condition, JobStatus, KvChange, Response, TaskId, WorkerCommand};
use plankhead_fencing::action::{InstanceReturn, Rental, ReturnReason};
use std::time::Duration;

fn text(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes).unwrap()
}

fn commands() -> Vec<WorkerCommand> {
    let task = TaskId { job: JobId::parse("job-1").unwrap(), index: 3 };
    vec![
        WorkerCommand::Run { task: task.clone(), attempt: 2 },
        WorkerCommand::Kill { task: task.clone(), attempt: 1, grace: Duration::from_millis(2500) },
        WorkerCommand::Acknowledge { task, attempt: 1 },
    ]
}

#[test]
fn command_encodings_are_unchanged() {
    let list = r#"[{"verb":"run","piece":"job-1/3","try":2},{"verb":"kill","piece":"job-1/3","try":1,"leewayS":2.5},{"verb":"reap","piece":"job-1/3","try":1}]"#;
    let direct = text(encode_commands(41, 7, &commands()));
    assert_eq!(direct, format!(r#"{{"baton":41,"shift":7,"orders":{list}}}"#));
    let response = encode_response(&Response::Commands { token: 41, commands: commands() });
    assert_eq!(text(response.body), format!(r#"{{"baton":41,"orders":{list}}}"#));
}

#[test]
fn response_encodings_are_unchanged() {
    let id = JobId::parse("job-1").unwrap();
    let job = Response::Job { created: true, id, status: JobStatus::Running, done: 2, running: 3 };
    let retry = Duration::from_secs(2);
    let expected = [
        (job, 201, None, r#"{"nameId":"job-1","status":"running","done":2,"running":3}"#),
        (Response::Redirect { host: Some("plank-1".into()) }, 421, None, r#"{"foreman":"plank-1"}"#),
        (Response::Redirect { host: None }, 421, None, "{}"),
        (Response::NotFound, 404, None, r#"{"error":"no such job"}"#),
        (Response::Unavailable { retry_after: retry }, 503, Some(retry), r#"{"error":"try again later"}"#),
    ];
    for (response, status, retry, body) in expected {
        let reply = encode_response(&response);
        assert_eq!((reply.status, reply.retry_after, text(reply.body).as_str()), (status, retry, body));
    }
}

#[test]
fn cloud_request_encodings_are_unchanged() {
    let rental =
        Rental { name: "r-1".into(), machine_type: "g8".into(), zone: "a".into(), spot: true, count: 7 };
    let expected = r#"{"hire":"r-1","loaners":true,"number":7,"rig":"g8","yard":"a"}"#;
    assert_eq!(text(encode_rental(&rental)), expected);
    let release =
        InstanceReturn { machines: vec!["i-1".into(), "i-2".into()], reason: ReturnReason::Surplus };
    assert_eq!(text(encode_release(&release)), r#"{"hosts":["i-1","i-2"]}"#);
}

#[test]
fn state_service_request_encodings_are_unchanged() {
    let changes = [
        KvChange::Put { key: "a/b".into(), value: r#"{"y":1.50, "x":1}"#.into(), lease: Some(7) },
        KvChange::Put { key: "a/c".into(), value: "3".into(), lease: None },
        KvChange::Delete { key: "c/d".into() },
    ];
    let txn = encode_txn(&[Condition { key: "k".into(), mod_revision: 9 }], &changes).unwrap();
    let expected = r#"{"if":[{"k":"k","stamp":9}],"apply":[{"write":"a/b","value":{"y":1.50, "x":1},"hold":7},{"write":"a/c","value":3},{"drop":"c/d"}]}"#;
    assert_eq!(text(txn), expected);
    let invalid_json = [KvChange::Put { key: "a".into(), value: "{".into(), lease: None }];
    assert_eq!(encode_txn(&[], &invalid_json), None);
    assert_eq!(text(encode_lease_request(Duration::from_millis(3500))), r#"{"lifeMs":3500}"#);
}

#[test]
fn heartbeat_error_texts_are_unchanged() {
    let with = |change: &str| {
        let fields = [
            r#""host":"a""#,
            r#""address":"b""#,
            r#""rig":"c""#,
            r#""yard":"d""#,
            r#""loaners":true"#,
            r#""shift":1"#,
            r#""tick":1"#,
            r#""baton":1"#,
            r#""warningS":null"#,
            r#""pieces":[]"#,
        ];
        let name = change.split_once(':').unwrap().0;
        let fields = fields.map(|field| if field.starts_with(name) { change } else { field });
        format!("{{{}}}", fields.join(","))
    };
    let cases = [
        ("[]".to_owned(), "invalid length 0, expected struct Beat with 10 elements at line 1 column 2"),
        ("7".into(), "invalid type: integer `7`, expected struct Beat at line 1 column 1"),
        ("{}".into(), "missing field `host` at line 1 column 2"),
        ("x".into(), "expected value at line 1 column 1"),
        (with(r#""pieces":[7]"#), "invalid type: integer `7`, expected struct Piece at line 1 column 118"),
        (
            with(r#""pieces":[[]]"#),
            "invalid length 0, expected struct Piece with 4 elements at line 1 column 119",
        ),
        (with(r#""pieces":[{"piece":"job-1","try":1,"status":"running"}]"#), "a task without a number"),
        (
            with(r#""pieces":[{"piece":"job-1/x","try":1,"status":"running"}]"#),
            "a task with a strange number",
        ),
        (
            with(r#""pieces":[{"piece":"j/1","try":1,"status":"running"}]"#),
            "nameId must be job- followed by letters, digits, '-', '_' or '.'",
        ),
        (with(r#""pieces":[{"piece":"job-1/1","try":1,"status":"ended"}]"#), "an ended task without a cause"),
        (with(r#""host":"a b""#), "a strange host name"),
        (with(r#""warningS":1e300"#), "warningS is out of range"),
        (with(r#""tick":"x""#), r#"invalid type: string "x", expected u64 at line 1 column 3"#),
    ];
    for (body, expected) in cases {
        assert_eq!(parse_heartbeat(body.as_bytes()).unwrap_err().to_string(), expected, "{body}");
    }
}

#[test]
fn submission_error_texts_are_unchanged() {
    let text = |body: &str| match parse_submission(body.as_bytes()) {
        Err(error) => error.to_string(),
        Ok(submission) => format!("job: {}", submission.job.unwrap_err()),
    };
    assert_eq!(text("x"), "not JSON: expected value at line 1 column 1");
    assert_eq!(text("[]"), "not an object");
    assert_eq!(text("{}"), "nameId is missing or no text");
    let invalid_id = "nameId must be job- followed by letters, digits, '-', '_' or '.'";
    assert_eq!(text(r#"{"nameId":"t"}"#), invalid_id);
    let job = |fields: &str| text(&format!(r#"{{"nameId":"job-1"{fields}}}"#));
    assert_eq!(job(""), "job: missing field `lane`");
    let ring = r#","lane":"c","crew":"t","shape":"ring""#;
    assert_eq!(job(ring), "job: unknown variant `ring`, expected `array` or `group`");
    let seven = r#","lane":"c","crew":"t","shape":7"#;
    assert_eq!(job(seven), "job: invalid type: integer `7`, expected string or map");
    let urgency = r#","lane":"c","crew":"t","shape":"array","urgency":{"a":1,"b":2}"#;
    assert_eq!(job(urgency), "job: invalid value: map, expected map with a single key");
    let pieces = r#","lane":"c","crew":"t","shape":"array","urgency":"idle","pieces":"x""#;
    assert_eq!(job(pieces), r#"job: invalid type: string "x", expected u32"#);
    let rest = r#","lane":"c","crew":"t","shape":"array","urgency":"idle","pieces":1"#;
    assert_eq!(job(rest), "job: missing field `cpus`");
}
