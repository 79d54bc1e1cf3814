//! A cheap bound on the parts of a JSON text, checked before anything is built of it.

/// Whether a JSON text has more than `max` values: items of lists and fields of objects, at all
/// depths. Stops at the first value beyond; a text that is not JSON gives any result.
pub fn has_more_json_values(text: &[u8], max: usize) -> bool {
    // Each comma outside of strings separates two values, and each opening bracket may hold a
    // first one.
    let (mut values, mut in_string, mut escaped) = (1, false, false);
    for byte in text {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b',' | b'[' | b'{' if !in_string => values += 1,
            _ => {}
        }
        if values > max {
            return true;
        }
    }
    false
}
