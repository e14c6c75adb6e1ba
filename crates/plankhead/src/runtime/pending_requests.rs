//! The requests that wait for a response of the core.

use plankhead_core::protocol::{RequestId, Response};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// The longest time for which a request waits for its response.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// The requests that wait for a response. All have the same timeout, so the oldest expires first and
/// one timer is enough for all of them.
#[derive(Debug, Default)]
pub struct PendingRequests {
    senders: HashMap<RequestId, oneshot::Sender<Response>>,
    deadlines: VecDeque<(Instant, RequestId)>,
    last_id: RequestId,
}

impl PendingRequests {
    /// Adds a request and returns its id.
    pub fn add(&mut self, now: Instant, sender: oneshot::Sender<Response>) -> RequestId {
        self.last_id += 1;
        self.senders.insert(self.last_id, sender);
        self.deadlines.push_back((now + REQUEST_TIMEOUT, self.last_id));
        self.last_id
    }

    /// Sends a response to its request, unless the request has expired.
    pub fn respond(&mut self, request: RequestId, response: Response) {
        if let Some(sender) = self.senders.remove(&request) {
            // Sending fails if the connection of the request has been closed.
            let _ = sender.send(response);
        }
    }

    /// Drops the requests that have expired. Returns the time at which the next one expires.
    pub fn expire(&mut self, now: Instant) -> Option<Instant> {
        while let Some((deadline, request)) = self.deadlines.front() {
            if *deadline > now && self.senders.contains_key(request) {
                return Some(*deadline);
            }
            self.senders.remove(request);
            self.deadlines.pop_front();
        }
        None
    }
}
