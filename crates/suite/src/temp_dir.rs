use super::*;

/// Number of folders made by this process, so that tests in one process have one each.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

/// Folder for the settings and logs of one test, removed at its end.
#[derive(Debug)]
pub struct TempDir {
    path: PathBuf,
}

impl TempDir {
    /// Makes a folder.
    ///
    /// # Errors
    ///
    /// Returns an error when the system's folder for temporary files cannot be written.
    pub fn new() -> Result<Self> {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("suite-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).context("a folder for temporary files")?;
        Ok(Self { path })
    }

    /// Writes a value as a JSON file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be written.
    pub fn write<T: Serialize>(&self, name: &str, value: &T) -> Result<PathBuf> {
        let path = self.path.join(name);
        fs::write(&path, serde_json::to_vec_pretty(value)?).context("a settings file")?;
        Ok(path)
    }

    /// Path of a file in the folder.
    #[must_use]
    pub fn path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}
