//! Requests that wait for a response.

use plankhead_core::protocol::{RequestId, Response};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// No request waits longer for its response than this.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// Requests that wait for a response, each for the same time: the oldest is due first, so
/// that none needs a timer of its own.
#[derive(Debug, Default)]
pub struct PendingRequests {
    senders: HashMap<RequestId, oneshot::Sender<Response>>,
    deadlines: VecDeque<(Instant, RequestId)>,
    last_id: RequestId,
}

impl PendingRequests {
    /// Adds a request, and returns its id.
    pub fn add(&mut self, now: Instant, sender: oneshot::Sender<Response>) -> RequestId {
        self.last_id += 1;
        self.senders.insert(self.last_id, sender);
        self.deadlines.push_back((now + REQUEST_TIMEOUT, self.last_id));
        self.last_id
    }

    /// Hands a response to its request, unless that was given up.
    pub fn respond(&mut self, request: RequestId, response: Response) {
        if let Some(sender) = self.senders.remove(&request) {
            // The connection that waits may be closed by now.
            let _ = sender.send(response);
        }
    }

    /// Gives up the requests whose time is over, and returns when the next one's is.
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
