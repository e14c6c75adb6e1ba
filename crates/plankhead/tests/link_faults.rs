//! Runs real controller processes while their links are cut one by one, each in one direction. Every job must
//! get exactly one final status.
//!
//! For longer runs there is a separate program: see the README.

#![allow(clippy::unwrap_used)]

mod common;

use common::{command_line, DEPLOY, SMALL_LOAD};
use plankhead_standins::answer_history::{check, AttemptEvent, Event, JobAnswer};
use plankhead_standins::link_faults::{self, LinkFaultArgs};
use std::time::{Duration, Instant};

#[tokio::test]
async fn every_job_gets_one_final_status_despite_link_faults() {
    let files = format!("--fencing {DEPLOY}/fencing.json --reachability {DEPLOY}/reachability.json");
    let args = command_line::<LinkFaultArgs>(&files, &[&SMALL_LOAD[..], &["--cuts=6", "--seed=3"]].concat());
    let outcome = link_faults::run(&args.load, &args.program).await.unwrap();
    assert_eq!(outcome.verdict.faults, Vec::<String>::new(), "{outcome:?}");
    assert_eq!(outcome.verdict.accepted, 60, "{outcome:?}");
}

/// Tests the check of histories itself, on histories written by hand.
#[test]
fn history_check_reports_each_violation() {
    let start = Instant::now();
    let answered = |job: &str, status| Event::Answered { job: job.into(), tasks: 1, status };
    let attempt = |host, run| Event::Attempt { task: "a/0".into(), host, event: run };
    let faults = |events: &[(u64, Event)]| {
        let history: Vec<_> =
            events.iter().map(|(at, event)| (start + Duration::from_secs(*at), event.clone())).collect();
        check(&history, Duration::from_secs(10)).faults
    };
    let accepted = (0, answered("a", JobAnswer::Accepted));
    let started = (1, attempt(1, AttemptEvent::Started));
    let ended = (2, attempt(1, AttemptEvent::Done));
    let done = (3, answered("a", JobAnswer::Done));
    let cancelled = (3, answered("a", JobAnswer::Cancelled));
    let valid = [accepted.clone(), started.clone(), ended.clone(), done.clone()];
    assert_eq!(faults(&valid), Vec::<String>::new());
    assert_eq!(faults(&valid[..3]), ["a has no final answer"]);
    assert_eq!(faults(&[accepted.clone(), done.clone()]), ["a is done with 0 of 1 tasks"]);
    let concurrent =
        [accepted.clone(), started.clone(), (2, attempt(2, AttemptEvent::Started)), ended, done.clone()];
    assert_eq!(faults(&concurrent), ["a/0 ran on {1, 2} at a time"]);
    let two_final = [&valid[..], std::slice::from_ref(&cancelled)].concat();
    assert_eq!(faults(&two_final), ["a was Done and then Cancelled"]);
    let regressed = [&valid[..], &[(4, answered("a", JobAnswer::Accepted))]].concat();
    assert_eq!(faults(&regressed), ["a was Done and then Accepted"]);
    let lost = [accepted.clone(), (1, answered("a", JobAnswer::NotFound)), cancelled.clone()];
    assert_eq!(faults(&lost), ["a was accepted and then not found"]);
    let stopped_at =
        |at| [accepted.clone(), started.clone(), cancelled.clone(), (at, attempt(1, AttemptEvent::Stopped))];
    assert_eq!(faults(&stopped_at(12)), Vec::<String>::new());
    assert_eq!(faults(&stopped_at(14)), ["a/0 went on past its cancellation"]);
}
