use super::*;

/// Hex form of the hash under which a secret key is stored.
pub type KeyHash = Arc<str>;

/// Hashes a secret key. Keys are random and long, so a fast hash suffices.
#[must_use]
pub fn hash_key(secret: &str) -> KeyHash {
    blake3::hash(secret.as_bytes()).to_hex().as_str().into()
}
