use super::*;

/// Shared secret. Its `Debug` output does not contain the text.
#[derive(Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Whether no secret is set.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Hash of the secret. Hashes compare in constant time.
    pub(crate) fn hash(&self) -> Hash {
        blake3::hash(self.0.as_bytes())
    }
}

impl Debug for Secret {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        formatter.write_str("Secret(..)")
    }
}

impl From<&str> for Secret {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}
