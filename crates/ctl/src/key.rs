use super::*;

/// Environment variable that holds the operator key.
const KEY_VARIABLE: &str = "SYCAMOREGAUGE_OPERATOR_KEY";

/// Length of a secret key in random bytes. 256 random bits cannot be guessed, so that a fast
/// hash is enough to protect the key.
const SECRET_KEY_BYTES: usize = 32;

/// Length of an operation id in random bytes; long enough that no two edits get the same id.
const OPERATION_ID_BYTES: usize = 16;

/// Creates a secret key from the operating system's random number generator, in hexadecimal.
///
/// # Errors
///
/// Returns `Error::Key` if the random number generator fails.
pub fn new_secret_key() -> Result<String, Error> {
    random_hex::<SECRET_KEY_BYTES>()
}

/// Creates an operation id for one edit, in hexadecimal.
///
/// # Errors
///
/// Returns `Error::Key` if the random number generator fails.
pub fn new_operation_id() -> Result<String, Error> {
    random_hex::<OPERATION_ID_BYTES>()
}

/// Reads the operator key from `file`, or from the environment variable if there is no file. The
/// key is never a command-line argument, because other users of a machine can read the arguments
/// of a process.
///
/// # Errors
///
/// Returns `Error::Key` if the key is missing, unreadable or empty.
pub fn operator_key(file: Option<&Path>) -> Result<String, Error> {
    let key_error = |message: String| Error::Key { message };
    let text = match file {
        None => std::env::var(KEY_VARIABLE)
            .map_err(|error| key_error(format!("{KEY_VARIABLE}: {error}")))?,
        Some(file) => fs::read_to_string(file)
            .map_err(|error| key_error(format!("{}: {error}", file.display())))?,
    };
    match text.trim() {
        "" => Err(key_error("the key is empty".into())),
        key => Ok(key.into()),
    }
}

fn random_hex<const COUNT: usize>() -> Result<String, Error> {
    let mut bytes = [0; COUNT];
    OsRng
        .try_fill_bytes(&mut bytes)
        .map_err(|error| Error::Key {
            message: format!("the system's random number generator failed: {error}"),
        })?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
