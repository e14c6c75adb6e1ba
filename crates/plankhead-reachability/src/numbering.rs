//! Numbers of machines, agreed on through the state service, so that the bitmaps of different
//! nodes refer to the same machines.
//!
//! Stored pages hold names by position. Only the leader writes them, one page at a time, on the
//! condition of its lease and of the page's revision; every node reads them. A number is free
//! again once its machine is gone, and each name keeps the revision at which it got its number,
//! so that a bitmap over an older state is not misread.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use thiserror::Error;

/// The prefix of the keys of all pages.
pub const PREFIX: &str = "machines/";
/// The format that this version writes and reads.
const FORMAT: u32 = 1;
/// Numbers reserved for a page; the size limit of values may allow fewer names.
const PAGE_NUMBERS: u32 = 1024;
/// The most pages: enough for more than a hundred thousand machines.
const MAX_PAGES: u32 = 4096;
/// The bound that all numbers are below.
pub const MAX_NUMBER: u32 = PAGE_NUMBERS * MAX_PAGES;
/// Bytes of a page beside its names.
const PAGE_OVERHEAD: usize = 64;
/// Bytes that a name takes in a page, beside the name.
const NAME_OVERHEAD: usize = 3;
/// The longest name of a machine, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// A machine's name.
pub type Name = Arc<str>;

/// Why a page can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NumberingPageError {
    /// The key is not that of a page.
    #[error("{0} is not the key of a page of machines")]
    Key(String),
    /// The value does not decode.
    #[error("{key} can't be read: {reason}")]
    Value {
        /// The page's key.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A later version wrote the page.
    #[error("{key} has format {format}, which is later than this version's")]
    Format {
        /// The page's key.
        key: String,
        /// The format found.
        format: u32,
    },
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredPage {
    format: u32,
    names: Vec<Option<String>>,
}

/// A page to be written, on the condition that it has the given revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PageWrite {
    /// The page's key.
    pub key: String,
    /// The revision that the key must have; 0: it must not exist.
    pub revision: u64,
    /// The new value.
    pub value: String,
}

#[derive(Debug, Default)]
struct Page {
    revision: u64,
    names: Vec<Option<Name>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Numbered {
    number: u32,
    /// The page's revision when this node first read the name there.
    since: u64,
}

/// The numbering as this node has read it.
#[derive(Debug, Default)]
pub struct MachineNumbering {
    pages: BTreeMap<u32, Page>,
    /// Pages that can't be decoded, which are never written.
    unreadable: BTreeSet<u32>,
    by_name: HashMap<Name, Numbered>,
    revision: u64,
}

fn page_key(page: u32) -> String {
    format!("{PREFIX}{page:04}")
}

fn page_of(key: &str) -> Option<u32> {
    key.strip_prefix(PREFIX)?.parse().ok().filter(|page| *page < MAX_PAGES)
}

impl MachineNumbering {
    /// The highest revision of any page that was read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The number of machines that have a number.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether no machine has a number.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// The number of a machine.
    pub fn number(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).map(|numbered| numbered.number)
    }

    /// The machine that has this number.
    pub fn name(&self, number: u32) -> Option<&Name> {
        let page = self.pages.get(&(number / PAGE_NUMBERS))?;
        page.names.get((number % PAGE_NUMBERS) as usize)?.as_ref()
    }

    /// Whether a bitmap over the numbering as of that revision can refer to the machine that has
    /// the number now.
    pub fn meant(&self, number: u32, revision: u64) -> bool {
        let numbered = self.name(number).and_then(|name| self.by_name.get(name));
        numbered.is_some_and(|numbered| numbered.since <= revision)
    }

    /// Takes in a page as it is stored.
    pub fn read(&mut self, key: &str, value: &str, revision: u64) -> Result<(), NumberingPageError> {
        let number = page_of(key).ok_or_else(|| NumberingPageError::Key(key.into()))?;
        match parse(key, value) {
            Ok(names) => {
                self.unreadable.remove(&number);
                self.replace(number, names, revision);
                Ok(())
            }
            Err(fault) => {
                self.unreadable.insert(number);
                Err(fault)
            }
        }
    }

    fn replace(&mut self, number: u32, names: Vec<Option<Name>>, revision: u64) {
        if self.pages.get(&number).is_some_and(|page| page.revision >= revision) {
            return;
        }
        let old = self.pages.insert(number, Page { revision, names: names.clone() }).unwrap_or_default();
        let first = number * PAGE_NUMBERS;
        for (offset, name) in (0..).zip(old.names) {
            let Some(name) = name else { continue };
            let stays = names.get(offset as usize).is_some_and(|now| now.as_ref() == Some(&name));
            let here = self.by_name.get(&name).is_some_and(|numbered| numbered.number == first + offset);
            if here && !stays {
                self.by_name.remove(&name);
            }
        }
        for (offset, name) in (0..).zip(names) {
            let Some(name) = name else { continue };
            self.by_name.entry(name).or_insert(Numbered { number: first + offset, since: revision });
        }
        self.revision = self.revision.max(revision);
    }

    /// The next page to write so that these machines and no others have a number. One page at a
    /// time: the next call continues.
    pub fn next_write(&self, machines: &BTreeSet<Name>, value_bytes: usize) -> Option<PageWrite> {
        let missing: Vec<&Name> = machines
            .iter()
            .filter(|name| name.len() <= MAX_NAME_BYTES && !self.by_name.contains_key(*name))
            .collect();
        let stale = |page: &Page| page.names.iter().flatten().any(|name| !machines.contains(name));
        let changed = self.pages.iter().find(|(_, page)| stale(page));
        let (number, page) = match changed {
            Some((number, page)) => (*number, Some(page)),
            None if missing.is_empty() => return None,
            None => self.page_with_room(missing[0], value_bytes)?,
        };
        let kept = page.map(|page| page.names.clone()).unwrap_or_default();
        let kept = kept.into_iter().map(|name| name.filter(|name| machines.contains(name))).collect();
        let names = fill(kept, missing.into_iter(), value_bytes);
        let stored = StoredPage {
            format: FORMAT,
            names: names.into_iter().map(|name| name.map(|name| name.to_string())).collect(),
        };
        Some(PageWrite {
            key: page_key(number),
            revision: page.map_or(0, |page| page.revision),
            value: serde_json::to_string(&stored).ok()?,
        })
    }

    fn page_with_room(&self, name: &Name, value_bytes: usize) -> Option<(u32, Option<&Page>)> {
        let fits = |page: &Page| has_room(&page.names, name, value_bytes);
        if let Some((number, page)) = self.pages.iter().find(|(_, page)| fits(page)) {
            return Some((*number, Some(page)));
        }
        let free = |page: &u32| !self.pages.contains_key(page) && !self.unreadable.contains(page);
        (0..MAX_PAGES).find(free).map(|number| (number, None))
    }
}

fn parse(key: &str, value: &str) -> Result<Vec<Option<Name>>, NumberingPageError> {
    let fault = |reason: String| NumberingPageError::Value { key: key.into(), reason };
    let stored: StoredPage = serde_json::from_str(value).map_err(|error| fault(error.to_string()))?;
    if stored.format > FORMAT {
        return Err(NumberingPageError::Format { key: key.into(), format: stored.format });
    }
    if stored.names.len() > PAGE_NUMBERS as usize {
        return Err(fault("it has too many names".into()));
    }
    if stored.names.iter().flatten().any(|name| name.len() > MAX_NAME_BYTES) {
        return Err(fault("a name is too long".into()));
    }
    Ok(stored.names.into_iter().map(|name| name.map(Name::from)).collect())
}

fn bytes(names: &[Option<Name>]) -> usize {
    let each = |name: &Option<Name>| name.as_ref().map_or(2, |name| name.len()) + NAME_OVERHEAD;
    PAGE_OVERHEAD + names.iter().map(each).sum::<usize>()
}

fn has_room(names: &[Option<Name>], name: &Name, value_bytes: usize) -> bool {
    let place = names.iter().any(Option::is_none) || names.len() < PAGE_NUMBERS as usize;
    place && bytes(names) + name.len() + NAME_OVERHEAD <= value_bytes
}

/// Puts as many names as fit into free places, then behind the others.
fn fill<'a>(
    mut names: Vec<Option<Name>>,
    missing: impl Iterator<Item = &'a Name>,
    value_bytes: usize,
) -> Vec<Option<Name>> {
    for name in missing {
        if !has_room(&names, name, value_bytes) {
            break;
        }
        match names.iter_mut().find(|place| place.is_none()) {
            Some(place) => *place = Some(name.clone()),
            None => names.push(Some(name.clone())),
        }
    }
    names
}
