//! Which machines each controller hears and reaches, as the controllers tell each other.
//!
//! Coverage is a hint for service: who should lead, and whether a silence is the worker's
//! or our own. It is never evidence that an attempt is gone.

use crate::mode::Mode;
use crate::numbering::{MachineNumbering, MAX_NUMBER};
use roaring::RoaringBitmap;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use thiserror::Error;

/// What others told this long ago counts no more.
pub const COVERAGE_TIMEOUT: Duration = Duration::from_secs(6);
/// Bytes of one bitmap: four thousand machines need a few hundred to eight thousand.
pub const MAX_BITMAP_BYTES: usize = 64 * 1024;
const MAX_NAME_BYTES: usize = 200;
const MAX_PEERS: usize = 64;
/// Former starts of a peer that are remembered.
const FORMER_BOOTS: usize = 8;

/// What one controller tells the others.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Coverage {
    pub host: String,
    /// Tells one start of the sender from another.
    pub boot: u64,
    /// Rises with every message of one start.
    pub sequence: u64,
    /// The token under which the sender leads, or 0.
    pub token: u64,
    pub mode: Mode,
    /// The numbering's revision that the bitmaps are over.
    pub numbering: u64,
    /// Machines whose reports reach the sender itself.
    pub heard: RoaringBitmap,
    /// Machines that confirmed an answer or a command of the sender.
    pub reached: RoaringBitmap,
    /// Machines that the sender hears or should hear.
    pub expected: u32,
    /// Peers whose heartbeats reach the sender.
    pub peers: Vec<String>,
    /// To whom the sender is handing its lease over.
    pub successor: Option<String>,
}

/// Why a message was refused. Nothing is changed by it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CoverageError {
    #[error("it is larger than {MAX_BITMAP_BYTES} bytes a bitmap")]
    TooLarge,
    #[error("it is malformed: {0}")]
    Malformed(String),
    #[error("{0:?} is no controller of this cluster")]
    UnknownPeer(String),
    #[error("it claims this node's own name")]
    OwnName,
    #[error("{0} has told something later already")]
    Outdated(String),
    #[error("{host} claims the lease under {token}, which {holder} holds")]
    NotTheHolder { host: String, token: u64, holder: String },
    #[error("it is over numbers of machines that are not read yet")]
    NumberingAhead,
    #[error("it names {0} machines that nobody knows")]
    UnknownMachines(u64),
}

/// The holder of the lease, as far as this node knows.
#[derive(Debug, Clone, Copy)]
pub struct KnownLeader<'a> {
    pub host: &'a str,
    pub token: u64,
}

/// A bitmap as bytes.
pub fn encode_bitmap(bitmap: &RoaringBitmap) -> Vec<u8> {
    let mut compressed = bitmap.clone();
    compressed.optimize();
    let mut bytes = Vec::with_capacity(compressed.serialized_size());
    // Writing into memory can't fail.
    let _ = compressed.serialize_into(&mut bytes);
    bytes
}

pub fn decode_bitmap(bytes: &[u8]) -> Result<RoaringBitmap, CoverageError> {
    if bytes.len() > MAX_BITMAP_BYTES {
        return Err(CoverageError::TooLarge);
    }
    let malformed = |error: std::io::Error| CoverageError::Malformed(error.to_string());
    let bitmap = RoaringBitmap::deserialize_from(bytes).map_err(malformed)?;
    if bitmap.max().is_some_and(|number| number >= MAX_NUMBER) {
        return Err(CoverageError::Malformed("a number is out of range".into()));
    }
    Ok(bitmap)
}

#[derive(Debug)]
struct ReceivedCoverage {
    at: Duration,
    coverage: Coverage,
}

#[derive(Debug, Default)]
struct Peer {
    latest: Option<ReceivedCoverage>,
    former_boots: VecDeque<u64>,
}

/// The latest of each peer.
#[derive(Debug)]
pub struct CoverageTable {
    own: String,
    peers: BTreeMap<String, Peer>,
    refused: u64,
}

impl CoverageTable {
    pub fn new(own: &str, peers: &[String]) -> Self {
        let peers = peers.iter().map(|peer| (peer.clone(), Peer::default())).collect();
        Self { own: own.into(), peers, refused: 0 }
    }

    /// How many messages were refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// A message was refused before it came here.
    pub fn count_refused(&mut self) {
        self.refused += 1;
    }

    /// Takes a message in, or refuses it as a whole.
    pub fn receive(
        &mut self,
        coverage: Coverage,
        now: Duration,
        numbering: &MachineNumbering,
        holder: Option<KnownLeader<'_>>,
    ) -> Result<&Coverage, CoverageError> {
        if let Err(fault) = self.check(&coverage, numbering, holder) {
            self.refused += 1;
            return Err(fault);
        }
        let peer = self.peers.entry(coverage.host.clone()).or_default();
        if let Some(told) = peer.latest.as_ref().filter(|told| told.coverage.boot != coverage.boot) {
            peer.former_boots.push_back(told.coverage.boot);
            if peer.former_boots.len() > FORMER_BOOTS {
                peer.former_boots.pop_front();
            }
        }
        Ok(&peer.latest.insert(ReceivedCoverage { at: now, coverage }).coverage)
    }

    fn check(
        &self,
        coverage: &Coverage,
        numbering: &MachineNumbering,
        holder: Option<KnownLeader<'_>>,
    ) -> Result<(), CoverageError> {
        if coverage.host == self.own {
            return Err(CoverageError::OwnName);
        }
        let Some(peer) = self.peers.get(&coverage.host) else {
            let shown = coverage.host.chars().take(MAX_NAME_BYTES).collect();
            return Err(CoverageError::UnknownPeer(shown));
        };
        if coverage.peers.len() > MAX_PEERS || coverage.peers.iter().any(|name| name.len() > MAX_NAME_BYTES) {
            return Err(CoverageError::Malformed("it names too many peers".into()));
        }
        let outdated = peer.former_boots.contains(&coverage.boot)
            || peer.latest.as_ref().is_some_and(|told| {
                told.coverage.boot == coverage.boot && told.coverage.sequence >= coverage.sequence
            });
        if outdated {
            return Err(CoverageError::Outdated(coverage.host.clone()));
        }
        if let Some(holder) = holder.filter(|h| h.token == coverage.token && h.host != coverage.host) {
            return Err(CoverageError::NotTheHolder {
                host: coverage.host.clone(),
                token: coverage.token,
                holder: holder.host.into(),
            });
        }
        if coverage.numbering > numbering.revision() {
            return Err(CoverageError::NumberingAhead);
        }
        let named = &coverage.heard | &coverage.reached;
        let unknown =
            |number: &u32| coverage.numbering == numbering.revision() && numbering.name(*number).is_none();
        match named.iter().filter(unknown).count() {
            0 => Ok(()),
            count => Err(CoverageError::UnknownMachines(count as u64)),
        }
    }

    /// What peers told lately.
    pub fn fresh(&self, now: Duration) -> impl Iterator<Item = &Coverage> {
        let told = self.peers.values().filter_map(|peer| peer.latest.as_ref());
        told.filter(move |told| now.saturating_sub(told.at) < COVERAGE_TIMEOUT).map(|told| &told.coverage)
    }

    /// Whether every peer has told lately.
    pub fn complete(&self, now: Duration) -> bool {
        self.fresh(now).count() == self.peers.len()
    }

    /// Whether some peer told lately that it hears the machine.
    pub fn heard_by_a_peer(&self, name: &str, numbering: &MachineNumbering, now: Duration) -> bool {
        let Some(number) = numbering.number(name) else { return false };
        self.fresh(now).any(|c| c.heard.contains(number) && numbering.meant(number, c.numbering))
    }

    /// Whether every peer told lately that it hears no machine.
    pub fn nobody_hears(&self, now: Duration) -> bool {
        self.complete(now) && self.fresh(now).all(|coverage| coverage.heard.is_empty())
    }
}
