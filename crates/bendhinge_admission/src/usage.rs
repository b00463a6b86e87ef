//! What requests are in progress and wanted, by class and customer.

use std::collections::HashMap;
use std::ops::AddAssign;

use crate::{ClassIndex, CustomerIndex, PoolIndex, Rules};

/// Requests of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// In progress now.
    pub in_progress: u32,
    /// Refused in the last round, hence wanted besides.
    pub refused: u32,
}

impl Usage {
    /// What is wanted in all.
    #[must_use]
    pub const fn wanted(self) -> u32 {
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
    /// By class, in the order of the rules.
    pub classes: Vec<Usage>,
    /// By customer; those without any are left out.
    pub customers: HashMap<CustomerIndex, Usage>,
}

impl PoolUsage {
    pub(crate) fn new(rules: &Rules) -> Self {
        Self { classes: vec![Usage::default(); rules.classes.len()], customers: HashMap::new() }
    }

    pub(crate) fn class(&self, class: ClassIndex) -> Usage {
        self.classes.get(class.0).copied().unwrap_or_default()
    }

    pub(crate) fn customer(&self, customer: CustomerIndex) -> Usage {
        self.customers.get(&customer).copied().unwrap_or_default()
    }

    /// Requests in progress in the pool.
    #[must_use]
    pub fn in_progress(&self) -> u32 {
        self.classes.iter().map(|usage| usage.in_progress).sum()
    }
}

/// Usage of all pools, as one router has it or as the sum over several.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetUsage {
    /// By pool, in the order of the rules.
    pub pools: Vec<PoolUsage>,
}

impl FleetUsage {
    /// No usage at all.
    #[must_use]
    pub fn none(rules: &Rules) -> Self {
        Self { pools: rules.pools.iter().map(|_| PoolUsage::new(rules)).collect() }
    }

    /// Adds usage of one customer in one pool; its class's is added with it.
    pub fn add(&mut self, pool: PoolIndex, class: ClassIndex, customer: CustomerIndex, usage: Usage) {
        let Some(pool) = self.pools.get_mut(pool.0) else { return };
        if let Some(of_class) = pool.classes.get_mut(class.0) {
            *of_class += usage;
        }
        *pool.customers.entry(customer).or_default() += usage;
    }

    /// Adds usage of a class whose customers are not told apart.
    pub fn add_class(&mut self, pool: PoolIndex, class: ClassIndex, usage: Usage) {
        let of_pool = self.pools.get_mut(pool.0);
        if let Some(of_class) = of_pool.and_then(|pool| pool.classes.get_mut(class.0)) {
            *of_class += usage;
        }
    }

    /// Adds usage of a customer whose class was added apart.
    pub fn add_customer(&mut self, pool: PoolIndex, customer: CustomerIndex, usage: Usage) {
        if let Some(pool) = self.pools.get_mut(pool.0) {
            *pool.customers.entry(customer).or_default() += usage;
        }
    }

    /// A customer's requests in progress over all pools.
    #[must_use]
    pub fn customer_in_progress(&self, customer: CustomerIndex) -> u32 {
        self.pools.iter().map(|pool| pool.customer(customer).in_progress).sum()
    }
}
