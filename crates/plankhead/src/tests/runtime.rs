//! What the event loop keeps for the requests under way, and of its timers.

use crate::runtime::pending_requests::{PendingRequests, REQUEST_TIMEOUT};
use crate::runtime::timer_lag::TimerLag;
use plankhead_core::protocol::Response;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// A request that nobody answers is given up in time, and one that was answered keeps
/// no deadline: the next one is that of the oldest that still waits.
#[test]
fn requests_are_given_up_in_time() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let mut pending = PendingRequests::default();
    let (sender, mut first) = oneshot::channel();
    let answered = pending.add(start, sender);
    let (sender, mut second) = oneshot::channel();
    pending.add(later, sender);
    assert_eq!(pending.expire(start), Some(start + REQUEST_TIMEOUT));
    pending.respond(answered, Response::NotFound);
    assert_eq!(first.try_recv(), Ok(Response::NotFound));
    assert_eq!(pending.expire(start + REQUEST_TIMEOUT), Some(later + REQUEST_TIMEOUT));
    assert_eq!(second.try_recv(), Err(oneshot::error::TryRecvError::Empty));
    assert_eq!(pending.expire(later + REQUEST_TIMEOUT), None);
    assert_eq!(second.try_recv(), Err(oneshot::error::TryRecvError::Closed));
}

/// A peak counts at once and is forgotten within some timers that fire in time.
#[test]
fn a_late_timer_shows_and_is_forgotten() {
    let due = Instant::now();
    let mut lag = TimerLag::default();
    lag.record(due, due + Duration::from_millis(400));
    assert_eq!(lag.get(), Duration::from_millis(400));
    for _ in 0..3 {
        lag.record(due, due);
    }
    assert!(lag.get() < Duration::from_millis(20), "{:?}", lag.get());
}
