//! Customers and their API keys.

use std::sync::Arc;

use bendhinge_ids::CustomerName;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::RegionFilter;

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Name of the customer.
    pub name: CustomerName,
    /// Priority of its requests, overriding that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Regions that may serve its requests, in addition to the restriction of the route.
    pub regions: RegionFilter,
}

/// Customers by API key.
#[derive(Clone, Debug, Default)]
pub struct CustomerTable {
    by_key: FxHashMap<Box<str>, Arc<Customer>>,
    /// Keys of customers whose entries cannot be used.
    left_out_keys: FxHashSet<Box<str>>,
    has_customers: bool,
}

impl CustomerTable {
    /// Creates a table from customers and their API keys.
    #[must_use]
    pub fn new(customers: impl IntoIterator<Item = (Customer, Vec<String>)>) -> Self {
        let mut by_key = FxHashMap::default();
        let mut has_customers = false;
        for (customer, keys) in customers {
            has_customers = true;
            let customer = Arc::new(customer);
            for key in keys {
                by_key.insert(key.into_boxed_str(), Arc::clone(&customer));
            }
        }
        Self { by_key, left_out_keys: FxHashSet::default(), has_customers }
    }

    /// Adds a customer that cannot be served, with the keys of its entry that can be read.
    pub fn leave_out(&mut self, keys: Vec<String>) {
        self.has_customers = true;
        self.left_out_keys.extend(keys.into_iter().map(String::into_boxed_str));
    }

    /// Returns whether the API key `key` belongs to a customer that cannot be served.
    #[must_use]
    pub fn is_left_out(&self, key: &str) -> bool {
        self.left_out_keys.contains(key)
    }

    /// Returns whether requests must carry an API key: true if any customer is configured, even one without keys.
    #[must_use]
    pub const fn requires_key(&self) -> bool {
        self.has_customers
    }

    /// Returns the customer that owns the API key `key`.
    #[must_use]
    pub fn find_by_key(&self, key: &str) -> Option<&Arc<Customer>> {
        self.by_key.get(key)
    }
}
