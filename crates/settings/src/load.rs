use super::*;

/// Reads settings from a file. Omitted fields keep their defaults.
///
/// # Errors
///
/// Returns `Error::Read` if the file cannot be read, and the errors of `parse`.
pub fn load<T>(path: impl AsRef<Path>) -> Result<T, Error>
where
    T: Check + Default + DeserializeOwned + Serialize,
{
    let file = path.as_ref().display().to_string();
    let text = fs::read_to_string(path.as_ref()).map_err(|error| Error::Read {
        file: file.clone(),
        message: error.to_string(),
    })?;
    parse(&file, &text)
}

/// Reads settings from text; `name` replaces the file name in messages.
///
/// # Errors
///
/// Returns `Error::Syntax` if the text is not JSON, and `Error::Faults` with every invalid field
/// otherwise.
pub fn parse<T>(name: &str, text: &str) -> Result<T, Error>
where
    T: Check + Default + DeserializeOwned + Serialize,
{
    let given: Value = serde_json::from_str(text).map_err(|error| syntax(name, &error))?;
    let mut faults = Faults::new(name);
    let settings = SettingsReader::<T>::new(&mut faults).read(&given);
    settings.check(&mut faults);
    if faults.is_empty() {
        return Ok(settings);
    }
    Err(Error::Faults(faults))
}

fn syntax(file: &str, error: &serde_json::Error) -> Error {
    let text = error.to_string();
    let message = text.split(" at line ").next().unwrap_or(&text);
    Error::Syntax {
        column: error.column(),
        file: file.into(),
        line: error.line(),
        message: message.into(),
    }
}
