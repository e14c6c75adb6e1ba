//! Numbers of machines, agreed on through the state service, so that bitmaps of different
//! nodes mean the same machines.
//!
//! Pages hold names by position. The leader alone writes them, one page at a time, under
//! the condition of its lease and of the page's revision; every node reads them. A number
//! is free again once its machine is gone, and each name has the revision at which it got
//! its number, so that a bitmap over an older state is not misread.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use thiserror::Error;

/// Where pages are kept.
pub const PREFIX: &str = "machines/";
/// What this version writes and reads.
const FORMAT: u32 = 1;
/// Numbers set apart for a page, of which the limits of values allow fewer.
const PAGE_NUMBERS: u32 = 1024;
/// Pages at the most: numbers for a hundred thousand machines and more.
const MAX_PAGES: u32 = 4096;
/// Numbers at the most.
pub const MAX_NUMBER: u32 = PAGE_NUMBERS * MAX_PAGES;
/// Bytes of a page beside its names.
const PAGE_BYTES: usize = 64;
/// Bytes of a name's place beside the name.
const NAME_BYTES: usize = 3;
const MAX_NAME_BYTES: usize = 200;

pub type Name = Arc<str>;

#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NumberingPageError {
    #[error("{0} is not the key of a page of machines")]
    Key(String),
    #[error("{key} can't be read: {reason}")]
    Value { key: String, reason: String },
    #[error("{key} has format {format}, which is later than this version's")]
    Format { key: String, format: u32 },
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredPage {
    format: u32,
    names: Vec<Option<String>>,
}

/// A page to be written, under the condition of its revision (0: it is new).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PageWrite {
    pub key: String,
    pub revision: u64,
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
    /// The page's revision when the name was first seen there.
    since: u64,
}

/// The numbering as this node has read it.
#[derive(Debug, Default)]
pub struct MachineNumbering {
    pages: BTreeMap<u32, Page>,
    /// Pages that can't be read: left alone.
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

    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    pub fn number(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).map(|numbered| numbered.number)
    }

    pub fn name(&self, number: u32) -> Option<&Name> {
        let page = self.pages.get(&(number / PAGE_NUMBERS))?;
        page.names.get((number % PAGE_NUMBERS) as usize)?.as_ref()
    }

    /// Whether a bitmap over the numbering as it was at that revision can have meant the
    /// machine that has the number now.
    pub fn meant(&self, number: u32, revision: u64) -> bool {
        let numbered = self.name(number).and_then(|name| self.by_name.get(name));
        numbered.is_some_and(|numbered| numbered.since <= revision)
    }

    /// Takes in a page as the state service has it.
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

    /// The next page to write, so that all these machines have a number, and those that
    /// are gone have none. One page at a time: the next call goes on.
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
    let each = |name: &Option<Name>| name.as_ref().map_or(2, |name| name.len()) + NAME_BYTES;
    PAGE_BYTES + names.iter().map(each).sum::<usize>()
}

fn has_room(names: &[Option<Name>], name: &Name, value_bytes: usize) -> bool {
    let place = names.iter().any(Option::is_none) || names.len() < PAGE_NUMBERS as usize;
    place && bytes(names) + name.len() + NAME_BYTES <= value_bytes
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
