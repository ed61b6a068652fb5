use super::*;

/// Number of the next directory, so that all tests of one process get different directories.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

/// Directory for the settings and logs of one test. Dropping it removes the directory.
#[derive(Debug)]
pub struct TempDir {
    path: PathBuf,
}

impl TempDir {
    /// Creates a directory.
    ///
    /// # Errors
    ///
    /// Returns an error when the system's temporary directory is not writable.
    pub fn new() -> Result<Self> {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("suite-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).context("cannot create a temporary directory")?;
        Ok(Self { path })
    }

    /// Writes a value to a JSON file in the directory and returns its path.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be written.
    pub fn write<T: Serialize>(&self, name: &str, value: &T) -> Result<PathBuf> {
        let path = self.path.join(name);
        fs::write(&path, serde_json::to_vec_pretty(value)?)
            .context("cannot write a settings file")?;
        Ok(path)
    }

    /// Path of a file in the directory; the file need not exist.
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
