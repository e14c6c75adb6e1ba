//! The cloud's inventory of instances, and whether the cloud is reachable.

use super::Leader;
use crate::calls::{CallPurpose, LeaderCall};
use crate::effects::EffectSink;
use crate::protocol::{CallError, CloudReply, CloudRequest, Instance};
use std::time::Duration;

/// The shortest time between two requests for the inventory.
const MIN_INVENTORY_INTERVAL: Duration = Duration::from_secs(3);

/// The progress of reading the list of instances, which arrives in pages.
#[derive(Debug)]
pub(super) struct Inventory {
    next_at: Duration,
    in_flight: bool,
    pages: Vec<Instance>,
    /// Whether the whole list has been read in this term, so that all rented machines are known.
    complete: bool,
    /// When the cloud last answered any request.
    cloud_replied_at: Option<Duration>,
}

impl Inventory {
    pub(super) fn new(now: Duration) -> Self {
        Self { next_at: now, in_flight: false, pages: Vec::new(), complete: false, cloud_replied_at: None }
    }

    /// Returns whether the whole list has been read in this term, so that all rented machines are
    /// known.
    pub(super) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Records that the cloud has answered a request.
    pub(super) fn cloud_replied(&mut self, now: Duration) {
        self.cloud_replied_at = Some(now);
    }
}

impl Leader {
    fn inventory_interval(&self) -> Duration {
        self.settings.inventory_lag.max(MIN_INVENTORY_INTERVAL)
    }

    /// Returns whether the cloud has answered recently, so that a request takes effect now and not
    /// only when a network partition ends.
    pub(super) fn is_cloud_reachable(&self, now: Duration) -> bool {
        let timeout = self.inventory_interval() * 2 + Duration::from_secs(1);
        self.inventory.cloud_replied_at.is_some_and(|at| now.saturating_sub(at) < timeout)
    }

    /// Requests the next page of the list if it is due and the cloud's rate limit allows it.
    pub(super) fn list_instances(&mut self, now: Duration, effects: &mut EffectSink) {
        if self.inventory.in_flight || now < self.inventory.next_at || !self.scaling.take_request(now) {
            return;
        }
        self.inventory.in_flight = true;
        self.inventory.next_at = now + self.inventory_interval();
        let after = self.inventory.pages.last().map(|instance| instance.name.clone());
        effects.call_cloud(
            CallPurpose::Leader(self.token, LeaderCall::ListInstances),
            CloudRequest::ListInstances { after },
        );
    }

    /// Handles the reply to a request for a page. If the request failed, the list is read again from
    /// the first page.
    pub(super) fn instances_listed(&mut self, now: Duration, reply: Result<CloudReply, CallError>) {
        self.inventory.in_flight = false;
        let Ok(CloudReply::Instances { instances, truncated }) = reply else {
            return self.inventory.pages.clear();
        };
        self.inventory.pages.extend(instances);
        if truncated {
            self.inventory.next_at = now;
            return;
        }
        let list = std::mem::take(&mut self.inventory.pages);
        self.fleet.observe_inventory(&list, now);
        self.inventory.complete = true;
    }
}
