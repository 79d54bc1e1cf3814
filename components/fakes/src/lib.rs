//! Test doubles for the systems around dockpass: targets that run tasks over HTTP.

mod target;

pub use target::{Behaviour, ServiceTime, Target};
