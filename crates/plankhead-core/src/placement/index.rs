//! The placement index: numbers for pools, zones and images, which are cheaper to compare than
//! their names.

use crate::jobs::job::JobSpec;
use crate::protocol::Pool;
use std::collections::HashMap;
use std::sync::Arc;

/// The largest number of images in the index. Once it is reached, all images are numbered again.
const MAX_IMAGES: usize = 10_000;

/// Maps pools, zones and images to numbers.
#[derive(Debug, Default)]
pub struct PlacementIndex {
    pools: Vec<Pool>,
    zones: Vec<Arc<str>>,
    images: HashMap<Arc<str>, u32>,
    /// The size of each image, by its number.
    image_sizes_gb: Vec<f64>,
}

impl PlacementIndex {
    /// Returns the pool's number, after assigning one if necessary.
    pub fn pool_index(&mut self, pool: &Pool) -> usize {
        self.pools.iter().position(|known| known == pool).unwrap_or_else(|| {
            self.pools.push(pool.clone());
            self.pools.len() - 1
        })
    }

    /// Returns the zone's number, after assigning one if necessary.
    pub fn zone_index(&mut self, zone: &str) -> usize {
        self.zones.iter().position(|known| **known == *zone).unwrap_or_else(|| {
            self.zones.push(zone.into());
            self.zones.len() - 1
        })
    }

    /// Returns the zone's name, or an empty string if no zone has this number.
    pub fn zone_name(&self, zone: usize) -> Arc<str> {
        self.zones.get(zone).cloned().unwrap_or_else(|| "".into())
    }

    /// Returns the image's number, after assigning one if necessary. Returns `None` if the image is
    /// new and the index is full.
    pub fn image_index(&mut self, name: &str, size_gb: f64) -> Option<u32> {
        if let Some(number) = self.images.get(name) {
            return Some(*number);
        }
        if self.image_sizes_gb.len() >= MAX_IMAGES {
            return None;
        }
        let number = self.image_sizes_gb.len() as u32;
        self.images.insert(name.into(), number);
        self.image_sizes_gb.push(size_gb);
        Some(number)
    }

    /// Removes all images. Image numbers assigned before become invalid.
    pub fn clear_images(&mut self) {
        self.images.clear();
        self.image_sizes_gb.clear();
    }

    /// Returns the image's size in gigabytes, or 0 if no image has this number.
    pub fn image_size_gb(&self, image: u32) -> f64 {
        self.image_sizes_gb.get(image as usize).copied().unwrap_or(0.0)
    }

    /// Returns for each pool whether the job may use it.
    pub fn allowed_pools(&self, spec: &JobSpec) -> Vec<bool> {
        let is_allowed = |pool: &Pool| {
            let types = spec.machine_types.as_ref();
            (spec.allows_spot || !pool.spot)
                && types.is_none_or(|types| types.contains(&pool.machine_type))
                && spec.zone.as_ref().is_none_or(|zone| *zone == pool.zone)
        };
        self.pools.iter().map(is_allowed).collect()
    }
}
