//! The cluster under load that tests with real processes share.

/// The command line of a run with three nodes, twelve machines and sixty jobs, followed by the
/// run's own arguments.
pub fn command_line(node_arguments: &str, own: &[&str]) -> Vec<String> {
    let shared = [
        "test",
        "--binary",
        env!("CARGO_BIN_EXE_plankhead"),
        "--node-arguments",
        node_arguments,
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
    ];
    shared.iter().chain(own).map(|argument| (*argument).to_owned()).collect()
}
