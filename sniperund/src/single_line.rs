//! Text that stays on one line.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::fmt::Write;

/// Displays a value with control characters and line separators escaped.
pub(crate) struct SingleLine<T>(pub(crate) T);

impl<T: Display> Display for SingleLine<T> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(Escaper(formatter), "{}", self.0)
    }
}

struct Escaper<'a, 'b>(&'a mut Formatter<'b>);

impl Write for Escaper<'_, '_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let mut rest = text;
        while let Some((start, character)) = rest.char_indices().find(|(_, c)| is_escaped(*c)) {
            self.0.write_str(&rest[..start])?;
            write!(self.0, "{}", character.escape_default())?;
            rest = &rest[start + character.len_utf8()..];
        }
        self.0.write_str(rest)
    }
}

fn is_escaped(character: char) -> bool {
    character.is_control() || matches!(character, '\u{2028}' | '\u{2029}')
}
