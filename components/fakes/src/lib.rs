//! Stand-ins for what is outside dockpass: targets that take tasks over HTTP.

mod target;

pub use target::{Behaviour, ServiceTime, Target};
