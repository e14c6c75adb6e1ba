//! The addresses of workers, read from the cloud's inventory, and when the cloud last replied.

use crate::protocol::{CallError, CloudReply, CloudRequest, Instance, MachineName};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The shortest time between two reads of the inventory.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// The pause between two pages, which leaves most of the cloud's rate limit to others.
const PAGE_INTERVAL: Duration = Duration::from_millis(400);

/// The addresses that the cloud's inventory lists.
#[derive(Debug, Default)]
pub struct Addresses {
    by_machine: BTreeMap<MachineName, Arc<str>>,
    /// The addresses on the pages of the read that is not complete yet.
    pages: BTreeMap<MachineName, Arc<str>>,
    /// The last machine of the page before the next one; `None` if the next page is the first.
    after: Option<MachineName>,
    /// When the read that is in progress began.
    read_began_at: Duration,
    /// When the latest complete read began.
    complete_read_at: Option<Duration>,
    in_flight: bool,
    next_read_at: Duration,
    replied_at: Option<Duration>,
}

impl Addresses {
    /// Returns the machine's address. It is `None` until the inventory has listed the machine.
    pub fn get(&self, machine: &MachineName) -> Option<Arc<str>> {
        self.by_machine.get(machine).cloned()
    }

    /// Returns when the latest complete read began. The addresses are those that it listed.
    pub fn complete_read_at(&self) -> Option<Duration> {
        self.complete_read_at
    }

    /// Returns when the cloud last replied.
    pub fn replied_at(&self) -> Option<Duration> {
        self.replied_at
    }

    /// Records that the cloud has replied to a request.
    pub fn cloud_replied(&mut self, now: Duration) {
        self.replied_at = Some(now);
    }

    /// Returns the next read of the inventory, if one is due. Names are listed in their order, so the
    /// machines before `first` are skipped.
    pub fn next_read(&mut self, first: &MachineName, now: Duration) -> Option<CloudRequest> {
        if self.in_flight || now < self.next_read_at {
            return None;
        }
        self.in_flight = true;
        if self.after.is_none() {
            self.read_began_at = now;
        }
        let after = self.after.clone().or_else(|| name_before(first));
        Some(CloudRequest::ListInstances { after })
    }

    /// Handles a page. Only the addresses of machines that `is_needed` selects are kept. Machines after
    /// `last` are not read.
    pub fn page_read(
        &mut self,
        now: Duration,
        reply: Result<CloudReply, CallError>,
        last: &MachineName,
        is_needed: impl Fn(&MachineName) -> bool,
    ) {
        self.in_flight = false;
        self.next_read_at = now + READ_INTERVAL;
        let after = self.after.take();
        let Ok(CloudReply::Instances { instances, truncated }) = reply else { return };
        self.replied_at = Some(now);
        if after.is_none() {
            self.pages.clear();
        }
        let last_listed = instances.last().map(|instance| instance.name.clone());
        let needed = instances.into_iter().filter(|instance: &Instance| is_needed(&instance.name));
        self.pages.extend(needed.map(|instance| (instance.name, instance.address)));
        if truncated && last_listed.as_ref().is_some_and(|listed| listed < last) {
            self.after = last_listed;
            self.next_read_at = now + PAGE_INTERVAL;
        } else {
            self.by_machine = std::mem::take(&mut self.pages);
            self.complete_read_at = Some(self.read_began_at);
        }
    }
}

/// Returns a name that is before the given one, but after most machines that are older: the name without
/// its last character.
fn name_before(name: &MachineName) -> Option<MachineName> {
    let (end, _) = name.char_indices().next_back()?;
    (end > 0).then(|| name[..end].into())
}
