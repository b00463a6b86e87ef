//! Customers and their keys.

use std::sync::Arc;

use bendhinge_ids::CustomerName;
use rustc_hash::FxHashMap;

use crate::Regions;

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Its name.
    pub name: CustomerName,
    /// Its rank, which goes before that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Where its requests may run, beside what their routes allow.
    pub regions: Regions,
}

/// Customers by key.
#[derive(Clone, Debug, Default)]
pub struct CustomerTable {
    by_key: FxHashMap<Box<str>, Arc<Customer>>,
    is_in_use: bool,
}

impl CustomerTable {
    /// A table of customers, each with its keys.
    #[must_use]
    pub fn new(customers: impl IntoIterator<Item = (Customer, Vec<String>)>) -> Self {
        let mut by_key = FxHashMap::default();
        let mut is_in_use = false;
        for (customer, keys) in customers {
            is_in_use = true;
            let customer = Arc::new(customer);
            for key in keys {
                by_key.insert(key.into_boxed_str(), Arc::clone(&customer));
            }
        }
        Self { by_key, is_in_use }
    }

    /// Whether requests need a key at all: so it is once there are customers, even without keys.
    #[must_use]
    pub const fn is_in_use(&self) -> bool {
        self.is_in_use
    }

    /// The customer that holds `key`.
    #[must_use]
    pub fn holder(&self, key: &str) -> Option<&Arc<Customer>> {
        self.by_key.get(key)
    }
}
