use super::*;

/// Hex-encoded hash under which a secret key is stored.
pub type KeyHash = Arc<str>;

/// Hashes a secret key. Keys are long and random, so a fast hash is sufficient.
#[must_use]
pub fn hash_key(secret: &str) -> KeyHash {
    blake3::hash(secret.as_bytes()).to_hex().as_str().into()
}
