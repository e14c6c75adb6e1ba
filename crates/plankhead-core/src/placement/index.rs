//! Numbers in place of the names that a pass compares over and over.

use crate::jobs::job::JobSpec;
use crate::protocol::Pool;
use std::collections::HashMap;
use std::sync::Arc;

/// Images told apart at most; past that, all are numbered anew.
const MAX_IMAGES: usize = 10_000;

/// Pools, zones and images by number.
#[derive(Debug, Default)]
pub struct PlacementIndex {
    pools: Vec<Pool>,
    zones: Vec<Arc<str>>,
    images: HashMap<Arc<str>, u32>,
    /// Of each image, in GB.
    sizes: Vec<f64>,
}

impl PlacementIndex {
    pub fn pool_index(&mut self, pool: &Pool) -> usize {
        self.pools.iter().position(|p| p == pool).unwrap_or_else(|| {
            self.pools.push(pool.clone());
            self.pools.len() - 1
        })
    }

    pub fn zone_index(&mut self, zone: &str) -> usize {
        self.zones.iter().position(|z| **z == *zone).unwrap_or_else(|| {
            self.zones.push(zone.into());
            self.zones.len() - 1
        })
    }

    pub fn zone_name(&self, zone: usize) -> Arc<str> {
        self.zones.get(zone).cloned().unwrap_or_else(|| "".into())
    }

    /// The image's number, or None if it is new and there is no room.
    pub fn image_index(&mut self, name: &str, gb: f64) -> Option<u32> {
        if let Some(number) = self.images.get(name) {
            return Some(*number);
        }
        if self.sizes.len() >= MAX_IMAGES {
            return None;
        }
        self.images.insert(name.into(), self.sizes.len() as u32);
        self.sizes.push(gb);
        Some(self.sizes.len() as u32 - 1)
    }

    pub fn forget_images(&mut self) {
        self.images.clear();
        self.sizes.clear();
    }

    pub fn image_size_gb(&self, image: u32) -> f64 {
        self.sizes.get(image as usize).copied().unwrap_or(0.0)
    }

    /// By pool: whether the job may use it.
    pub fn allowed_pools(&self, spec: &JobSpec) -> Vec<bool> {
        let allows = |pool: &Pool| {
            (spec.allows_spot || !pool.spot)
                && spec
                    .machine_types
                    .as_ref()
                    .is_none_or(|machine_types| machine_types.contains(&pool.machine_type))
                && spec.zone.as_ref().is_none_or(|z| *z == pool.zone)
        };
        self.pools.iter().map(allows).collect()
    }
}
