//! Bounds on texts that quote what a client has sent.

/// Maximum length of a quoting text, in bytes.
const MAX_TEXT_BYTES: usize = 512;

/// Returns the beginning of a text, up to [`MAX_TEXT_BYTES`].
pub(crate) fn shortened(text: &str) -> &str {
    let mut end = text.len().min(MAX_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
