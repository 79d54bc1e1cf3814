//! The settings tree: typed schema, inheritance, validation and INI format.

mod catalog;
mod error;
mod keys;
mod path;
mod schema;
mod tree;

pub use catalog::{Catalog, FleetSettings, KindSettings, ServiceState, TeamSettings};
pub use error::SettingsError;
pub use keys::{FLEET_KEYS, SERVICE_KEYS, TEAM_KEYS, reference_page};
pub use path::{Scope, SectionPath};
pub use schema::{Key, Value, ValueType};
pub use tree::{Edit, Tree, parse_ini};
