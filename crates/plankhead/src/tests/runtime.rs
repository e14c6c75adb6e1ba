//! Tests of pending requests and of the timer lag.

use crate::runtime::pending_requests::{PendingRequests, REQUEST_TIMEOUT};
use crate::runtime::timer_lag::TimerLag;
use plankhead_core::protocol::Response;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// A request without a response expires after the timeout. The next deadline is that of the oldest request
/// that still waits, not that of an answered one.
#[test]
fn requests_expire_after_the_timeout() {
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

/// The lag rises at once with a late timer and decays over the next timers that fire on time.
#[test]
fn timer_lag_rises_at_once_and_decays() {
    let due = Instant::now();
    let mut lag = TimerLag::default();
    lag.record(due, due + Duration::from_millis(400));
    assert_eq!(lag.get(), Duration::from_millis(400));
    for _ in 0..3 {
        lag.record(due, due);
    }
    assert!(lag.get() < Duration::from_millis(20), "{:?}", lag.get());
}
