//! Why a table of routes can't be taken.

use thiserror::Error;

/// Why a table of routes can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidRouteTable {
    /// A route names a service that the table does not have.
    #[error("route {route}: no service is called '{service}'")]
    UnknownService {
        /// The route.
        route: String,
        /// The service that it names.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[error("routes {first} and {second}: both at {host}{prefix}")]
    SamePlace {
        /// One route.
        first: String,
        /// The other.
        second: String,
        /// Their host.
        host: String,
        /// Their prefix.
        prefix: String,
    },
    /// A time-out of 0.
    #[error("route {route}: the time-out is 0")]
    NoTimeout {
        /// The route.
        route: String,
    },
}
