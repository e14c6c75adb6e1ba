//! Helpers for the tests with real controller processes.

// Each test binary uses only some of them.
#![allow(dead_code)]

use clap::Parser;
use plankhead_standins::CommandLine;

/// The directory with the deployed settings files.
pub const DEPLOY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy");

/// A load of 60 short jobs on 3 nodes and 12 machines. A fifth of the jobs is cancelled.
pub const SMALL_LOAD: [&str; 13] = [
    "--nodes=3",
    "--machines=12",
    "--jobs=60",
    "--initial=6",
    "--jobs-per-s=3",
    "--run-s=2",
    "--tasks=3",
    "--cancelled=0.2",
    "--boot-s=0.5",
    "--report-s=0.5",
    "--lease-s=6",
    "--cancel-s=18",
    "--longest-s=3",
];

/// Returns the parsed command line of a fault program of the stand-ins, which starts nodes of the program
/// under test with `node_arguments`.
pub fn command_line<A: clap::Args>(node_arguments: &str, arguments: &[&str]) -> CommandLine<A> {
    let binary = env!("CARGO_BIN_EXE_plankhead");
    let fixed = ["test", "--binary", binary, "--node-arguments", node_arguments];
    CommandLine::parse_from([&fixed, arguments].concat())
}
