//! The types with which the production version before gangs reads the values of the state
//! service, copied unchanged. Before a later upgrade, they are replaced by those of the version that
//! precedes it.

use serde::Deserialize;
use serde_json::Value;

/// Copied unchanged from the version of 2026-12-02, whose readers ignore unknown fields.
#[derive(Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    Live,
    Done,
    Cancelled,
}

#[derive(Debug, Deserialize, PartialEq)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub ram: f64,
}

#[derive(Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    Idle,
    Standard,
    Urgent,
    Critical,
}

#[derive(Debug, Deserialize)]
pub struct JobSpec {
    pub class: String,
    pub team: String,
    pub urgency: Urgency,
    pub tasks: u32,
    pub each: Resources,
    pub image: String,
    pub image_gb: f64,
    pub rigs: Option<Vec<String>>,
    pub zone: Option<String>,
    pub one_zone: bool,
    pub scatter: bool,
    pub spot: bool,
    pub estimate: f64,
    pub checkpoint: f64,
    pub save: f64,
    pub due: Option<f64>,
}

#[derive(Debug, Deserialize)]
pub struct JobRecord {
    pub phase: Phase,
    #[serde(default)]
    pub spec: Option<JobSpec>,
    #[serde(default)]
    pub tasks: u32,
    #[serde(default)]
    pub per_chunk: u32,
    #[serde(default)]
    pub accepted_ms: u64,
    #[serde(default)]
    pub cancelled_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
pub struct ChunkText {
    pub h: Vec<(String, u64, String)>,
    pub t: Vec<(u32, u64, i32)>,
    pub d: Vec<(u32, u32)>,
}

#[derive(Debug, Deserialize)]
pub struct Holder {
    pub host: String,
    pub boot: u64,
    pub hold: u64,
}

#[derive(Debug, Deserialize)]
pub struct Target {
    pub round: u64,
    pub at_ms: u64,
    pub rigs: std::collections::BTreeMap<String, Size>,
}

#[derive(Debug, Deserialize)]
pub struct Size {
    pub machines: u32,
    pub ordinary: u32,
}

/// Returns whether that version reads the value correctly or never reads the key.
pub fn reads(key: &str, value: &str) -> bool {
    let (kind, rest) = key.split_once('/').unwrap_or((key, ""));
    match kind {
        "job" | "over" => {
            // That version would run a gang as an array of independent tasks.
            let gang = serde_json::from_str::<Value>(value).is_ok_and(|v| v["spec"]["gang"] == true);
            let live = |r: &JobRecord| r.phase != Phase::Live || r.spec.is_some() && r.per_chunk > 0;
            !gang && serde_json::from_str::<JobRecord>(value).is_ok_and(|r| live(&r))
        }
        "run" => {
            let number = rest.split_once('/').is_some_and(|(_, n)| n.parse::<u32>().is_ok());
            number && serde_json::from_str::<ChunkText>(value).is_ok()
        }
        "target" => serde_json::from_str::<Target>(value).is_ok(),
        "lead" => serde_json::from_str::<Holder>(value).is_ok(),
        // That version lists `job/` and `run/`, watches `job/` and `lead`, and reads other keys only by
        // their full names.
        "node" | "duty" | "machines" | "shard" => true,
        _ => false,
    }
}
