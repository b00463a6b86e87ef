//! Lookup of routes by host and path.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::Route;

/// Routes by host, with the longest path prefix first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: FxHashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Creates a table of `routes`.
    #[must_use]
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut by_host: FxHashMap<String, Vec<Arc<Route>>> = FxHashMap::default();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { by_host }
    }

    /// Finds the route of a request: the one with the longest path prefix among those of the host that match.
    ///
    /// `host` is matched case-insensitively and may include a port.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host_without_port(host);
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Returns whether there are no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}

/// Strips the port from the value of a `Host` header.
#[must_use]
pub fn host_without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
