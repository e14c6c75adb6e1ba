//! The leader election. The node that writes the key `lead` under its lease becomes the leader; the
//! revision of that write is its fencing token.

use crate::calls::{CallPurpose, ElectionCall};
use crate::effects::EffectSink;
use crate::leadership::LeaderId;
use crate::protocol::{CallError, Condition, KeyValue, KvChange, KvReply, KvRequest, LogLevel, WatchEvent};
use crate::token_range::ObservedTerm;
use plankhead_reachability::handover::SUCCESSOR_HEADSTART;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The leader's key in the state service.
pub const KEY: &str = "lead";
/// How often the leader renews its lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
/// How long one watch request of a follower waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// The delay before a failed call is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// How long a node that stepped down in favour of its peers does not compete for the key.
const STEP_DOWN_PAUSE: Duration = Duration::from_secs(8);

/// The value of the leader's key, as it is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The node that leads.
    pub host: String,
    /// Identifies one start of the node's process.
    #[serde(rename = "boot")]
    pub boot_id: u64,
    /// The lease under which the key was written.
    #[serde(rename = "hold")]
    pub lease: u64,
}

/// A term of this node as the leader, under one fencing token.
#[derive(Debug, Clone, Copy)]
struct Term {
    token: u64,
    lease: u64,
    /// When the latest successful renewal was sent or, before the first one, when the term began.
    renewed_at: Duration,
    next_renewal_at: Duration,
    renewal_in_flight: bool,
    last_renewal_failed: bool,
}

/// The state of the leader's key, as far as this node knows it.
#[derive(Debug, Clone, Copy)]
enum KeyState {
    /// The key must be read.
    Unknown,
    /// Another node, or an earlier term of this one, holds the key since the revision `token`. Changes
    /// after `revision` are watched.
    HeldByOther { token: u64, revision: u64 },
    /// No node holds the key, so this node tries to acquire it.
    Vacant { since: Duration },
    /// This node holds the key and leads.
    Held(Term),
}

/// A change of this node's leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadershipChange {
    /// The node still leads, or still does not lead.
    Unchanged,
    /// The node leads from now on, under this fencing token.
    Won { token: u64 },
    /// The node no longer leads.
    Lost,
}

/// The state of the leader election on one node.
#[derive(Debug)]
pub struct Election {
    host: String,
    boot_id: u64,
    key: KeyState,
    /// Whether a call other than a lease renewal or revocation is in flight.
    call_in_flight: bool,
    retry_at: Duration,
    /// The last known leader other than this node.
    pub known_leader: Option<LeaderId>,
    /// The lease of an attempt to acquire the key whose outcome is unknown. If the key turns out to
    /// be held under this lease, the attempt has succeeded.
    uncertain_acquire: Option<u64>,
    /// The duration of the lease, for which the key outlives its leader's last renewal.
    lease_duration: Duration,
    /// Whether peers are better placed to lead.
    defers_to_peers: bool,
}

impl Election {
    /// Creates the election state of a node that has just started. `lease` is the duration of the
    /// lease under which the node will acquire the key.
    pub fn new(host: String, boot_id: u64, lease: Duration) -> Self {
        Self {
            host,
            boot_id,
            key: KeyState::Unknown,
            call_in_flight: false,
            retry_at: Duration::ZERO,
            known_leader: None,
            uncertain_acquire: None,
            lease_duration: lease,
            defers_to_peers: false,
        }
    }

    /// Sets whether peers are better placed to lead. If they are, this node leaves a vacant key to them
    /// for [`SUCCESSOR_HEADSTART`] but no longer, because they may have failed.
    pub fn set_defers_to_peers(&mut self, defers: bool) {
        self.defers_to_peers = defers;
    }

    /// Returns the time until which a vacant key is left to the peers.
    fn deferred_until(&self) -> Option<Duration> {
        match self.key {
            KeyState::Vacant { since } if self.defers_to_peers => Some(since + SUCCESSOR_HEADSTART),
            _ => None,
        }
    }

    fn term(&self) -> Option<&Term> {
        match &self.key {
            KeyState::Held(term) => Some(term),
            _ => None,
        }
    }

    /// Returns the fencing token under which this node leads, if it leads.
    pub fn token(&self) -> Option<u64> {
        self.term().map(|term| term.token)
    }

    /// Returns the term that another node, or an earlier term of this one, is known to hold, and the
    /// revision at which it was seen to hold it.
    pub fn observed_term(&self) -> Option<ObservedTerm> {
        match self.key {
            KeyState::HeldByOther { token, revision } => Some(ObservedTerm { token, in_force_at: revision }),
            _ => None,
        }
    }

    /// Whether this node leads and has renewed its lease within the lease's duration. Otherwise its
    /// writes are expected to fail.
    pub fn is_lease_valid(&self, now: Duration) -> bool {
        self.term().is_some_and(|term| now.saturating_sub(term.renewed_at) < self.lease_duration)
    }

    /// Whether the lease is valid and its latest renewal has not failed. After a failed renewal, another
    /// node may soon hold the key, and may confirm cancellations that this node can't see.
    pub fn is_lease_undisputed(&self, now: Duration) -> bool {
        self.is_lease_valid(now) && self.term().is_some_and(|term| !term.last_renewal_failed)
    }

    /// Returns when [`Election::tick`] must be called next, if no reply arrives before.
    pub fn next_due(&self) -> Option<Duration> {
        match &self.key {
            KeyState::Held(term) => (!term.renewal_in_flight).then_some(term.next_renewal_at),
            _ => (!self.call_in_flight).then(|| self.retry_at.max(self.deferred_until().unwrap_or_default())),
        }
    }

    /// Makes the next call, if one is due.
    pub fn tick(&mut self, now: Duration, effects: &mut EffectSink) {
        let is_deferred = self.deferred_until().is_some_and(|until| now < until);
        let can_call = !self.call_in_flight && now >= self.retry_at && !is_deferred;
        let (call, request) = match &mut self.key {
            KeyState::Held(term) => return term.renew_if_due(now, effects),
            _ if !can_call => return,
            KeyState::Unknown => (ElectionCall::Read, KvRequest::Get { key: KEY.into() }),
            KeyState::HeldByOther { revision, .. } => {
                let request = KvRequest::Watch { prefix: KEY.into(), after: *revision, wait: WATCH_TIMEOUT };
                (ElectionCall::Watch, request)
            }
            KeyState::Vacant { .. } => {
                (ElectionCall::GrantLease, KvRequest::GrantLease { ttl: self.lease_duration })
            }
        };
        self.call_in_flight = true;
        effects.call_kv(CallPurpose::Election(call), request);
    }

    /// Handles the reply to one of the election's calls.
    pub fn handle_reply(
        &mut self,
        now: Duration,
        call: ElectionCall,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) -> LeadershipChange {
        match call {
            ElectionCall::RenewLease { lease, sent } => self.handle_renewal_reply(now, lease, sent, reply),
            ElectionCall::RevokeLease => LeadershipChange::Unchanged,
            ElectionCall::Read => {
                self.call_in_flight = false;
                match reply {
                    Ok(KvReply::Value(row)) => self.apply_key(now, row, effects),
                    _ => self.retry_later(now),
                }
            }
            ElectionCall::Watch => {
                self.call_in_flight = false;
                match reply {
                    Ok(KvReply::Events { revision, events }) => {
                        self.apply_events(now, revision, events, effects)
                    }
                    _ => self.retry_later(now),
                }
            }
            ElectionCall::GrantLease => {
                self.call_in_flight = false;
                match reply {
                    Ok(KvReply::LeaseGranted { lease }) => self.acquire(lease, effects),
                    _ => self.retry_later(now),
                }
            }
            ElectionCall::Acquire { lease } => {
                self.call_in_flight = false;
                self.handle_acquire_reply(now, lease, reply, effects)
            }
        }
    }

    fn retry_later(&mut self, now: Duration) -> LeadershipChange {
        self.key = KeyState::Unknown;
        self.retry_at = now + RETRY_INTERVAL;
        LeadershipChange::Unchanged
    }

    fn apply_events(
        &mut self,
        now: Duration,
        revision: u64,
        events: Vec<WatchEvent>,
        effects: &mut EffectSink,
    ) -> LeadershipChange {
        let mut change = LeadershipChange::Unchanged;
        for event in events {
            match event {
                WatchEvent::Put(row) if row.key == KEY => {
                    change = self.apply_key(now, Some(row), effects);
                }
                WatchEvent::Delete { key, .. } if key == KEY => {
                    self.key = KeyState::Vacant { since: now };
                }
                _ => {}
            }
        }
        if let KeyState::HeldByOther { revision: watched, .. } = &mut self.key {
            *watched = (*watched).max(revision);
        }
        change
    }

    /// Writes the leader's key under the lease, on condition that the key does not exist.
    fn acquire(&mut self, lease: u64, effects: &mut EffectSink) -> LeadershipChange {
        let record = LeaderRecord { host: self.host.clone(), boot_id: self.boot_id, lease };
        if let Ok(value) = serde_json::to_string(&record) {
            self.call_in_flight = true;
            effects.call_kv(
                CallPurpose::Election(ElectionCall::Acquire { lease }),
                KvRequest::Txn {
                    conditions: vec![Condition { key: KEY.into(), mod_revision: 0 }],
                    changes: vec![KvChange::Put { key: KEY.into(), value, lease: Some(lease) }],
                },
            );
        }
        LeadershipChange::Unchanged
    }

    fn handle_acquire_reply(
        &mut self,
        now: Duration,
        lease: u64,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) -> LeadershipChange {
        match reply {
            Ok(KvReply::Committed { revision }) => self.begin_term(now, revision, lease),
            Ok(_) | Err(CallError::Refused | CallError::RateLimited | CallError::TooLarge) => {
                revoke_lease(lease, effects);
                self.key = KeyState::Unknown;
                LeadershipChange::Unchanged
            }
            // The key may have been written; reading it will show whether it was.
            Err(CallError::OutcomeUnknown) => {
                self.uncertain_acquire = Some(lease);
                self.retry_later(now)
            }
        }
    }

    fn apply_key(
        &mut self,
        now: Duration,
        row: Option<KeyValue>,
        effects: &mut EffectSink,
    ) -> LeadershipChange {
        let Some(row) = row else {
            self.key = KeyState::Vacant { since: now };
            return LeadershipChange::Unchanged;
        };
        let Ok(record) = serde_json::from_str::<LeaderRecord>(&row.value) else {
            effects.log(LogLevel::Error, "leader key unreadable: reason=malformed".into());
            self.key = KeyState::Unknown;
            self.retry_at = now + RETRY_INTERVAL;
            return LeadershipChange::Unchanged;
        };
        if record.host == self.host {
            if self.uncertain_acquire == Some(record.lease) && record.boot_id == self.boot_id {
                return self.begin_term(now, row.mod_revision, record.lease);
            }
            // The key was written by an earlier start of this process, or by this one before it
            // stepped down, and the revocation of its lease was lost or is delayed. If the node led
            // again under the same token, commands of the two terms could not be told apart.
            revoke_lease(record.lease, effects);
        } else {
            self.known_leader = Some(LeaderId { token: row.mod_revision, host: record.host });
        }
        self.key = KeyState::HeldByOther { token: row.mod_revision, revision: row.mod_revision };
        LeadershipChange::Unchanged
    }

    fn begin_term(&mut self, now: Duration, token: u64, lease: u64) -> LeadershipChange {
        self.key = KeyState::Held(Term {
            token,
            lease,
            renewed_at: now,
            next_renewal_at: now,
            renewal_in_flight: false,
            last_renewal_failed: false,
        });
        self.known_leader = None;
        self.uncertain_acquire = None;
        LeadershipChange::Won { token }
    }

    fn handle_renewal_reply(
        &mut self,
        now: Duration,
        lease: u64,
        sent: Duration,
        reply: Result<KvReply, CallError>,
    ) -> LeadershipChange {
        let term = match &mut self.key {
            KeyState::Held(term) if term.lease == lease => term,
            // A reply for the lease of an earlier term says nothing about the current one.
            _ => return LeadershipChange::Unchanged,
        };
        term.renewal_in_flight = false;
        term.last_renewal_failed = reply.is_err();
        match reply {
            Ok(KvReply::LeaseRenewed) => {
                term.renewed_at = term.renewed_at.max(sent);
                term.next_renewal_at = now.max(sent + RENEWAL_INTERVAL);
            }
            Ok(KvReply::NoSuchLease) => return self.step_down(),
            _ => term.next_renewal_at = now + RETRY_INTERVAL,
        }
        LeadershipChange::Unchanged
    }

    /// Steps down voluntarily and does not compete for the key for a while, so that a peer that is
    /// better placed can lead.
    pub fn step_down_for_peers(&mut self, now: Duration, effects: &mut EffectSink) -> LeadershipChange {
        let change = self.release_lease(effects);
        self.retry_at = now + STEP_DOWN_PAUSE;
        change
    }

    /// Steps down and revokes the lease if this node holds it, which deletes the key.
    pub fn release_lease(&mut self, effects: &mut EffectSink) -> LeadershipChange {
        if let Some(term) = self.term() {
            revoke_lease(term.lease, effects);
        }
        self.step_down()
    }

    /// Steps down without revoking the lease, because another node holds the key or will hold it.
    pub fn step_down(&mut self) -> LeadershipChange {
        self.key = KeyState::Unknown;
        self.call_in_flight = false;
        self.retry_at = Duration::ZERO;
        LeadershipChange::Lost
    }
}

impl Term {
    fn renew_if_due(&mut self, now: Duration, effects: &mut EffectSink) {
        if self.renewal_in_flight || now < self.next_renewal_at {
            return;
        }
        self.renewal_in_flight = true;
        let lease = self.lease;
        effects.call_kv(
            CallPurpose::Election(ElectionCall::RenewLease { lease, sent: now }),
            KvRequest::RenewLease { lease },
        );
    }
}

fn revoke_lease(lease: u64, effects: &mut EffectSink) {
    effects.call_kv(CallPurpose::Election(ElectionCall::RevokeLease), KvRequest::RevokeLease { lease });
}
