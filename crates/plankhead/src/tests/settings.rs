//! Tests of the platform's settings file and of the operators' files for sizing and fencing.

use crate::settings::fencing::FencingFile;
use crate::settings::operator::OperatorFile;
use crate::settings::platform::parse;
use crate::tests::{assert_schema_is_current, parse_file};
use serde_json::{json, Value};

#[test]
fn operator_schema_is_current() {
    assert_schema_is_current::<OperatorFile>("operator.schema.json");
}

fn operator_faults(value: Value) -> usize {
    parse_file::<OperatorFile>(&value).1.len()
}

#[test]
fn operator_settings_are_checked() {
    assert_eq!(operator_faults(json!({})), 0);
    assert_eq!(operator_faults(json!({"sizing": {"threshold": 2.5, "capacity": 40}})), 0);
    assert_eq!(operator_faults(json!({"sizing": {"threshold": 0.5}})), 1);
    assert_eq!(operator_faults(json!({"sizes": {}})), 1);
    assert_eq!(operator_faults(json!({"sizing": {"interval_s": "75", "capacity": 0}})), 2);
}

/// Returns a valid platform file, with a field that this version does not know.
pub fn platform_file() -> Value {
    json!({
        "host_name": "plank-0", "location": "a",
        "api_addr": "127.0.0.1:0", "peer_bind": "127.0.0.1:0",
        "siblings": [{"host_name": "plank-1", "location": "b", "address": "127.0.0.1:9"}],
        "endpoints": {"cloud": "127.0.0.1:8", "state": "127.0.0.1:7"},
        "params": {
            "nodes": 2, "zones": ["a", "b"],
            "teams": [{"name": "t", "cpus": 32.0, "cpus_max": 96.0, "gpus": 0.0, "gpus_max": 0.0}],
            "objectives": [{"kind": "wait", "class": "c", "within_s": 8.0, "share": 0.9},
                           {"kind": "guarantee", "within_s": 8.0, "share": 0.9}],
            "workers": {"report_s": 1.0, "lease_s": 11.0, "cancel_s": 36.0},
            "state": {"rps": 250.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 3.0, "list_lag_s": 3.0},
            "quota": {"cpu": 0.064, "ram_mb": 56.0, "sockets": 600},
            "clock_off_ms": 100.0
        },
        "a_field_of_tomorrow": 1
    })
}

#[test]
fn every_fault_of_the_platform_file_is_reported() {
    let faults = |platform: &Value| {
        let mut faults = Vec::new();
        parse(platform, &OperatorFile::default(), &mut faults);
        faults.iter().map(ToString::to_string).collect::<Vec<String>>()
    };
    assert_eq!(faults(&platform_file()), Vec::<String>::new());

    let mut bad = platform_file();
    bad["api_addr"] = json!("nowhere");
    bad["params"]["workers"]["lease_s"] = json!(-1);
    bad["params"]["teams"][0]["cpus"] = json!("many");
    bad["siblings"][0].as_object_mut().unwrap().remove("address");
    let faults = faults(&bad);
    assert_eq!(faults.len(), 4, "{faults:?}");
    for part in ["api_addr", "lease_s", "params.teams[0].cpus", "siblings[0].address"] {
        assert!(faults.iter().any(|f| f.contains(part)), "{part} in {faults:?}");
    }
}

#[test]
fn fencing_schema_is_current() {
    assert_schema_is_current::<FencingFile>("fencing.schema.json");
}

#[test]
fn every_fault_of_the_fencing_file_is_reported() {
    let faults = |value: Value| parse_file::<FencingFile>(&value).1;
    assert_eq!(faults(json!({})), Vec::<String>::new());
    let deployed = include_str!("../../../../deploy/fencing.json");
    assert_eq!(faults(serde_json::from_str(deployed).unwrap()), Vec::<String>::new());
    let bad = faults(json!({"enabled": "yes", "write_pause_ms": -1, "tidy_pause_s": 0, "fence": 1}));
    assert_eq!(bad.len(), 4, "{bad:?}");
    for part in ["/enabled", "/write_pause_ms", "/tidy_pause_s", "fence"] {
        assert!(bad.iter().any(|fault| fault.contains(part)), "{part} in {bad:?}");
    }
}
