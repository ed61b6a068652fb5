use super::*;

/// The one line that a binary prints on standard output when it listens. Tests and scripts read
/// the addresses from it, because a port of 0 in the settings lets the system choose one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Addresses by purpose, for example `callers` and `peers`.
    pub listening: BTreeMap<String, SocketAddr>,
    /// Name of the binary.
    pub program: String,
}

/// Prints the addresses as one line of JSON on standard output.
///
/// # Errors
///
/// Returns `Error::Output` when the line cannot be written.
pub fn announce(program: &str, addresses: &[(&str, SocketAddr)]) -> Result<(), Error> {
    let mut listening = BTreeMap::new();
    for (purpose, address) in addresses {
        listening.insert((*purpose).into(), *address);
    }
    let announcement = Announcement {
        listening,
        program: program.into(),
    };
    let fault = |message: String| Error::Output { message };
    let line = serde_json::to_string(&announcement).map_err(|error| fault(error.to_string()))?;
    let mut output = io::stdout().lock();
    writeln!(output, "{line}")
        .and_then(|()| output.flush())
        .map_err(|error| fault(error.to_string()))
}
