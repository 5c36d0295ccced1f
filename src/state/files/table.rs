//! Reads TOML tables key by key, and collects mistakes with their lines.

use std::cell::RefCell;

use toml::de::{DeTable, DeValue};

use crate::state::files::Mistake;

/// The text of a file, with the mistakes found in it so far.
#[derive(Debug)]
pub struct Source<'t> {
    file: &'t str,
    text: &'t str,
    mistakes: RefCell<Vec<Mistake>>,
}

impl<'t> Source<'t> {
    /// Creates a source without mistakes; `file` is the path shown in mistakes.
    pub fn new(file: &'t str, text: &'t str) -> Self {
        Self {
            file,
            text,
            mistakes: RefCell::default(),
        }
    }

    /// Parses the text, or reports what keeps it from being TOML.
    pub fn parse<'s>(&'s self) -> Option<Table<'s, 't>> {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in &errors {
            let start = error.span().map_or(0, |span| span.start);
            self.report(start, error.message().to_owned());
        }
        errors.is_empty().then(|| Table {
            source: self,
            start: 0,
            path: String::new(),
            fields: table.into_inner(),
        })
    }

    /// Adds a mistake at a byte offset.
    pub fn report(&self, start: usize, reason: String) {
        self.mistakes.borrow_mut().push(Mistake {
            file: self.file.to_owned(),
            line: self.line(start),
            reason,
        });
    }

    /// Returns the mistakes found.
    pub fn into_mistakes(self) -> Vec<Mistake> {
        self.mistakes.into_inner()
    }

    fn line(&self, start: usize) -> usize {
        let before = self.text.get(..start).unwrap_or(self.text);
        before.matches('\n').count() + 1
    }
}

/// Where something was declared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// The path of the file.
    pub file: String,
    /// The line, counted from one.
    pub line: usize,
}

impl Place {
    /// Returns a mistake at this place.
    pub fn mistake(&self, reason: String) -> Mistake {
        Mistake {
            file: self.file.clone(),
            line: self.line,
            reason,
        }
    }
}

/// A value with the place where it was declared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Located<T> {
    /// Where the value stands.
    pub place: Place,
    /// The value.
    pub value: T,
}

/// A TOML table of which the keys are taken one by one.
///
/// Every key that is not taken is reported as unknown by [`Table::finish`].
#[derive(Debug)]
pub struct Table<'s, 't> {
    source: &'s Source<'t>,
    start: usize,
    path: String,
    fields: DeTable<'t>,
}

impl<'s, 't> Table<'s, 't> {
    /// Takes a value that must be present.
    pub fn required<T, C>(&mut self, key: &str, convert: C) -> Option<Located<T>>
    where
        C: Fn(&DeValue<'_>) -> Result<T, String>,
    {
        if !self.fields.contains_key(key) {
            let reason = format!("key `{}` is missing", self.join(key));
            self.source.report(self.start, reason);
            return None;
        }
        self.optional(key, convert)
    }

    /// Takes a value that may be absent.
    pub fn optional<T, C>(&mut self, key: &str, convert: C) -> Option<Located<T>>
    where
        C: Fn(&DeValue<'_>) -> Result<T, String>,
    {
        let field = self.fields.remove(key)?;
        let start = field.span().start;
        match convert(field.get_ref()) {
            Ok(value) => Some(Located {
                place: self.place_at(start),
                value,
            }),
            Err(reason) => {
                self.source
                    .report(start, format!("`{}`: {reason}", self.join(key)));
                None
            }
        }
    }

    /// Takes a value, or returns `default` if it is absent or wrong.
    pub fn value_or<T, C>(&mut self, key: &str, default: T, convert: C) -> T
    where
        C: Fn(&DeValue<'_>) -> Result<T, String>,
    {
        self.optional(key, convert)
            .map_or(default, |located| located.value)
    }

    /// Takes a table; an absent one is empty.
    #[must_use]
    pub fn table(&mut self, key: &str) -> Table<'s, 't> {
        let path = self.join(key);
        let mut table = Table {
            source: self.source,
            start: self.start,
            path,
            fields: DeTable::new(),
        };
        let Some(field) = self.fields.remove(key) else {
            return table;
        };
        table.start = field.span().start;
        match field.into_inner() {
            DeValue::Table(fields) => table.fields = fields,
            other => self.source.report(table.start, expected("a table", &other)),
        }
        table
    }

    /// Takes an array of tables; an absent one is empty.
    pub fn tables(&mut self, key: &str) -> Vec<Table<'s, 't>> {
        let Some(field) = self.fields.remove(key) else {
            return Vec::new();
        };
        let start = field.span().start;
        let items = match field.into_inner() {
            DeValue::Array(items) => items,
            other => {
                let reason = expected(&format!("an array of tables, `[[{key}]]`"), &other);
                self.source.report(start, reason);
                return Vec::new();
            }
        };
        let mut tables = Vec::new();
        for item in items {
            let start = item.span().start;
            match item.into_inner() {
                DeValue::Table(fields) => tables.push(Table {
                    source: self.source,
                    start,
                    path: self.join(key),
                    fields,
                }),
                other => self.source.report(start, expected("a table", &other)),
            }
        }
        tables
    }

    /// Returns where the table starts.
    pub fn place(&self) -> Place {
        self.place_at(self.start)
    }

    /// Returns whether the table holds a key that was not taken yet.
    pub fn contains(&self, key: &str) -> bool {
        self.fields.contains_key(key)
    }

    /// Reports a mistake at a place.
    pub fn report_at(&self, place: &Place, reason: String) {
        let mistake = place.mistake(reason);
        self.source.mistakes.borrow_mut().push(mistake);
    }

    /// Reports a mistake at the start of the table.
    pub fn report(&self, reason: String) {
        self.source.report(self.start, reason);
    }

    /// Reports every key that was not taken.
    pub fn finish(self) {
        for (key, _) in &self.fields {
            let reason = format!("unknown key `{}`", self.join(key.get_ref()));
            self.source.report(key.span().start, reason);
        }
    }

    fn join(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }

    fn place_at(&self, start: usize) -> Place {
        Place {
            file: self.source.file.to_owned(),
            line: self.source.line(start),
        }
    }
}

/// Says that a value is of another type than expected.
pub(crate) fn expected(what: &str, found: &DeValue<'_>) -> String {
    format!("expected {what}, found {}", found.type_str())
}
