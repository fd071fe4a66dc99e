//! Regions of availability zones, and the regions that may serve a request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::Region;
use crate::Zone;

/// Region of each availability zone, as far as it is known.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneRegions(BTreeMap<Zone, Region>);

impl ZoneRegions {
    /// Sets the region of a zone.
    pub fn insert(&mut self, zone: Zone, region: Region) {
        self.0.insert(zone, region);
    }

    /// Returns the region of a zone, if it is known.
    pub fn find(&self, zone: &Zone) -> Option<&Region> {
        self.0.get(zone)
    }
}

/// Regions whose backend servers may serve a request; all by default.
///
/// Clones share the list, because each request has one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct RegionSet(Option<Arc<BTreeSet<Region>>>);

impl RegionSet {
    /// Allows only the given regions, or none if there are none.
    pub fn only(regions: BTreeSet<Region>) -> RegionSet {
        RegionSet(Some(Arc::new(regions)))
    }

    /// Returns the regions that both allow.
    pub fn intersect(&self, other: &RegionSet) -> RegionSet {
        match (&self.0, &other.0) {
            (Some(own), Some(others)) => RegionSet::only(&**own & &**others),
            (None, _) => other.clone(),
            (_, None) => self.clone(),
        }
    }

    /// Whether a backend server may serve the request. One in an unknown region may only if all
    /// regions are allowed.
    pub fn allows(&self, region: Option<&Region>) -> bool {
        match &self.0 {
            None => true,
            Some(allowed) => region.is_some_and(|region| allowed.contains(region)),
        }
    }
}
