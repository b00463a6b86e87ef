//! Admission rules derived from a confirmed configuration, with indices in place of names.

use std::time::Duration;

/// Index of a class in [`AdmissionRules`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassIndex(pub usize);

/// Index of a customer in [`AdmissionRules`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CustomerIndex(pub usize);

/// Index of a pool in [`AdmissionRules`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PoolIndex(pub usize);

/// Rule of a priority class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassRule {
    /// Share of a full pool, relative to other classes.
    pub share: f64,
}

/// Rule of a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerRule {
    /// Priority class of the customer.
    pub class: ClassIndex,
    /// Maximum number of requests in progress in the whole fleet.
    pub limit: u32,
    /// Share of the class, relative to other customers.
    pub share: f64,
}

/// Rule of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolRule {
    /// Number of requests that the pool's serving upstreams process concurrently.
    pub slots: u32,
    /// Estimate of the service time of a request, used until service times have been measured.
    pub initial_service_time: Duration,
}

/// All rules of a configuration revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionRules {
    /// Priority classes.
    pub classes: Vec<ClassRule>,
    /// Customers.
    pub customers: Vec<CustomerRule>,
    /// Pools.
    pub pools: Vec<PoolRule>,
}
