//! Route table: maps requests to services, and holds the execution policy of each route.

mod error;
mod table;

pub use error::InvalidRouteTable;
pub use table::{HttpLimits, Route, RouteTable, ServiceInfo};
