//! Validated route table and lookup of the route of a request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::InvalidRouteTable;

/// A route: selects requests by host and path prefix, and sets the service and the execution policy
/// of their jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name for logs and error messages.
    pub name: Arc<str>,
    /// Host header value that the route matches, without the port.
    pub host: String,
    /// Prefix that the request path must start with.
    pub prefix: String,
    /// Name of the service whose targets run the tasks.
    pub service: Arc<str>,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Fixed part of the latency objective: the objective of a job is the duration of its longest
    /// chain of work times `stretch`, plus this value.
    pub target_latency: Duration,
    /// Factor applied to the duration of the longest chain of work of a job in its latency
    /// objective.
    pub stretch: f64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of attempts per task.
    pub max_attempts: u32,
}

/// A service: a pool of interchangeable targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceInfo {
    /// Unique name of the service.
    pub name: Arc<str>,
    /// Whether the targets reject tasks that exceed their free capacity.
    pub rejects_overload: bool,
}

/// Limits on the HTTP connections of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size of a request header, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive a request header.
    pub header_timeout: Duration,
    /// Maximum idle time between two requests on a connection.
    pub idle_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 256 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A validated route table.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Version of the table; the table with the highest version is in effect.
    pub version: u64,
    /// Limits on client connections.
    pub limits: HttpLimits,
    services: BTreeMap<Arc<str>, ServiceInfo>,
    /// Routes by lowercase host, longest prefix first.
    routes: BTreeMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Validates the services and routes and builds the table. Fails if a route refers to a missing
    /// service, has a zero timeout, or duplicates the host and prefix of another route.
    pub fn new(
        version: u64,
        services: Vec<ServiceInfo>,
        routes: Vec<Route>,
        limits: HttpLimits,
    ) -> Result<Self, InvalidRouteTable> {
        let services: BTreeMap<Arc<str>, ServiceInfo> =
            services.into_iter().map(|service| (service.name.clone(), service)).collect();
        let mut by_host: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            validate_route(&route, &services)?;
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            check_duplicates(routes)?;
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(Self { version, limits, services, routes: by_host })
    }

    /// Returns the route of a request: the one with the longest matching prefix on the host. A port
    /// in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        self.routes.get(&host)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&ServiceInfo> {
        self.services.get(name)
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

fn validate_route(
    route: &Route,
    services: &BTreeMap<Arc<str>, ServiceInfo>,
) -> Result<(), InvalidRouteTable> {
    let name = || route.name.to_string();
    if !services.contains_key(&route.service) {
        let service = route.service.to_string();
        return Err(InvalidRouteTable::UnknownService { route: name(), service });
    }
    if route.timeout.is_zero() {
        return Err(InvalidRouteTable::ZeroTimeout { route: name() });
    }
    Ok(())
}

fn check_duplicates(routes: &[Arc<Route>]) -> Result<(), InvalidRouteTable> {
    let mut by_prefix: BTreeMap<&str, &Route> = BTreeMap::new();
    for route in routes {
        if let Some(first) = by_prefix.insert(&route.prefix, route) {
            return Err(InvalidRouteTable::DuplicateRoute {
                first: first.name.to_string(),
                second: route.name.to_string(),
                host: route.host.clone(),
                prefix: route.prefix.clone(),
            });
        }
    }
    Ok(())
}
