//! Which machines report although nothing about them is new, as bitmaps of numbers that
//! holder and leader agree on within one stream of messages.

use roaring::RoaringBitmap;
use std::collections::HashMap;
use std::sync::Arc;
use thiserror::Error;

/// Machines that one stream may number.
pub const MAX_MACHINES: usize = 16_384;
/// A bitmap of as many machines takes less.
pub const MAX_BITMAP_BYTES: usize = 16 * 1024;

#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum BitmapError {
    #[error("a bitmap that is too large")]
    TooLarge,
    #[error("not a bitmap")]
    Malformed,
}

/// The holder's side: numbers for machines, given with the first news of each.
#[derive(Debug, Default)]
pub struct MachineNumbers {
    by_name: HashMap<Arc<str>, u32>,
    next: u32,
}

impl MachineNumbers {
    /// The number of a machine, a new one if it has none. `None`: the stream is full and is
    /// to be begun anew.
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

    pub fn get(&self, machine: &str) -> Option<u32> {
        self.by_name.get(machine).copied()
    }
}

/// The leader's side: the machines behind a holder's numbers.
#[derive(Debug, Default)]
pub struct NumberedMachines(HashMap<u32, Arc<str>>);

impl NumberedMachines {
    pub fn assign(&mut self, number: u32, machine: Arc<str>) {
        if self.0.len() < MAX_MACHINES || self.0.contains_key(&number) {
            self.0.insert(number, machine);
        }
    }

    /// The machines of a bitmap; numbers that nobody has been told of are passed over.
    pub fn of<'a>(&'a self, numbers: &'a RoaringBitmap) -> impl Iterator<Item = &'a Arc<str>> + 'a {
        numbers.iter().filter_map(|number| self.0.get(&number))
    }
}

pub fn encode(numbers: &RoaringBitmap) -> Vec<u8> {
    let mut numbers = numbers.clone();
    numbers.optimize();
    let mut bytes = Vec::with_capacity(numbers.serialized_size());
    // Writing to memory does not fail.
    let _ = numbers.serialize_into(&mut bytes);
    bytes
}

pub fn decode(bytes: &[u8]) -> Result<RoaringBitmap, BitmapError> {
    if bytes.len() > MAX_BITMAP_BYTES {
        return Err(BitmapError::TooLarge);
    }
    let numbers = RoaringBitmap::deserialize_from(bytes).map_err(|_| BitmapError::Malformed)?;
    if numbers.len() > MAX_MACHINES as u64 {
        return Err(BitmapError::TooLarge);
    }
    Ok(numbers)
}
