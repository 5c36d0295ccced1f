//! Standard output and standard error, whose readers may leave.

use std::fmt;
use std::io::{self, ErrorKind, Write};

/// Standard output. What its reader did not wait for, as in `| head -1`, is dropped.
#[derive(Debug)]
pub(crate) struct Output;

impl Write for Output {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        unless_closed(io::stdout().write(buf), buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        unless_closed(io::stdout().flush(), ())
    }
}

fn unless_closed<T>(written: io::Result<T>, dropped: T) -> io::Result<T> {
    match written {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(dropped),
        written => written,
    }
}

/// Writes to standard output.
///
/// # Errors
///
/// Fails if standard output cannot be written to although its reader is there.
pub(crate) fn print<T>(text: T) -> io::Result<()>
where
    T: fmt::Display,
{
    write!(Output, "{text}")?;
    Output.flush()
}

/// Standard error. A server must not end since nobody reads it, so that all failures are ignored: there
/// is no other place to report them.
#[derive(Debug)]
pub(crate) struct Errors;

impl Write for Errors {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        Ok(io::stderr().write(buf).unwrap_or(buf.len()))
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes a line to standard error.
pub(crate) fn tell<T>(message: T)
where
    T: fmt::Display,
{
    let _written = writeln!(Errors, "{message}");
}
