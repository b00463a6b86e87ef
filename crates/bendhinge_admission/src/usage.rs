//! Counts of requests in progress and refused, by class and customer.

use std::collections::HashMap;
use std::ops::AddAssign;

use crate::{AdmissionRules, ClassIndex, CustomerIndex, PoolIndex};

/// Request counts of one class or customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests in progress.
    pub in_progress: u32,
    /// Requests refused in the most recent round, which count as additional demand.
    pub refused: u32,
}

impl Usage {
    /// Returns the total demand: requests in progress and refused.
    #[must_use]
    pub const fn demand(self) -> u32 {
        self.in_progress + self.refused
    }
}

impl AddAssign for Usage {
    fn add_assign(&mut self, other: Self) {
        self.in_progress += other.in_progress;
        self.refused += other.refused;
    }
}

/// Usage of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolUsage {
    /// Usage by class, in the order of the rules.
    pub classes: Vec<Usage>,
    /// Usage by customer; customers without usage are absent.
    pub customers: HashMap<CustomerIndex, Usage>,
}

impl PoolUsage {
    pub(crate) fn new(rules: &AdmissionRules) -> Self {
        Self { classes: vec![Usage::default(); rules.classes.len()], customers: HashMap::new() }
    }

    pub(crate) fn class(&self, class: ClassIndex) -> Usage {
        self.classes.get(class.0).copied().unwrap_or_default()
    }

    pub(crate) fn customer(&self, customer: CustomerIndex) -> Usage {
        self.customers.get(&customer).copied().unwrap_or_default()
    }

    /// Returns the number of requests in progress in the pool.
    #[must_use]
    pub fn in_progress(&self) -> u32 {
        self.classes.iter().map(|usage| usage.in_progress).sum()
    }
}

/// Usage of all pools, at one router or summed over several.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetUsage {
    /// Usage by pool, in the order of the rules.
    pub pools: Vec<PoolUsage>,
}

impl FleetUsage {
    /// Creates empty usage of all pools.
    #[must_use]
    pub fn empty(rules: &AdmissionRules) -> Self {
        Self { pools: rules.pools.iter().map(|_| PoolUsage::new(rules)).collect() }
    }

    /// Adds usage of a customer in a pool, to both the customer and its class.
    pub fn add(&mut self, pool: PoolIndex, class: ClassIndex, customer: CustomerIndex, usage: Usage) {
        let Some(pool) = self.pools.get_mut(pool.0) else { return };
        if let Some(class_usage) = pool.classes.get_mut(class.0) {
            *class_usage += usage;
        }
        *pool.customers.entry(customer).or_default() += usage;
    }

    /// Adds usage to a class only.
    pub fn add_class_usage(&mut self, pool: PoolIndex, class: ClassIndex, usage: Usage) {
        let pool_usage = self.pools.get_mut(pool.0);
        if let Some(class_usage) = pool_usage.and_then(|pool| pool.classes.get_mut(class.0)) {
            *class_usage += usage;
        }
    }

    /// Adds usage to a customer only; that of its class is added with [`Self::add_class_usage`].
    pub fn add_customer_usage(&mut self, pool: PoolIndex, customer: CustomerIndex, usage: Usage) {
        if let Some(pool) = self.pools.get_mut(pool.0) {
            *pool.customers.entry(customer).or_default() += usage;
        }
    }

    /// Returns the number of requests that a customer has in progress in all pools.
    #[must_use]
    pub fn customer_in_progress(&self, customer: CustomerIndex) -> u32 {
        self.pools.iter().map(|pool| pool.customer(customer).in_progress).sum()
    }
}
