//! Real controller processes whose links are cut one by one, in one direction at a time:
//! every job reaches exactly one final answer.
//!
//! Longer runs are a program of their own: see the README.

#![allow(clippy::unwrap_used)]

mod common;

use common::{command_line, DEPLOY, SMALL_LOAD};
use plankhead_standins::answer_history::{check, AttemptEvent, Event, JobAnswer};
use plankhead_standins::link_faults::{self, LinkFaultArgs};
use std::time::{Duration, Instant};

#[tokio::test]
async fn every_job_reaches_one_final_answer() {
    let files = format!("--fencing {DEPLOY}/fencing.json --reachability {DEPLOY}/reachability.json");
    let args = command_line::<LinkFaultArgs>(&files, &[&SMALL_LOAD[..], &["--cuts=6", "--seed=3"]].concat());
    let outcome = link_faults::run(&args.load, &args.program).await.unwrap();
    assert_eq!(outcome.verdict.faults, Vec::<String>::new(), "{outcome:?}");
    assert_eq!(outcome.verdict.accepted, 60, "{outcome:?}");
}

/// The check itself, on histories written by hand.
#[test]
fn the_check_tells_what_is_wrong() {
    let start = Instant::now();
    let told = |job: &str, status| Event::Answered { job: job.into(), tasks: 1, status };
    let ran = |host, run| Event::Attempt { task: "a/0".into(), host, event: run };
    let faults = |happened: &[(u64, Event)]| {
        let history: Vec<_> =
            happened.iter().map(|(at, what)| (start + Duration::from_secs(*at), what.clone())).collect();
        check(&history, Duration::from_secs(10)).faults
    };
    let accepted = (0, told("a", JobAnswer::Accepted));
    let started = (1, ran(1, AttemptEvent::Started));
    let ended = (2, ran(1, AttemptEvent::Done));
    let done = (3, told("a", JobAnswer::Done));
    let cancelled = (3, told("a", JobAnswer::Cancelled));
    let sound = [accepted.clone(), started.clone(), ended.clone(), done.clone()];
    assert_eq!(faults(&sound), Vec::<String>::new());
    assert_eq!(faults(&sound[..3]), ["a has no final answer"]);
    assert_eq!(faults(&[accepted.clone(), done.clone()]), ["a is done with 0 of 1 tasks"]);
    let twice = [accepted.clone(), started.clone(), (2, ran(2, AttemptEvent::Started)), ended, done.clone()];
    assert_eq!(faults(&twice), ["a/0 ran on {1, 2} at a time"]);
    let both = [&sound[..], std::slice::from_ref(&cancelled)].concat();
    assert_eq!(faults(&both), ["a was Done and then Cancelled"]);
    let back = [&sound[..], &[(4, told("a", JobAnswer::Accepted))]].concat();
    assert_eq!(faults(&back), ["a was Done and then Accepted"]);
    let lost = [accepted.clone(), (1, told("a", JobAnswer::NotFound)), cancelled.clone()];
    assert_eq!(faults(&lost), ["a was accepted and then not found"]);
    let on = |at| [accepted.clone(), started.clone(), cancelled.clone(), (at, ran(1, AttemptEvent::Stopped))];
    assert_eq!(faults(&on(12)), Vec::<String>::new());
    assert_eq!(faults(&on(14)), ["a/0 went on past its cancellation"]);
}
