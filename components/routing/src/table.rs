//! A checked table of routes, and the look-up of a request's route.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::InvalidRouteTable;

/// One queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for people.
    pub name: Arc<str>,
    /// The host that requests name.
    pub host: String,
    /// What the path of its requests begins with.
    pub prefix: String,
    /// The service whose targets run its tasks.
    pub service: Arc<str>,
    /// Longest time of a request.
    pub timeout: Duration,
    /// Added to the stretched work, it is the time in which a job is to end.
    pub target_latency: Duration,
    /// How much longer than its longest chain of work a job may take.
    pub stretch: f64,
    /// 0 goes first.
    pub priority: u8,
    /// How often a task may fail.
    pub max_attempts: u32,
}

/// A pool of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceInfo {
    /// Its name.
    pub name: Arc<str>,
    /// Whether its targets refuse what does not fit.
    pub rejects_overload: bool,
}

/// What a client may take of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Longest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head.
    pub header_timeout: Duration,
    /// Longest time between two requests of a connection.
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

/// A checked table.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Its version; the highest holds.
    pub version: u64,
    /// What clients may take.
    pub limits: HttpLimits,
    services: BTreeMap<Arc<str>, ServiceInfo>,
    /// By host: routes with the longest prefix first.
    routes: BTreeMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Checks services and routes.
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
            check(&route, &services)?;
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            check_places(routes)?;
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(Self { version, limits, services, routes: by_host })
    }

    /// The route of a request, by its host and the longest prefix that its path begins with.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        self.routes.get(&host)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&ServiceInfo> {
        self.services.get(name)
    }

    /// How many routes it has.
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Whether it has no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

fn check(
    route: &Route,
    services: &BTreeMap<Arc<str>, ServiceInfo>,
) -> Result<(), InvalidRouteTable> {
    let name = || route.name.to_string();
    if !services.contains_key(&route.service) {
        let service = route.service.to_string();
        return Err(InvalidRouteTable::UnknownService { route: name(), service });
    }
    if route.timeout.is_zero() {
        return Err(InvalidRouteTable::NoTimeout { route: name() });
    }
    Ok(())
}

fn check_places(routes: &[Arc<Route>]) -> Result<(), InvalidRouteTable> {
    let mut seen: BTreeMap<&str, &Route> = BTreeMap::new();
    for route in routes {
        if let Some(first) = seen.insert(&route.prefix, route) {
            return Err(InvalidRouteTable::SamePlace {
                first: first.name.to_string(),
                second: route.name.to_string(),
                host: route.host.clone(),
                prefix: route.prefix.clone(),
            });
        }
    }
    Ok(())
}
