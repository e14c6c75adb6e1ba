//! Coverage: the machines whose heartbeats each node receives and those that it reaches. The nodes
//! exchange their coverage.
//!
//! Coverage is a hint. It helps to choose the leader, and to distinguish a failed worker from a failure
//! of the node's own links. It is never evidence that an attempt is over.

use crate::bitmap::{self, BitmapError};
use crate::mode::Mode;
use crate::numbering::{MachineNumbering, MAX_NUMBER};
use roaring::RoaringBitmap;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use thiserror::Error;

/// The age from which received coverage is ignored.
pub const COVERAGE_TIMEOUT: Duration = Duration::from_secs(6);
/// The maximum size of an encoded bitmap. The bitmaps of 4000 machines take from a few hundred to 8000
/// bytes.
pub const MAX_BITMAP_BYTES: usize = 64 * 1024;
/// The maximum length of a node's name, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// The maximum number of peers in a message.
const MAX_PEERS: usize = 64;
/// The maximum number of former boot ids that are remembered for a peer.
const MAX_FORMER_BOOTS: usize = 8;

/// The message that a node sends to its peers.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Coverage {
    /// The sender's name.
    pub host: String,
    /// The boot id of the sender's process, which is new at every start of the process.
    pub boot: u64,
    /// The number of the message, which increases with every message of the process.
    pub sequence: u64,
    /// The fencing token under which the sender leads, or 0 if it does not lead.
    pub token: u64,
    /// The sender's reachability mode.
    pub mode: Mode,
    /// The revision of the machine numbering to which the bitmaps refer.
    pub numbering: u64,
    /// The machines whose heartbeats reach the sender directly, not through a peer.
    pub reporting: RoaringBitmap,
    /// If the sender leads, the machines that are confirmed, have sent a heartbeat recently and were sent
    /// a reply.
    pub reached: RoaringBitmap,
    /// The number of machines that should send heartbeats to the sender if it leads; otherwise 0.
    pub expected: u32,
    /// The peers whose heartbeats reach the sender.
    pub peers: Vec<String>,
    /// The node to which the sender hands over its lease, if it does.
    pub successor: Option<String>,
}

/// The reason why a message was rejected. A rejected message changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CoverageError {
    /// The message or one of its bitmaps is too large.
    #[error("message too large: a bitmap may have {MAX_BITMAP_BYTES} bytes")]
    TooLarge,
    /// The message can't be decoded, or a field is out of range.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// The sender is not one of the peers in this node's settings.
    #[error("{0:?} is not a controller of this cluster")]
    UnknownPeer(String),
    /// The sender uses this node's own name.
    #[error("the sender uses this node's own name")]
    OwnName,
    /// The message is not newer than one that was received before.
    #[error("a later message of {0} was received before")]
    Outdated(String),
    /// The sender claims to lead under the token of another node.
    #[error("{host} claims to lead under token {token}, which {holder} holds")]
    TokenHeldByOther {
        /// The sender.
        host: String,
        /// The fencing token.
        token: u64,
        /// The node that leads under this token.
        holder: String,
    },
    /// The message refers to a later numbering than this node has read.
    #[error("the message refers to a numbering of machines that is not read yet")]
    NumberingAhead,
    /// The bitmaps contain this many numbers that are not assigned to a machine.
    #[error("the message has {0} numbers that are not assigned to a machine")]
    UnassignedNumbers(u64),
}

/// The leader that this node knows.
#[derive(Debug, Clone, Copy)]
pub struct KnownLeader<'a> {
    /// The leader's name.
    pub host: &'a str,
    /// Its fencing token.
    pub token: u64,
}

/// Decodes a bitmap of a message.
pub fn decode_bitmap(bytes: &[u8]) -> Result<RoaringBitmap, CoverageError> {
    let bitmap = bitmap::decode(bytes, MAX_BITMAP_BYTES).map_err(|error| match error {
        BitmapError::TooLarge => CoverageError::TooLarge,
        BitmapError::Malformed(reason) => CoverageError::Malformed(reason),
    })?;
    if bitmap.max().is_some_and(|number| number >= MAX_NUMBER) {
        return Err(CoverageError::Malformed("a number is out of range".into()));
    }
    Ok(bitmap)
}

#[derive(Debug)]
struct ReceivedCoverage {
    received_at: Duration,
    coverage: Coverage,
}

#[derive(Debug, Default)]
struct Peer {
    latest: Option<ReceivedCoverage>,
    /// The boot ids of the peer's former processes, the latest last. Their messages are rejected.
    former_boots: VecDeque<u64>,
}

/// The latest coverage of each peer.
#[derive(Debug)]
pub struct CoverageTable {
    own_name: String,
    peers: BTreeMap<String, Peer>,
    rejected: u64,
}

impl CoverageTable {
    /// Creates the table of the node `own_name` with these peers.
    pub fn new(own_name: &str, peers: &[String]) -> Self {
        let peers = peers.iter().map(|peer| (peer.clone(), Peer::default())).collect();
        Self { own_name: own_name.into(), peers, rejected: 0 }
    }

    /// Returns the number of messages that were rejected.
    pub fn rejected_count(&self) -> u64 {
        self.rejected
    }

    /// Counts a message that was rejected before it reached this table.
    pub fn count_rejected(&mut self) {
        self.rejected += 1;
    }

    /// Records a message and returns its coverage, or rejects the message.
    pub fn receive(
        &mut self,
        coverage: Coverage,
        now: Duration,
        numbering: &MachineNumbering,
        leader: Option<KnownLeader<'_>>,
    ) -> Result<&Coverage, CoverageError> {
        if let Err(error) = self.check(&coverage, numbering, leader) {
            self.rejected += 1;
            return Err(error);
        }
        let peer = self.peers.entry(coverage.host.clone()).or_default();
        if let Some(former) = peer.latest.as_ref().filter(|latest| latest.coverage.boot != coverage.boot) {
            peer.former_boots.push_back(former.coverage.boot);
            if peer.former_boots.len() > MAX_FORMER_BOOTS {
                peer.former_boots.pop_front();
            }
        }
        Ok(&peer.latest.insert(ReceivedCoverage { received_at: now, coverage }).coverage)
    }

    fn check(
        &self,
        coverage: &Coverage,
        numbering: &MachineNumbering,
        leader: Option<KnownLeader<'_>>,
    ) -> Result<(), CoverageError> {
        if coverage.host == self.own_name {
            return Err(CoverageError::OwnName);
        }
        let Some(peer) = self.peers.get(&coverage.host) else {
            let truncated = coverage.host.chars().take(MAX_NAME_BYTES).collect();
            return Err(CoverageError::UnknownPeer(truncated));
        };
        if coverage.peers.len() > MAX_PEERS || coverage.peers.iter().any(|name| name.len() > MAX_NAME_BYTES) {
            return Err(CoverageError::Malformed("too many peers or too long a name".into()));
        }
        let is_outdated = peer.former_boots.contains(&coverage.boot)
            || peer.latest.as_ref().is_some_and(|latest| {
                latest.coverage.boot == coverage.boot && latest.coverage.sequence >= coverage.sequence
            });
        if is_outdated {
            return Err(CoverageError::Outdated(coverage.host.clone()));
        }
        let other_leads =
            |leader: &KnownLeader<'_>| leader.token == coverage.token && leader.host != coverage.host;
        if let Some(leader) = leader.filter(other_leads) {
            return Err(CoverageError::TokenHeldByOther {
                host: coverage.host.clone(),
                token: coverage.token,
                holder: leader.host.into(),
            });
        }
        if coverage.numbering > numbering.revision() {
            return Err(CoverageError::NumberingAhead);
        }
        let numbers = &coverage.reporting | &coverage.reached;
        let is_unassigned =
            |number: &u32| coverage.numbering == numbering.revision() && numbering.name(*number).is_none();
        match numbers.iter().filter(is_unassigned).count() {
            0 => Ok(()),
            count => Err(CoverageError::UnassignedNumbers(count as u64)),
        }
    }

    /// Returns the coverage of the peers from which it was received recently.
    pub fn fresh(&self, now: Duration) -> impl Iterator<Item = &Coverage> {
        let latest = self.peers.values().filter_map(|peer| peer.latest.as_ref());
        let is_fresh =
            move |received: &&ReceivedCoverage| now.saturating_sub(received.received_at) < COVERAGE_TIMEOUT;
        latest.filter(is_fresh).map(|received| &received.coverage)
    }

    /// Returns whether the coverage of every peer is recent.
    pub fn has_complete_coverage(&self, now: Duration) -> bool {
        self.fresh(now).count() == self.peers.len()
    }

    /// Returns whether a peer receives the machine's heartbeats, according to its recent coverage.
    pub fn reports_to_a_peer(&self, name: &str, numbering: &MachineNumbering, now: Duration) -> bool {
        let Some(number) = numbering.number(name) else { return false };
        self.fresh(now).any(|coverage| {
            coverage.reporting.contains(number) && numbering.was_assigned_at(number, coverage.numbering)
        })
    }

    /// Returns whether the coverage of every peer is recent and shows that the peer receives no heartbeats.
    pub fn no_peer_receives_heartbeats(&self, now: Duration) -> bool {
        self.has_complete_coverage(now) && self.fresh(now).all(|coverage| coverage.reporting.is_empty())
    }
}
