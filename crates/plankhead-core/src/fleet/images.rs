//! The images assumed to be in a machine's cache.

use crate::fleet::machine::Machine;
use crate::placement::index::PlacementIndex;

impl Machine {
    /// Records that the machine has or is fetching the image, and drops the least recently used
    /// images that no longer fit into its cache of `cache_gb`.
    pub(super) fn record_image(&mut self, image: u32, cache_gb: f64, index: &PlacementIndex) {
        if self.cached_images.front() == Some(&image) {
            return;
        }
        let was_cached = self.cached_images.contains(&image);
        let previous_count = self.cached_images.len();
        self.cached_images.retain(|other| *other != image);
        self.cached_images.push_front(image);
        let mut sum_gb = index.image_size_gb(image);
        let fitting = self.cached_images.iter().skip(1).take_while(|other| {
            sum_gb += index.image_size_gb(**other);
            sum_gb <= cache_gb
        });
        let kept = 1 + fitting.count();
        self.cached_images.truncate(kept);
        if !was_cached || kept < previous_count {
            self.cached_slot = None;
        }
    }
}
