//! Small numbers in the place of values that recur.

use std::hash::Hash;

use crate::Map;

/// A value's number within one interner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Interned(u32);

/// Numbers values, so that tables with many records of few different values stay small. Values
/// are never forgotten: meant for the lives of nodes, of which there are a few hundred a day.
#[derive(Clone, Debug)]
pub struct Interner<T> {
    numbers: Map<T, Interned>,
    values: Vec<T>,
}

impl<T> Default for Interner<T> {
    fn default() -> Self {
        Self { numbers: Map::default(), values: Vec::new() }
    }
}

impl<T: Clone + Eq + Hash> Interner<T> {
    /// The number of a value.
    pub fn intern(&mut self, value: &T) -> Interned {
        if let Some(number) = self.numbers.get(value) {
            return *number;
        }
        let number = Interned(u32::try_from(self.values.len()).expect("far below 4 billion"));
        self.numbers.insert(value.clone(), number);
        self.values.push(value.clone());
        number
    }

    /// The value of a number that this interner gave.
    pub fn value(&self, number: Interned) -> &T {
        &self.values[number.0 as usize]
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn equal_values_have_one_number() {
        let mut interner = Interner::default();
        let (first, second) = (interner.intern(&"e1"), interner.intern(&"e2"));
        assert_ne!(first, second);
        assert_eq!(interner.intern(&"e1"), first);
        assert_eq!((*interner.value(first), *interner.value(second)), ("e1", "e2"));
    }
}
