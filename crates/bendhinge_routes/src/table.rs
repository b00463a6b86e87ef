//! Finding a request's route.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::Route;

/// Routes by host, for each host with the longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: FxHashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// A table of `routes`.
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

    /// The route of a request: of those of the host, the one with the longest prefix that
    /// begins the path. `host` may carry a port and any case.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host_without_port(host);
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// How many routes there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}

/// The name part of a `Host` header.
#[must_use]
pub fn host_without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
