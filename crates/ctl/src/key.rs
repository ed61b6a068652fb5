use super::*;

/// Environment variable that holds the operator key.
const KEY_VARIABLE: &str = "SYCAMOREGAUGE_OPERATOR_KEY";

/// Random bytes of a secret key; enough that a fast hash protects it.
const SECRET_KEY_BYTES: usize = 32;

/// Random bytes of an operation id; enough that no two edits share one.
const OPERATION_ID_BYTES: usize = 16;

/// Makes a secret key from the system's random numbers.
///
/// # Errors
///
/// Returns `Error::Key` when the system gives no random numbers.
pub fn new_secret_key() -> Result<String, Error> {
    random_hex::<SECRET_KEY_BYTES>()
}

/// Makes an operation id for one edit.
///
/// # Errors
///
/// Returns `Error::Key` when the system gives no random numbers.
pub fn new_operation_id() -> Result<String, Error> {
    random_hex::<OPERATION_ID_BYTES>()
}

/// Reads the operator key. It is never an argument, because other users of a machine can read
/// the arguments of a process.
///
/// # Errors
///
/// Returns `Error::Key` when there is none.
pub fn operator_key(file: Option<&Path>) -> Result<String, Error> {
    let key_error = |message: String| Error::Key { message };
    let text = match file {
        None => std::env::var(KEY_VARIABLE)
            .map_err(|error| key_error(format!("{KEY_VARIABLE}: {error}")))?,
        Some(file) => fs::read_to_string(file)
            .map_err(|error| key_error(format!("{}: {error}", file.display())))?,
    };
    match text.trim() {
        "" => Err(key_error("it is empty".into())),
        key => Ok(key.into()),
    }
}

fn random_hex<const COUNT: usize>() -> Result<String, Error> {
    let mut bytes = [0; COUNT];
    OsRng
        .try_fill_bytes(&mut bytes)
        .map_err(|error| Error::Key {
            message: format!("the system gives no random numbers: {error}"),
        })?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
