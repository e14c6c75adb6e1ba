//! The leader election: the node leads that wrote the key `lead` under its lease. The
//! revision of that write is the fencing token.

use crate::calls::{CallPurpose, ElectionCall};
use crate::effects::EffectSink;
use crate::leadership::LeaderId;
use crate::protocol::{CallError, Condition, KeyValue, KvChange, KvReply, KvRequest, LogLevel, WatchEvent};
use plankhead_reachability::handover::SUCCESSOR_HEADSTART;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The leader's key in the state service.
pub const KEY: &str = "lead";
/// How often the leader renews its lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
/// How long a follower's watch waits before it is opened anew.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause after a failed attempt to read or to write.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// How long a node that stepped down leaves the key to its peers.
const STEP_DOWN_PAUSE: Duration = Duration::from_secs(8);

/// The value of the leader's key, as it is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The node that leads.
    pub host: String,
    /// Tells one start of its process from another.
    #[serde(rename = "boot")]
    pub boot_id: u64,
    /// The lease under which the key was written.
    #[serde(rename = "hold")]
    pub lease: u64,
}

/// This node's time as the leader under one fencing token.
#[derive(Debug, Clone, Copy)]
struct Term {
    token: u64,
    lease: u64,
    /// When the latest renewal that succeeded was sent.
    renewed_at: Duration,
    next_renewal_at: Duration,
    renewal_in_flight: bool,
    last_renewal_failed: bool,
}

/// What this node knows of the leader's key.
#[derive(Debug, Clone, Copy)]
enum KeyState {
    /// The key must be read.
    Unknown,
    /// Another node holds it; its changes after the revision are watched.
    HeldByPeer { revision: u64 },
    /// No node holds it, so that this one tries to.
    Vacant { since: Duration },
    /// This node holds it, and leads.
    Held(Term),
}

/// What became of this node's leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadershipChange {
    /// It leads as before, or does not lead as before.
    Unchanged,
    /// It leads from now on, under this fencing token.
    Won { token: u64 },
    /// It leads no longer.
    Lost,
}

/// One node's part in the leader election.
#[derive(Debug)]
pub struct Election {
    host: String,
    boot_id: u64,
    key: KeyState,
    /// A call other than a renewal or a revocation is in flight.
    call_in_flight: bool,
    retry_at: Duration,
    /// The last known leader that is not this node.
    pub known_leader: Option<LeaderId>,
    /// The lease of a claim whose reply was lost: it alone may still win the key without
    /// being asked for again.
    uncertain_claim: Option<u64>,
    /// How long the key outlives its leader.
    lease_duration: Duration,
    /// Peers are better placed to lead.
    defers_to_peers: bool,
}

impl Election {
    /// The election as a node sees it that has just started; `lease`: how long its key is to
    /// outlive it.
    pub fn new(host: String, boot_id: u64, lease: Duration) -> Self {
        Self {
            host,
            boot_id,
            key: KeyState::Unknown,
            call_in_flight: false,
            retry_at: Duration::ZERO,
            known_leader: None,
            uncertain_claim: None,
            lease_duration: lease,
            defers_to_peers: false,
        }
    }

    /// Sets whether peers are better placed to lead: a vacant key is left to them for a
    /// moment, and no longer, since they may have failed.
    pub fn set_defers_to_peers(&mut self, defers: bool) {
        self.defers_to_peers = defers;
    }

    /// Until when a vacant key is left to peers.
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

    /// The fencing token under which this node leads.
    pub fn token(&self) -> Option<u64> {
        self.term().map(|term| term.token)
    }

    /// Whether this node leads and has renewed its lease within its time, so that writes make
    /// sense.
    pub fn is_lease_valid(&self, now: Duration) -> bool {
        self.term().is_some_and(|term| now.saturating_sub(term.renewed_at) < self.lease_duration)
    }

    /// Whether, beyond that, the last renewal has not failed: otherwise another node may have
    /// the key soon and confirm what this one can't see.
    pub fn is_lease_undisputed(&self, now: Duration) -> bool {
        self.is_lease_valid(now) && self.term().is_some_and(|term| !term.last_renewal_failed)
    }

    /// When [`Election::tick`] has something to do next, unless a reply comes before.
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
            KeyState::HeldByPeer { revision } => {
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
    pub fn reply(
        &mut self,
        now: Duration,
        call: ElectionCall,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) -> LeadershipChange {
        match call {
            ElectionCall::RenewLease { lease, sent } => self.renewal_reply(now, lease, sent, reply),
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
                    Ok(KvReply::LeaseGranted { lease }) => self.claim(lease, effects),
                    _ => self.retry_later(now),
                }
            }
            ElectionCall::Claim { lease } => {
                self.call_in_flight = false;
                self.claim_reply(now, lease, reply, effects)
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
        if let KeyState::HeldByPeer { revision: watched } = &mut self.key {
            *watched = (*watched).max(revision);
        }
        change
    }

    /// Writes the leader's key under the lease, if no node holds it.
    fn claim(&mut self, lease: u64, effects: &mut EffectSink) -> LeadershipChange {
        let record = LeaderRecord { host: self.host.clone(), boot_id: self.boot_id, lease };
        if let Ok(value) = serde_json::to_string(&record) {
            self.call_in_flight = true;
            effects.call_kv(
                CallPurpose::Election(ElectionCall::Claim { lease }),
                KvRequest::Txn {
                    conditions: vec![Condition { key: KEY.into(), mod_revision: 0 }],
                    changes: vec![KvChange::Put { key: KEY.into(), value, lease: Some(lease) }],
                },
            );
        }
        LeadershipChange::Unchanged
    }

    fn claim_reply(
        &mut self,
        now: Duration,
        lease: u64,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) -> LeadershipChange {
        match reply {
            Ok(KvReply::Committed { revision }) => self.won(now, revision, lease),
            Ok(_) | Err(CallError::Refused | CallError::RateLimited | CallError::TooLarge) => {
                revoke_lease(lease, effects);
                self.key = KeyState::Unknown;
                LeadershipChange::Unchanged
            }
            // The claim may have been carried out: the key will show it.
            Err(CallError::OutcomeUnknown) => {
                self.uncertain_claim = Some(lease);
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
            self.retry_at = now + RETRY_INTERVAL;
            return LeadershipChange::Unchanged;
        };
        if record.host == self.host {
            if self.uncertain_claim == Some(record.lease) && record.boot_id == self.boot_id {
                return self.won(now, row.mod_revision, record.lease);
            }
            // An earlier start of this process held it, or this one, which stepped down: the
            // revocation of its lease was lost or comes late. Leading twice under one token
            // would make commands of the first time look like those of the second.
            revoke_lease(record.lease, effects);
        } else {
            self.known_leader = Some(LeaderId { token: row.mod_revision, host: record.host });
        }
        self.key = KeyState::HeldByPeer { revision: row.mod_revision };
        LeadershipChange::Unchanged
    }

    fn won(&mut self, now: Duration, token: u64, lease: u64) -> LeadershipChange {
        self.key = KeyState::Held(Term {
            token,
            lease,
            renewed_at: now,
            next_renewal_at: now,
            renewal_in_flight: false,
            last_renewal_failed: false,
        });
        self.known_leader = None;
        self.uncertain_claim = None;
        LeadershipChange::Won { token }
    }

    fn renewal_reply(
        &mut self,
        now: Duration,
        lease: u64,
        sent: Duration,
        reply: Result<KvReply, CallError>,
    ) -> LeadershipChange {
        let term = match &mut self.key {
            KeyState::Held(term) if term.lease == lease => term,
            // Of an earlier term, which tells nothing of this one.
            _ => return LeadershipChange::Unchanged,
        };
        term.renewal_in_flight = false;
        term.last_renewal_failed = reply.is_err();
        match reply {
            Ok(KvReply::LeaseRenewed) => {
                term.renewed_at = term.renewed_at.max(sent);
                term.next_renewal_at = now.max(sent + RENEWAL_INTERVAL);
            }
            Ok(KvReply::NoSuchLease) => return self.lease_lost(),
            _ => term.next_renewal_at = now + RETRY_INTERVAL,
        }
        LeadershipChange::Unchanged
    }

    /// Steps down by its own decision, so that a peer that hears the workers can lead.
    pub fn step_down_for_peers(&mut self, now: Duration, effects: &mut EffectSink) -> LeadershipChange {
        let change = self.release_lease(effects);
        self.retry_at = now + STEP_DOWN_PAUSE;
        change
    }

    /// Steps down and gives the key up, if this node still holds it.
    pub fn release_lease(&mut self, effects: &mut EffectSink) -> LeadershipChange {
        if let Some(term) = self.term() {
            revoke_lease(term.lease, effects);
        }
        self.lease_lost()
    }

    /// Steps down: another node has the key, or will have it.
    pub fn lease_lost(&mut self) -> LeadershipChange {
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
