//! Numbers for the machines in a stream of messages from a holder to the leader. A holder reports
//! machines whose heartbeats contained no change as a compressed bitmap of these numbers.

use plankhead_reachability::bitmap::{self, BitmapError};
use roaring::RoaringBitmap;
use std::collections::HashMap;
use std::sync::Arc;

/// The maximum number of machines that are numbered in one stream.
pub const MAX_MACHINES: usize = 16_384;
/// The maximum size of an encoded bitmap, in bytes. A bitmap of [`MAX_MACHINES`] machines is smaller.
pub const MAX_BITMAP_BYTES: usize = 16 * 1024;

/// The holder's side: the numbers of machines. A machine gets its number with the first status that
/// is sent for it.
#[derive(Debug, Default)]
pub struct MachineNumbers {
    by_name: HashMap<Arc<str>, u32>,
    next: u32,
}

impl MachineNumbers {
    /// Returns the number of a machine, and assigns one if it has none. Returns `None` if the stream
    /// has no numbers left and a new stream must begin.
    pub fn assign(&mut self, machine: &Arc<str>) -> Option<u32> {
        if let Some(number) = self.by_name.get(machine) {
            return Some(*number);
        }
        if self.by_name.len() >= MAX_MACHINES {
            return None;
        }
        let number = self.next;
        self.next += 1;
        self.by_name.insert(machine.clone(), number);
        Some(number)
    }

    /// Returns the number of a machine, if it has one.
    pub fn get(&self, machine: &str) -> Option<u32> {
        self.by_name.get(machine).copied()
    }
}

/// The leader's side: the machines by the numbers that a holder has assigned.
#[derive(Debug, Default)]
pub struct NumberedMachines(HashMap<u32, Arc<str>>);

impl NumberedMachines {
    /// Inserts a machine with the number that the holder has assigned to it. Further numbers are
    /// ignored once [`MAX_MACHINES`] are known.
    pub fn insert(&mut self, number: u32, machine: Arc<str>) {
        if self.0.len() < MAX_MACHINES || self.0.contains_key(&number) {
            self.0.insert(number, machine);
        }
    }

    /// Returns the machines with the given numbers. Unknown numbers are skipped.
    pub fn machines<'a>(&'a self, numbers: &'a RoaringBitmap) -> impl Iterator<Item = &'a Arc<str>> + 'a {
        numbers.iter().filter_map(|number| self.0.get(&number))
    }
}

/// Decodes a bitmap of machine numbers.
pub fn decode(bytes: &[u8]) -> Result<RoaringBitmap, BitmapError> {
    let numbers = bitmap::decode(bytes, MAX_BITMAP_BYTES)?;
    if numbers.len() > MAX_MACHINES as u64 {
        return Err(BitmapError::TooLarge);
    }
    Ok(numbers)
}
