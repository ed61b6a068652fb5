use super::*;

/// Reads an entry of a list from a file, or from standard input.
///
/// # Errors
///
/// Returns `Error::Entry` if the input cannot be read or is not an entry of the list.
pub fn read_entry(list: ListKind, file: Option<&Path>) -> Result<Value, Error> {
    let (name, text) = match file {
        None => {
            let mut text = String::new();
            let result = io::stdin().read_to_string(&mut text);
            ("(standard input)".into(), result.map(|_| text))
        }
        Some(file) => (file.display().to_string(), fs::read_to_string(file)),
    };
    let text = text.map_err(|error| Error::Entry {
        file: name.clone(),
        message: error.to_string(),
    })?;
    parse_entry(list, &name, &text)
}

/// Parses an entry of a list from JSON; errors name `name` as its file.
///
/// # Errors
///
/// Returns `Error::Entry` if the text is not an entry of the list.
pub fn parse_entry(list: ListKind, name: &str, text: &str) -> Result<Value, Error> {
    match list {
        ListKind::Accounts => parse_as::<Account>(name, text),
        ListKind::Plans => parse_as::<Plan>(name, text),
    }
}

fn parse_as<T: DeserializeOwned + Serialize>(name: &str, text: &str) -> Result<Value, Error> {
    let entry: T = serde_json::from_str(text).map_err(|error| Error::Entry {
        file: format!("{name}:{}:{}", error.line(), error.column()),
        message: error.to_string(),
    })?;
    serde_json::to_value(entry).map_err(|error| Error::Entry {
        file: name.into(),
        message: error.to_string(),
    })
}
