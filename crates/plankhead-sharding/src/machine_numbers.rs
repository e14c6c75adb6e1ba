//! Numbers of machines within one stream of messages from a holder to the leader, and sets of
//! machines as compressed bitmaps of these numbers. A holder tells by them which machines sent
//! heartbeats without any change.

use plankhead_reachability::bitmap::{self, BitmapError};
use roaring::RoaringBitmap;
use std::collections::HashMap;
use std::sync::Arc;

/// The most machines that one stream numbers.
pub const MAX_MACHINES: usize = 16_384;
/// The most bytes of an encoded bitmap; one of [`MAX_MACHINES`] machines takes less.
pub const MAX_BITMAP_BYTES: usize = 16 * 1024;

/// The holder's side: the numbers of machines, assigned with the first status sent of each.
#[derive(Debug, Default)]
pub struct MachineNumbers {
    by_name: HashMap<Arc<str>, u32>,
    next: u32,
}

impl MachineNumbers {
    /// The number of a machine, a new one if it has none. `None`: the stream is full, and a new
    /// one must begin.
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

    /// The number of a machine, if it has one.
    pub fn get(&self, machine: &str) -> Option<u32> {
        self.by_name.get(machine).copied()
    }
}

/// The leader's side: the machines behind a holder's numbers.
#[derive(Debug, Default)]
pub struct NumberedMachines(HashMap<u32, Arc<str>>);

impl NumberedMachines {
    /// Takes in the number that the holder has assigned to a machine.
    pub fn insert(&mut self, number: u32, machine: Arc<str>) {
        if self.0.len() < MAX_MACHINES || self.0.contains_key(&number) {
            self.0.insert(number, machine);
        }
    }

    /// The machines of a bitmap; numbers without a machine are skipped.
    pub fn machines<'a>(&'a self, numbers: &'a RoaringBitmap) -> impl Iterator<Item = &'a Arc<str>> + 'a {
        numbers.iter().filter_map(|number| self.0.get(&number))
    }
}

/// Decodes a set of numbers.
pub fn decode(bytes: &[u8]) -> Result<RoaringBitmap, BitmapError> {
    let numbers = bitmap::decode(bytes, MAX_BITMAP_BYTES)?;
    if numbers.len() > MAX_MACHINES as u64 {
        return Err(BitmapError::TooLarge);
    }
    Ok(numbers)
}
