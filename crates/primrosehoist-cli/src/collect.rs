//! Collects operators' files from a directory tree.

use std::fs;
use std::path::{Path, PathBuf};

use primrosehoist::state::files::{self, File};

use crate::error::Error;

/// Reads all operators' files under `directory`, ordered by path.
///
/// Hidden directories and symbolic links are skipped.
///
/// # Errors
///
/// Fails if something cannot be read, or if there is no such file.
pub(crate) fn collect(directory: &Path) -> Result<Vec<File>, Error> {
    let mut paths = Vec::new();
    walk(directory, &mut paths)?;
    paths.sort();
    if paths.is_empty() {
        return Err(Error::Empty(directory.to_owned()));
    }
    paths.into_iter().map(read).collect()
}

fn walk(directory: &Path, paths: &mut Vec<PathBuf>) -> Result<(), Error> {
    let read_error = |error| Error::Read(directory.to_owned(), error);
    for entry in fs::read_dir(directory).map_err(read_error)? {
        let entry = entry.map_err(read_error)?;
        let file_type = entry.file_type().map_err(read_error)?;
        let name = entry.file_name();
        let name = name.to_string_lossy();
        if file_type.is_dir() && !name.starts_with('.') {
            walk(&entry.path(), paths)?;
        } else if file_type.is_file() && files::is_collected(&name) {
            paths.push(entry.path());
        }
    }
    Ok(())
}

fn read(path: PathBuf) -> Result<File, Error> {
    match fs::read_to_string(&path) {
        Ok(content) => Ok(File {
            path: path.display().to_string(),
            content,
        }),
        Err(error) => Err(Error::Read(path, error)),
    }
}
