//! Coverage: which machines each node hears and reaches, as the nodes tell each other.
//!
//! It is a hint, by which the leader is chosen and a worker's silence is told from a failure of
//! the node's own links. It is never evidence that an attempt is over.

use crate::bitmap::{self, BitmapError};
use crate::mode::Mode;
use crate::numbering::{MachineNumbering, MAX_NUMBER};
use roaring::RoaringBitmap;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use thiserror::Error;

/// Coverage that was received this long ago is ignored.
pub const COVERAGE_TIMEOUT: Duration = Duration::from_secs(6);
/// The most bytes of one bitmap: four thousand machines take a few hundred to eight thousand.
pub const MAX_BITMAP_BYTES: usize = 64 * 1024;
/// The longest name of a node, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// The most peers that a message names.
const MAX_PEERS: usize = 64;
/// How many former starts of a peer are remembered.
const MAX_FORMER_BOOTS: usize = 8;

/// The message that a node sends to its peers.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Coverage {
    /// The sender's name.
    pub host: String,
    /// The id of the start of the sender's process.
    pub boot: u64,
    /// Increases with every message of one start.
    pub sequence: u64,
    /// The fencing token under which the sender leads, or 0.
    pub token: u64,
    /// The sender's reachability mode.
    pub mode: Mode,
    /// The revision of the numbering that the bitmaps refer to.
    pub numbering: u64,
    /// Machines whose heartbeats reach the sender directly.
    pub reporting: RoaringBitmap,
    /// Machines that confirmed a reply or a command of the sender.
    pub reached: RoaringBitmap,
    /// How many machines the sender hears or should hear.
    pub expected: u32,
    /// Peers whose heartbeats reach the sender.
    pub peers: Vec<String>,
    /// The node to which the sender hands over its lease.
    pub successor: Option<String>,
}

/// Why a message was refused. A refused message changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CoverageError {
    /// A bitmap or the message is too large.
    #[error("it is larger than {MAX_BITMAP_BYTES} bytes a bitmap")]
    TooLarge,
    /// The message does not decode, or a field is out of range.
    #[error("it is malformed: {0}")]
    Malformed(String),
    /// The sender is not in this node's configuration.
    #[error("{0:?} is no controller of this cluster")]
    UnknownPeer(String),
    /// The sender uses this node's name.
    #[error("it claims this node's own name")]
    OwnName,
    /// A later message of the sender was received before.
    #[error("{0} has told something later already")]
    Outdated(String),
    /// The sender claims to lead under another node's token.
    #[error("{host} claims the lease under {token}, which {holder} holds")]
    NotTheHolder {
        /// The sender.
        host: String,
        /// The fencing token.
        token: u64,
        /// The node that leads under that token.
        holder: String,
    },
    /// Its numbering is later than what this node has read.
    #[error("it is over numbers of machines that are not read yet")]
    NumberingAhead,
    /// It has numbers that stand for no machine.
    #[error("it names {0} machines that nobody knows")]
    UnknownMachines(u64),
}

/// The leader, as far as this node knows.
#[derive(Debug, Clone, Copy)]
pub struct KnownLeader<'a> {
    /// The leader's name.
    pub host: &'a str,
    /// Its fencing token.
    pub token: u64,
}

/// Decodes the bitmap of a message.
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
    former_boots: VecDeque<u64>,
}

/// The latest coverage of each peer.
#[derive(Debug)]
pub struct CoverageTable {
    own_name: String,
    peers: BTreeMap<String, Peer>,
    refused: u64,
}

impl CoverageTable {
    /// The table of the node `own_name` with these peers.
    pub fn new(own_name: &str, peers: &[String]) -> Self {
        let peers = peers.iter().map(|peer| (peer.clone(), Peer::default())).collect();
        Self { own_name: own_name.into(), peers, refused: 0 }
    }

    /// How many messages were refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Counts a message that was refused before it reached this table.
    pub fn count_refused(&mut self) {
        self.refused += 1;
    }

    /// Takes in a message, or refuses it as a whole.
    pub fn receive(
        &mut self,
        coverage: Coverage,
        now: Duration,
        numbering: &MachineNumbering,
        leader: Option<KnownLeader<'_>>,
    ) -> Result<&Coverage, CoverageError> {
        if let Err(fault) = self.check(&coverage, numbering, leader) {
            self.refused += 1;
            return Err(fault);
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
            let shown = coverage.host.chars().take(MAX_NAME_BYTES).collect();
            return Err(CoverageError::UnknownPeer(shown));
        };
        if coverage.peers.len() > MAX_PEERS || coverage.peers.iter().any(|name| name.len() > MAX_NAME_BYTES) {
            return Err(CoverageError::Malformed("it names too many peers".into()));
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
            return Err(CoverageError::NotTheHolder {
                host: coverage.host.clone(),
                token: coverage.token,
                holder: leader.host.into(),
            });
        }
        if coverage.numbering > numbering.revision() {
            return Err(CoverageError::NumberingAhead);
        }
        let named_machines = &coverage.reporting | &coverage.reached;
        let is_unknown =
            |number: &u32| coverage.numbering == numbering.revision() && numbering.name(*number).is_none();
        match named_machines.iter().filter(is_unknown).count() {
            0 => Ok(()),
            count => Err(CoverageError::UnknownMachines(count as u64)),
        }
    }

    /// The peers' coverage that is recent enough to count.
    pub fn fresh(&self, now: Duration) -> impl Iterator<Item = &Coverage> {
        let latest = self.peers.values().filter_map(|peer| peer.latest.as_ref());
        let is_fresh =
            move |received: &&ReceivedCoverage| now.saturating_sub(received.received_at) < COVERAGE_TIMEOUT;
        latest.filter(is_fresh).map(|received| &received.coverage)
    }

    /// Whether the coverage of every peer is recent.
    pub fn has_complete_coverage(&self, now: Duration) -> bool {
        self.fresh(now).count() == self.peers.len()
    }

    /// Whether a peer receives the machine's heartbeats, according to its recent coverage.
    pub fn reports_to_a_peer(&self, name: &str, numbering: &MachineNumbering, now: Duration) -> bool {
        let Some(number) = numbering.number(name) else { return false };
        self.fresh(now).any(|coverage| {
            coverage.reporting.contains(number) && numbering.meant(number, coverage.numbering)
        })
    }

    /// Whether the coverage of every peer is recent and shows that the peer receives no heartbeats.
    pub fn no_peer_receives_heartbeats(&self, now: Duration) -> bool {
        self.has_complete_coverage(now) && self.fresh(now).all(|coverage| coverage.reporting.is_empty())
    }
}
