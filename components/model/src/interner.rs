//! Interning of frequently repeated values as small integers.

use std::hash::Hash;

use crate::Map;

/// The handle of an interned value; valid only for the interner that returned it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Interned(u32);

/// Maps values to small handles, which keeps tables with many records of few distinct values small.
/// Values are never removed, so it is only suitable for slowly growing sets such as the processes
/// of nodes.
#[derive(Clone, Debug)]
pub struct Interner<T> {
    handles: Map<T, Interned>,
    values: Vec<T>,
}

impl<T> Default for Interner<T> {
    fn default() -> Self {
        Self { handles: Map::default(), values: Vec::new() }
    }
}

impl<T: Clone + Eq + Hash> Interner<T> {
    /// Returns the handle of a value and stores the value on first use.
    pub fn intern(&mut self, value: &T) -> Interned {
        if let Some(handle) = self.handles.get(value) {
            return *handle;
        }
        let handle = Interned(u32::try_from(self.values.len()).expect("fewer than 2^32 values"));
        self.handles.insert(value.clone(), handle);
        self.values.push(value.clone());
        handle
    }

    /// Returns the value of a handle; panics if the handle is from a larger interner.
    pub fn value(&self, handle: Interned) -> &T {
        &self.values[handle.0 as usize]
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn equal_values_share_a_handle() {
        let mut interner = Interner::default();
        let (first, second) = (interner.intern(&"e1"), interner.intern(&"e2"));
        assert_ne!(first, second);
        assert_eq!(interner.intern(&"e1"), first);
        assert_eq!((*interner.value(first), *interner.value(second)), ("e1", "e2"));
    }
}
