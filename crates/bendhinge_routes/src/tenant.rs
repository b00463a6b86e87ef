//! Tenants and their keys.

use std::sync::Arc;

use bendhinge_ids::TenantName;
use rustc_hash::FxHashMap;

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Its name.
    pub name: TenantName,
    /// Its rank, which goes before that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Tenants by key.
#[derive(Clone, Debug, Default)]
pub struct TenantTable {
    by_key: FxHashMap<Box<str>, Arc<Tenant>>,
    is_in_use: bool,
}

impl TenantTable {
    /// A table of tenants, each with its keys.
    #[must_use]
    pub fn new(tenants: impl IntoIterator<Item = (Tenant, Vec<String>)>) -> Self {
        let mut by_key = FxHashMap::default();
        let mut is_in_use = false;
        for (tenant, keys) in tenants {
            is_in_use = true;
            let tenant = Arc::new(tenant);
            for key in keys {
                by_key.insert(key.into_boxed_str(), Arc::clone(&tenant));
            }
        }
        Self { by_key, is_in_use }
    }

    /// Whether requests need a key at all: so it is once there are tenants, even without keys.
    #[must_use]
    pub const fn is_in_use(&self) -> bool {
        self.is_in_use
    }

    /// The tenant that holds `key`.
    #[must_use]
    pub fn holder(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }
}
