//! The rules that a confirmed configuration gives, with positions in place of names.

use std::time::Duration;

/// The position of a class in [`Rules`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassIndex(pub usize);

/// The position of a customer in [`Rules`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CustomerIndex(pub usize);

/// The position of a pool in [`Rules`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PoolIndex(pub usize);

/// A class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassRule {
    /// Its part of a full pool, relative to other classes.
    pub share: f64,
}

/// A customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerRule {
    /// Its class.
    pub class: ClassIndex,
    /// Requests in progress in the whole fleet.
    pub limit: u32,
    /// Its part of its class, relative to other customers.
    pub share: f64,
}

/// A pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolRule {
    /// Requests that its serving upstreams run at once.
    pub slots: u32,
    /// How long a turn usually takes, until turns were measured.
    pub turn: Duration,
}

/// All rules of a revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Classes.
    pub classes: Vec<ClassRule>,
    /// Customers.
    pub customers: Vec<CustomerRule>,
    /// Pools.
    pub pools: Vec<PoolRule>,
}
