//! Validation errors of route tables.

use thiserror::Error;

/// The reason why a route table is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidRouteTable {
    /// A route refers to a service that is not in the table.
    #[error("route {route}: no service is called '{service}'")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[error("routes {first} and {second}: both at {host}{prefix}")]
    DuplicateRoute {
        /// Name of the first route.
        first: String,
        /// Name of the second route.
        second: String,
        /// Host of both routes.
        host: String,
        /// Path prefix of both routes.
        prefix: String,
    },
    /// The timeout of a route is zero.
    #[error("route {route}: the time-out is 0")]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
}
