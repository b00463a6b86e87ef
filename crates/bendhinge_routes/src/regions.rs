//! Restriction of requests to regions.

use bendhinge_ids::RegionName;

/// Regions whose upstreams may serve the requests of a route or a customer; an empty list allows every region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionFilter(Vec<RegionName>);

impl RegionFilter {
    /// Allows only the regions in `names`, or every region if `names` is empty.
    #[must_use]
    pub const fn new(names: Vec<RegionName>) -> Self {
        Self(names)
    }

    /// Returns whether an upstream in `region` may serve the requests. An upstream in an unknown region (`None`)
    /// is allowed only if every region is.
    #[must_use]
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        self.0.is_empty() || region.is_some_and(|region| self.0.contains(region))
    }
}
