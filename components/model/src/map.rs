//! The map of the hot paths.

use std::collections::HashMap;

/// A hash map whose hash is faster than the standard one and as safe against keys chosen by
/// callers. Nothing may depend on the order of its entries.
pub type Map<K, V> = HashMap<K, V, ahash::RandomState>;
