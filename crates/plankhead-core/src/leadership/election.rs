//! Who leads: the node that wrote the key `lead` under its grant. The revision
//! of that write is the fencing token.

use crate::calls::{CallPurpose, ElectionCall};
use crate::effects::EffectSink;
use crate::leadership::LeaderId;
use crate::protocol::{CallError, Condition, KeyValue, KvChange, KvReply, KvRequest, LogLevel, WatchEvent};
use plankhead_reachability::handover::HOLD_BACK;
use serde::{Deserialize, Serialize};
use std::time::Duration;

pub const KEY: &str = "lead";
/// How often the leader renews its grant.
const TOUCH: Duration = Duration::from_millis(400);
/// How long a follower's watch waits before it is opened anew.
const WATCH: Duration = Duration::from_secs(3);
/// The pause after a failed attempt to read or to write.
const PAUSE: Duration = Duration::from_millis(250);
/// How long a node that stepped down leaves the key to others.
const ABSTAIN: Duration = Duration::from_secs(8);

/// The value of the key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Holder {
    pub host: String,
    pub boot: u64,
    pub hold: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The key must be read.
    Unknown,
    /// Somebody holds it; we watch.
    Watching {
        after: u64,
    },
    /// Nobody holds it; we try to.
    Vacant,
    Leading {
        token: u64,
        hold: u64,
    },
}

/// What the election tells the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadershipChange {
    Unchanged,
    Won { token: u64 },
    Lost,
}

#[derive(Debug)]
pub struct Election {
    host: String,
    boot_id: u64,
    stage: Stage,
    call_in_flight: bool,
    retry_at: Duration,
    /// The last known holder that is not us, with its token.
    pub known_leader: Option<LeaderId>,
    lease_renewed_at: Duration,
    next_renewal_at: Duration,
    renewal_in_flight: bool,
    /// The last renewal of the grant failed.
    last_renewal_failed: bool,
    /// The grant of a claim whose answer was lost: it alone may still win the key
    /// without being asked again.
    uncertain_claim: Option<u64>,
    /// How long the key outlives its leader.
    lease: Duration,
    /// Others are better placed to lead.
    defers_to_peers: bool,
    /// Since when the key is vacant.
    vacant_since: Duration,
}

impl Election {
    pub fn new(host: String, boot: u64, lease: Duration) -> Self {
        Self {
            lease,
            host,
            boot_id: boot,
            stage: Stage::Unknown,
            call_in_flight: false,
            retry_at: Duration::ZERO,
            known_leader: None,
            lease_renewed_at: Duration::ZERO,
            next_renewal_at: Duration::ZERO,
            renewal_in_flight: false,
            last_renewal_failed: false,
            uncertain_claim: None,
            defers_to_peers: false,
            vacant_since: Duration::ZERO,
        }
    }

    /// Whether others are better placed: a vacant key is left to them for a moment, and no
    /// longer, since they may be gone.
    pub fn set_defers_to_peers(&mut self, holds_back: bool) {
        self.defers_to_peers = holds_back;
    }

    fn key_vacant(&mut self, now: Duration) {
        self.stage = Stage::Vacant;
        self.vacant_since = now;
    }

    /// Until when a vacant key is left to others.
    fn deferred_until(&self) -> Option<Duration> {
        let held = self.defers_to_peers && self.stage == Stage::Vacant;
        held.then_some(self.vacant_since + HOLD_BACK)
    }

    pub fn token(&self) -> Option<u64> {
        match self.stage {
            Stage::Leading { token, .. } => Some(token),
            _ => None,
        }
    }

    /// Whether the grant was renewed lately enough that writes make sense.
    pub fn is_lease_valid(&self, now: Duration) -> bool {
        self.token().is_some() && now.saturating_sub(self.lease_renewed_at) < self.lease
    }

    /// Whether, beyond that, nothing says that the state service fails this node:
    /// another may have the key soon and confirm what this one can't see.
    pub fn is_lease_undisputed(&self, now: Duration) -> bool {
        self.is_lease_valid(now) && !self.last_renewal_failed
    }

    /// When [`Election::tick`] has something to do next, unless a reply comes before.
    pub fn next_due(&self) -> Option<Duration> {
        match self.stage {
            Stage::Leading { .. } => (!self.renewal_in_flight).then_some(self.next_renewal_at),
            _ => (!self.call_in_flight).then(|| self.retry_at.max(self.deferred_until().unwrap_or_default())),
        }
    }

    pub fn tick(&mut self, now: Duration, effects: &mut EffectSink) {
        if let Stage::Leading { hold, .. } = self.stage {
            if !self.renewal_in_flight && now >= self.next_renewal_at {
                self.renewal_in_flight = true;
                effects.call_kv(
                    CallPurpose::Election(ElectionCall::RenewLease { lease: hold, sent: now }),
                    KvRequest::RenewLease { lease: hold },
                );
            }
            return;
        }
        if self.call_in_flight
            || now < self.retry_at
            || self.deferred_until().is_some_and(|until| now < until)
        {
            return;
        }
        self.call_in_flight = true;
        let (step, op) = match self.stage {
            Stage::Unknown => (ElectionCall::Read, KvRequest::Get { key: KEY.into() }),
            Stage::Watching { after } => {
                (ElectionCall::Watch, KvRequest::Watch { prefix: KEY.into(), after, wait: WATCH })
            }
            _ => (ElectionCall::GrantLease, KvRequest::GrantLease { ttl: self.lease }),
        };
        effects.call_kv(CallPurpose::Election(step), op);
    }

    pub fn reply(
        &mut self,
        now: Duration,
        step: ElectionCall,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) -> LeadershipChange {
        if let ElectionCall::RenewLease { lease: hold, sent } = step {
            return self.lease_renewal_reply(now, hold, sent, reply);
        }
        if step == ElectionCall::RevokeLease {
            return LeadershipChange::Unchanged;
        }
        self.call_in_flight = false;
        match (step, reply) {
            (ElectionCall::Read, Ok(KvReply::Value(row))) => return self.key_read(now, row, effects),
            (ElectionCall::Watch, Ok(KvReply::Events { revision: epoch, events })) => {
                let mut verdict = LeadershipChange::Unchanged;
                for event in events {
                    match event {
                        WatchEvent::Put(row) if row.key == KEY => {
                            verdict = self.key_read(now, Some(row), effects);
                        }
                        WatchEvent::Delete { key, .. } if key == KEY => {
                            self.key_vacant(now);
                        }
                        _ => {}
                    }
                }
                if let Stage::Watching { after } = &mut self.stage {
                    *after = (*after).max(epoch);
                }
                return verdict;
            }
            (ElectionCall::GrantLease, Ok(KvReply::LeaseGranted { lease: hold })) => {
                self.claim(hold, effects)
            }
            (ElectionCall::Claim { lease: hold }, Ok(KvReply::Committed { revision: epoch })) => {
                return self.won(now, epoch, hold);
            }
            (ElectionCall::Claim { lease: hold }, Ok(_))
            | (
                ElectionCall::Claim { lease: hold },
                Err(CallError::Refused | CallError::RateLimited | CallError::TooLarge),
            ) => {
                effects.call_kv(
                    CallPurpose::Election(ElectionCall::RevokeLease),
                    KvRequest::RevokeLease { lease: hold },
                );
                self.stage = Stage::Unknown;
            }
            // A lost claim may have been carried out: the key tells.
            (ElectionCall::Claim { lease: hold }, Err(CallError::OutcomeUnknown)) => {
                self.uncertain_claim = Some(hold);
                self.stage = Stage::Unknown;
                self.retry_at = now + PAUSE;
            }
            _ => {
                self.stage = Stage::Unknown;
                self.retry_at = now + PAUSE;
            }
        }
        LeadershipChange::Unchanged
    }

    fn claim(&mut self, hold: u64, effects: &mut EffectSink) {
        let holder = Holder { host: self.host.clone(), boot: self.boot_id, hold };
        let Ok(value) = serde_json::to_string(&holder) else { return };
        self.call_in_flight = true;
        effects.call_kv(
            CallPurpose::Election(ElectionCall::Claim { lease: hold }),
            KvRequest::Txn {
                conditions: vec![Condition { key: KEY.into(), mod_revision: 0 }],
                changes: vec![KvChange::Put { key: KEY.into(), value, lease: Some(hold) }],
            },
        );
    }

    fn key_read(
        &mut self,
        now: Duration,
        row: Option<KeyValue>,
        effects: &mut EffectSink,
    ) -> LeadershipChange {
        let Some(row) = row else {
            self.key_vacant(now);
            return LeadershipChange::Unchanged;
        };
        let Ok(holder) = serde_json::from_str::<Holder>(&row.value) else {
            effects.log(LogLevel::Error, "the key of the leader holds something strange".into());
            self.retry_at = now + PAUSE;
            return LeadershipChange::Unchanged;
        };
        if holder.host == self.host {
            if self.uncertain_claim == Some(holder.hold) && holder.boot == self.boot_id {
                return self.won(now, row.mod_revision, holder.hold);
            }
            // An earlier life of this process held it, or this one, which stepped
            // down: its end of the grant was lost or comes late. To lead twice under
            // one token would make commands of the first time look like own ones.
            effects.call_kv(
                CallPurpose::Election(ElectionCall::RevokeLease),
                KvRequest::RevokeLease { lease: holder.hold },
            );
        } else {
            self.known_leader = Some(LeaderId { token: row.mod_revision, host: holder.host });
        }
        self.stage = Stage::Watching { after: row.mod_revision };
        LeadershipChange::Unchanged
    }

    fn won(&mut self, now: Duration, token: u64, hold: u64) -> LeadershipChange {
        self.stage = Stage::Leading { token, hold };
        self.known_leader = None;
        self.lease_renewed_at = now;
        self.next_renewal_at = now;
        self.renewal_in_flight = false;
        self.last_renewal_failed = false;
        self.uncertain_claim = None;
        LeadershipChange::Won { token }
    }

    fn lease_renewal_reply(
        &mut self,
        now: Duration,
        renewed: u64,
        sent: Duration,
        reply: Result<KvReply, CallError>,
    ) -> LeadershipChange {
        // One of an earlier term says nothing of this one.
        if !matches!(self.stage, Stage::Leading { hold, .. } if hold == renewed) {
            return LeadershipChange::Unchanged;
        }
        self.renewal_in_flight = false;
        self.last_renewal_failed = reply.is_err();
        match reply {
            Ok(KvReply::LeaseRenewed) => {
                self.lease_renewed_at = self.lease_renewed_at.max(sent);
                self.next_renewal_at = now.max(sent + TOUCH);
            }
            Ok(KvReply::NoSuchLease) => return self.lease_lost(),
            _ => self.next_renewal_at = now + PAUSE,
        }
        LeadershipChange::Unchanged
    }

    /// Steps down of its own will, so that a node that hears the workers can
    /// lead.
    pub fn step_down_for_peers(&mut self, now: Duration, effects: &mut EffectSink) -> LeadershipChange {
        let verdict = self.release_lease(effects);
        self.retry_at = now + ABSTAIN;
        verdict
    }

    /// Gives the key up, if it is still there.
    pub fn release_lease(&mut self, effects: &mut EffectSink) -> LeadershipChange {
        if let Stage::Leading { hold, .. } = self.stage {
            effects.call_kv(
                CallPurpose::Election(ElectionCall::RevokeLease),
                KvRequest::RevokeLease { lease: hold },
            );
        }
        self.lease_lost()
    }

    /// Steps down: the key is somebody else's, or will be.
    pub fn lease_lost(&mut self) -> LeadershipChange {
        self.stage = Stage::Unknown;
        self.call_in_flight = false;
        self.retry_at = Duration::ZERO;
        LeadershipChange::Lost
    }
}
