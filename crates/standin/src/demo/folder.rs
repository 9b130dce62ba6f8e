//! Temporary folder of the job.

use std::path::PathBuf;
use std::{env, fs, process};

use super::DemoError;

/// A new folder that is removed with its contents when it is dropped.
pub(super) struct Folder(PathBuf);

impl Folder {
    pub(super) fn create() -> Result<Self, DemoError> {
        let path = env::temp_dir().join(format!("flamingorock-demo-{}", process::id()));
        fs::create_dir(&path).map_err(DemoError::io(format!("cannot create {path:?}")))?;
        Ok(Self(path))
    }

    /// Writes a file and returns its path.
    pub(super) fn write(&self, name: &str, text: &str) -> Result<PathBuf, DemoError> {
        let path = self.0.join(name);
        fs::write(&path, text).map_err(DemoError::io(format!("cannot write {path:?}")))?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if let Err(error) = fs::remove_dir_all(&self.0) {
            eprintln!("cannot remove {}: {error}", self.0.display());
        }
    }
}
