//! Processes under load are stopped in a bounded time, however they handle an interrupt.

#![allow(clippy::unwrap_used)]

use plankhead_standins::nodes::RunningNodes;
use std::io::Read;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Starts a shell, and waits until its script prints a line to say that its trap is set. The shell
/// starts with the default handling of the interrupt: if this test runs in the background, its
/// children inherit an ignored interrupt, and a shell cannot trap a signal that was ignored when it
/// started.
fn start(script: &str) -> Child {
    let shell = ["--default-signal=INT", "sh", "-c", script];
    let mut child = Command::new("env").args(shell).stdout(Stdio::piped()).spawn().unwrap();
    child.stdout.as_mut().unwrap().read_exact(&mut [0]).unwrap();
    child
}

/// A script that runs in the background starts its children with the interrupt ignored. Before
/// such processes were killed, `.ci/run` hung forever at the end of a test.
#[test]
fn processes_that_ignore_the_interrupt_are_killed() {
    let start_ignoring = || start("trap '' INT; echo; exec sleep 600");
    let mut running = RunningNodes::new(vec![start_ignoring(), start_ignoring()]);
    let begin = Instant::now();
    running.stop();
    assert_eq!(running.exited(), [0, 1]);
    assert!(begin.elapsed() < Duration::from_secs(10), "{:?}", begin.elapsed());
}

/// A profiler has time to write its results after the interrupt.
#[test]
fn processes_that_end_on_the_interrupt_are_waited_for() {
    let directory = std::env::temp_dir().join(format!("plankhead-stop-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let (file, wait) = (directory.join("figures"), "while :; do sleep 0.05; done");
    let script = format!("trap 'sleep 0.3; echo 1 > {}; exit 0' INT; echo; {wait}", file.display());
    let mut running = RunningNodes::new(vec![start(&script)]);
    running.stop();
    assert_eq!(std::fs::read_to_string(&file).unwrap(), "1\n");
    std::fs::remove_dir_all(&directory).unwrap();
}
