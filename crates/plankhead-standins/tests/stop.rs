//! Processes under load are ended in a bounded time, whatever they do with an interrupt.

#![allow(clippy::unwrap_used)]

use plankhead_standins::nodes::RunningNodes;
use std::io::Read;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Starts a shell that says when it is set up, and waits for that. It does not ignore the
/// interrupt by itself: where this test runs in the background, its children would, and a shell
/// can't trap what it was started to ignore.
fn start(script: &str) -> Child {
    let shell = ["--default-signal=INT", "sh", "-c", script];
    let mut child = Command::new("env").args(shell).stdout(Stdio::piped()).spawn().unwrap();
    child.stdout.as_mut().unwrap().read_exact(&mut [0]).unwrap();
    child
}

/// A script that runs in the background starts its children with the interrupt ignored:
/// `.ci/run` stood for ever at the end of a test there.
#[test]
fn processes_that_ignore_the_interrupt_are_killed() {
    let start_ignoring = || start("trap '' INT; echo; exec sleep 600");
    let mut running = RunningNodes::new(vec![start_ignoring(), start_ignoring()]);
    let begin = Instant::now();
    running.stop();
    assert_eq!(running.exited(), [0, 1]);
    assert!(begin.elapsed() < Duration::from_secs(10), "{:?}", begin.elapsed());
}

/// A profiler has the time to write what it found.
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
