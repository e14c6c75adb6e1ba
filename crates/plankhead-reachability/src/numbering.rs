//! The numbering of machines, which is stored in the state service so that the bitmaps of different nodes
//! refer to the same machines.
//!
//! The names of machines are stored in pages, and a machine's number follows from its name's position.
//! Every node reads the pages. Only the leader writes them, one page at a time, on condition that it still
//! holds its lease and that the page has not changed. The number of a removed machine is assigned again.
//! A node remembers the revision at which it first read each assignment, so that a bitmap that refers to an
//! earlier numbering is not misread.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use thiserror::Error;

/// The prefix of the pages' keys.
pub const PREFIX: &str = "machines/";
/// The format in which this version writes pages, and the latest that it reads.
const FORMAT: u32 = 1;
/// The number of machine numbers reserved for a page. The size limit of values may allow fewer names.
const PAGE_NUMBERS: u32 = 1024;
/// The maximum number of pages, which is enough for more than 100,000 machines.
const MAX_PAGES: u32 = 4096;
/// The upper bound of numbers, exclusive.
pub const MAX_NUMBER: u32 = PAGE_NUMBERS * MAX_PAGES;
/// The number of bytes allowed for the rest of a page, apart from its names.
const PAGE_OVERHEAD: usize = 64;
/// The number of bytes in a page for each name, in addition to the name itself.
const NAME_OVERHEAD: usize = 3;
/// The maximum length of a machine's name, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// A machine's name.
pub type MachineName = Arc<str>;

/// The reason why a page can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NumberingPageError {
    /// The key is not the key of a page.
    #[error("{0} is not the key of a page of machine names")]
    Key(String),
    /// The value can't be decoded.
    #[error("{key} can't be decoded: {reason}")]
    Value {
        /// The page's key.
        key: String,
        /// The reason in words.
        reason: String,
    },
    /// The page was written by a later version, in a later format.
    #[error("{key} has format {format}, which is later than format {FORMAT} of this version")]
    Format {
        /// The page's key.
        key: String,
        /// The page's format.
        format: u32,
    },
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredPage {
    format: u32,
    names: Vec<Option<String>>,
}

/// A write of a page, on condition that the page has the given revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PageWrite {
    /// The page's key.
    pub key: String,
    /// The revision that the key must have, or 0 if it must not exist.
    pub revision: u64,
    /// The new value.
    pub value: String,
}

#[derive(Debug, Default)]
struct Page {
    revision: u64,
    names: Vec<Option<MachineName>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Assignment {
    number: u32,
    /// The page's revision when this node first read the name at this position.
    since: u64,
}

/// The numbering of machines, as read by this node.
#[derive(Debug, Default)]
pub struct MachineNumbering {
    pages: BTreeMap<u32, Page>,
    /// The numbers of pages that can't be decoded. They are never overwritten.
    unreadable: BTreeSet<u32>,
    by_name: HashMap<MachineName, Assignment>,
    revision: u64,
}

fn page_key(page: u32) -> String {
    format!("{PREFIX}{page:04}")
}

fn page_number(key: &str) -> Option<u32> {
    key.strip_prefix(PREFIX)?.parse().ok().filter(|page| *page < MAX_PAGES)
}

impl MachineNumbering {
    /// Returns the highest revision of the pages that were read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns how many machines have a number.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether no machine has a number.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the number of a machine, or `None` if it has none.
    pub fn number(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).map(|assignment| assignment.number)
    }

    /// Returns the name of the machine that has this number.
    pub fn name(&self, number: u32) -> Option<&MachineName> {
        let page = self.pages.get(&(number / PAGE_NUMBERS))?;
        page.names.get((number % PAGE_NUMBERS) as usize)?.as_ref()
    }

    /// Returns whether the machine that has this number had it already at this revision of the numbering. If
    /// not, the number in a bitmap of that revision refers to another machine.
    pub fn was_assigned_at(&self, number: u32, revision: u64) -> bool {
        let assignment = self.name(number).and_then(|name| self.by_name.get(name));
        assignment.is_some_and(|assignment| assignment.since <= revision)
    }

    /// Applies a page as read from the state service. A revision that is not later than the known one has no
    /// effect.
    pub fn apply_page(&mut self, key: &str, value: &str, revision: u64) -> Result<(), NumberingPageError> {
        let number = page_number(key).ok_or_else(|| NumberingPageError::Key(key.into()))?;
        match parse(key, value) {
            Ok(names) => {
                self.unreadable.remove(&number);
                self.replace(number, names, revision);
                Ok(())
            }
            Err(error) => {
                self.unreadable.insert(number);
                Err(error)
            }
        }
    }

    fn replace(&mut self, number: u32, names: Vec<Option<MachineName>>, revision: u64) {
        if self.pages.get(&number).is_some_and(|page| page.revision >= revision) {
            return;
        }
        let old = self.pages.insert(number, Page { revision, names: names.clone() }).unwrap_or_default();
        let first = number * PAGE_NUMBERS;
        for (offset, name) in (0..).zip(old.names) {
            let Some(name) = name else { continue };
            let stays = names.get(offset as usize).is_some_and(|now| now.as_ref() == Some(&name));
            let here = self.by_name.get(&name).is_some_and(|assignment| assignment.number == first + offset);
            if here && !stays {
                self.by_name.remove(&name);
            }
        }
        for (offset, name) in (0..).zip(names) {
            let Some(name) = name else { continue };
            self.by_name.entry(name).or_insert(Assignment { number: first + offset, since: revision });
        }
        self.revision = self.revision.max(revision);
    }

    /// Returns the next write of a page that is needed so that these machines, and no others, have numbers.
    /// Only one page is written at a time: the next write is returned once this one has been applied. A
    /// page's value has at most `value_bytes` bytes.
    pub fn next_write(&self, machines: &BTreeSet<MachineName>, value_bytes: usize) -> Option<PageWrite> {
        let missing: Vec<&MachineName> = machines
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
        let names = add_names(kept, missing.into_iter(), value_bytes);
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

    fn page_with_room(&self, name: &MachineName, value_bytes: usize) -> Option<(u32, Option<&Page>)> {
        let fits = |page: &Page| has_room(&page.names, name, value_bytes);
        if let Some((number, page)) = self.pages.iter().find(|(_, page)| fits(page)) {
            return Some((*number, Some(page)));
        }
        let free = |page: &u32| !self.pages.contains_key(page) && !self.unreadable.contains(page);
        (0..MAX_PAGES).find(free).map(|number| (number, None))
    }
}

fn parse(key: &str, value: &str) -> Result<Vec<Option<MachineName>>, NumberingPageError> {
    let error = |reason: String| NumberingPageError::Value { key: key.into(), reason };
    let stored: StoredPage = serde_json::from_str(value).map_err(|cause| error(cause.to_string()))?;
    if stored.format > FORMAT {
        return Err(NumberingPageError::Format { key: key.into(), format: stored.format });
    }
    if stored.names.len() > PAGE_NUMBERS as usize {
        return Err(error("the page has too many names".into()));
    }
    if stored.names.iter().flatten().any(|name| name.len() > MAX_NAME_BYTES) {
        return Err(error("a name in the page is too long".into()));
    }
    Ok(stored.names.into_iter().map(|name| name.map(MachineName::from)).collect())
}

fn page_bytes(names: &[Option<MachineName>]) -> usize {
    let each = |name: &Option<MachineName>| name.as_ref().map_or(2, |name| name.len()) + NAME_OVERHEAD;
    PAGE_OVERHEAD + names.iter().map(each).sum::<usize>()
}

fn has_room(names: &[Option<MachineName>], name: &MachineName, value_bytes: usize) -> bool {
    let has_free_position = names.iter().any(Option::is_none) || names.len() < PAGE_NUMBERS as usize;
    has_free_position && page_bytes(names) + name.len() + NAME_OVERHEAD <= value_bytes
}

/// Adds as many names as fit, first at free positions and then at the end.
fn add_names<'a>(
    mut names: Vec<Option<MachineName>>,
    missing: impl Iterator<Item = &'a MachineName>,
    value_bytes: usize,
) -> Vec<Option<MachineName>> {
    for name in missing {
        if !has_room(&names, name, value_bytes) {
            break;
        }
        match names.iter_mut().find(|position| position.is_none()) {
            Some(position) => *position = Some(name.clone()),
            None => names.push(Some(name.clone())),
        }
    }
    names
}
