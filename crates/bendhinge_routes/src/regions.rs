//! Regions that requests must not leave.

use bendhinge_ids::RegionName;

/// The regions whose upstreams may run the requests of a route or a customer; none named is all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions(Vec<RegionName>);

impl Regions {
    /// The regions that are named.
    #[must_use]
    pub const fn new(named: Vec<RegionName>) -> Self {
        Self(named)
    }

    /// Whether an upstream of `region` may run them. One whose region nobody knows may only where any may.
    #[must_use]
    pub fn allow(&self, region: Option<&RegionName>) -> bool {
        self.0.is_empty() || region.is_some_and(|region| self.0.contains(region))
    }
}
