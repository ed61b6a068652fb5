use super::*;

/// Description of a binary for its command line.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Purpose of the binary, in one line.
    pub description: &'static str,
    /// Name of the binary.
    pub name: &'static str,
    /// Version, usually `env!("CARGO_PKG_VERSION")`.
    pub version: &'static str,
}

impl Program {
    /// Parses the command line and reads the settings that it names. Returns none if there is
    /// nothing left to do, after `--help`, `--version` and `--check-settings`.
    ///
    /// # Errors
    ///
    /// Returns `Error::Arguments` if an argument is unknown or lacks its value, and the errors of
    /// `load`.
    pub fn settings<T>(&self, arguments: Vec<OsString>) -> Result<Option<T>, Error>
    where
        T: Check + Default + DeserializeOwned + Serialize,
    {
        let mut arguments = Arguments::from_vec(arguments);
        if arguments.contains("--help") {
            return print(&self.help()).map(|()| None);
        }
        if arguments.contains("--version") {
            return print(&format!("{} {}", self.name, self.version)).map(|()| None);
        }
        let is_check_only = arguments.contains("--check-settings");
        let file: Option<String> = arguments
            .opt_value_from_str("--settings")
            .map_err(|error| self.fault(&error.to_string()))?;
        if let Some(unknown) = arguments.finish().first() {
            let message = format!("unknown argument `{}`", unknown.to_string_lossy());
            return Err(self.fault(&message));
        }
        let settings = match &file {
            None => parse("(default settings)", "{}")?,
            Some(file) => load(file)?,
        };
        if is_check_only {
            return print("the settings are valid").map(|()| None);
        }
        Ok(Some(settings))
    }

    /// Parses the command line of the current process.
    ///
    /// # Errors
    ///
    /// Returns the errors of `settings`.
    pub fn settings_from_process<T>(&self) -> Result<Option<T>, Error>
    where
        T: Check + Default + DeserializeOwned + Serialize,
    {
        self.settings(std::env::args_os().skip(1).collect())
    }

    fn fault(&self, message: &str) -> Error {
        Error::Arguments {
            message: message.into(),
            program: self.name,
        }
    }

    fn help(&self) -> String {
        format!(
            "{} {}\n{}\n\nArguments:\n  \
             --settings FILE   JSON settings; fields that it omits keep their defaults\n  \
             --check-settings  checks the settings and exits\n  \
             --help            prints this text\n  \
             --version         prints the version",
            self.name, self.version, self.description
        )
    }
}

fn print(text: &str) -> Result<(), Error> {
    writeln!(io::stdout().lock(), "{text}").map_err(|error| Error::Output {
        message: error.to_string(),
    })
}
