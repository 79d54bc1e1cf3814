//! The hash map of the performance-critical paths.

use std::collections::HashMap;

/// A hash map with a faster hash function than the standard library's and the same resistance to
/// keys crafted to collide. The iteration order is unspecified and must not affect decisions.
pub type Map<K, V> = HashMap<K, V, ahash::RandomState>;
