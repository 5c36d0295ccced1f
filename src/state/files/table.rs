//! Reads TOML tables key by key, and collects diagnostics with their lines.

use std::cell::RefCell;

use toml::de::{DeTable, DeValue};

use crate::state::files::Diagnostic;

/// The text of a file, with the diagnostics reported so far.
#[derive(Debug)]
pub struct Source<'t> {
    file: &'t str,
    text: &'t str,
    diagnostics: RefCell<Vec<Diagnostic>>,
}

impl<'t> Source<'t> {
    /// Creates a source without diagnostics. `file` is the path shown in diagnostics.
    pub fn new(file: &'t str, text: &'t str) -> Self {
        Self {
            file,
            text,
            diagnostics: RefCell::default(),
        }
    }

    /// Parses the text. Reports syntax errors and returns `None` if it is not valid TOML.
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

    /// Reports a mistake at a byte offset.
    pub fn report(&self, start: usize, reason: String) {
        self.diagnostics.borrow_mut().push(Diagnostic {
            file: self.file.to_owned(),
            line: self.line(start),
            reason,
        });
    }

    /// Returns the reported diagnostics.
    pub fn into_diagnostics(self) -> Vec<Diagnostic> {
        self.diagnostics.into_inner()
    }

    fn line(&self, start: usize) -> usize {
        let before = self.text.get(..start).unwrap_or(self.text);
        before.matches('\n').count() + 1
    }
}

/// The location of a declaration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// The path of the file.
    pub file: String,
    /// The line, starting from one.
    pub line: usize,
}

impl Location {
    /// Creates a diagnostic at this location.
    pub fn diagnostic(&self, reason: String) -> Diagnostic {
        Diagnostic {
            file: self.file.clone(),
            line: self.line,
            reason,
        }
    }
}

/// A value with the location of its declaration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Located<T> {
    /// The location of the value.
    pub location: Location,
    /// The value.
    pub value: T,
}

/// A TOML table whose keys are taken one by one.
///
/// [`Table::finish`] reports every key that was not taken as unknown.
#[derive(Debug)]
pub struct Table<'s, 't> {
    source: &'s Source<'t>,
    start: usize,
    path: String,
    fields: DeTable<'t>,
}

impl<'s, 't> Table<'s, 't> {
    /// Takes a required value. Reports a key that is missing or a value that is invalid.
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

    /// Takes an optional value. Reports a value that is invalid.
    pub fn optional<T, C>(&mut self, key: &str, convert: C) -> Option<Located<T>>
    where
        C: Fn(&DeValue<'_>) -> Result<T, String>,
    {
        let field = self.fields.remove(key)?;
        let start = field.span().start;
        match convert(field.get_ref()) {
            Ok(value) => Some(Located {
                location: self.location_at(start),
                value,
            }),
            Err(reason) => {
                self.source
                    .report(start, format!("`{}`: {reason}", self.join(key)));
                None
            }
        }
    }

    /// Takes an optional value, or returns `default` if it is absent or invalid.
    pub fn value_or<T, C>(&mut self, key: &str, default: T, convert: C) -> T
    where
        C: Fn(&DeValue<'_>) -> Result<T, String>,
    {
        self.optional(key, convert)
            .map_or(default, |located| located.value)
    }

    /// Takes a table. An absent table is treated as empty.
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
            other => self
                .source
                .report(table.start, type_mismatch("a table", &other)),
        }
        table
    }

    /// Takes an array of tables. An absent array is treated as empty.
    pub fn tables(&mut self, key: &str) -> Vec<Table<'s, 't>> {
        let Some(field) = self.fields.remove(key) else {
            return Vec::new();
        };
        let start = field.span().start;
        let items = match field.into_inner() {
            DeValue::Array(items) => items,
            other => {
                let reason = type_mismatch(&format!("an array of tables, `[[{key}]]`"), &other);
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
                other => self.source.report(start, type_mismatch("a table", &other)),
            }
        }
        tables
    }

    /// Returns the location of the table.
    pub fn location(&self) -> Location {
        self.location_at(self.start)
    }

    /// Returns whether the table contains a key that has not been taken.
    pub fn contains(&self, key: &str) -> bool {
        self.fields.contains_key(key)
    }

    /// Reports a mistake at a location.
    pub fn report_at(&self, location: &Location, reason: String) {
        let diagnostic = location.diagnostic(reason);
        self.source.diagnostics.borrow_mut().push(diagnostic);
    }

    /// Reports a mistake at the start of the table.
    pub fn report(&self, reason: String) {
        self.source.report(self.start, reason);
    }

    /// Reports every key that was not taken as unknown.
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

    fn location_at(&self, start: usize) -> Location {
        Location {
            file: self.source.file.to_owned(),
            line: self.source.line(start),
        }
    }
}

/// Describes a value whose type differs from the expected one.
pub(crate) fn type_mismatch(what: &str, found: &DeValue<'_>) -> String {
    format!("expected {what}, found {}", found.type_str())
}
