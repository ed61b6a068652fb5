use super::*;

/// Which of the two operator lists a command works on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListKind {
    /// The client accounts.
    Accounts,
    /// The plans, which hold the limits and permissions of accounts.
    Plans,
}

impl ListKind {
    /// Field that holds an entry of the list in the reply to a request for one entry.
    #[must_use]
    pub fn entry_name(self) -> &'static str {
        match self {
            Self::Accounts => "account",
            Self::Plans => "plan",
        }
    }

    /// Path of the list in the administration interface.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::Accounts => "/admin/accounts",
            Self::Plans => "/admin/plans",
        }
    }
}

/// A command of the operator, as read from the command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Removes an entry.
    Delete {
        /// Id of the entry.
        id: String,
        /// List that holds the entry.
        list: ListKind,
    },
    /// Creates a secret key and prints it with its hash.
    KeyNew,
    /// Prints a whole list.
    List(ListKind),
    /// Creates or replaces an entry.
    Put {
        /// File with the entry as JSON; none reads standard input.
        file: Option<PathBuf>,
        /// Id of the entry.
        id: String,
        /// List that holds the entry.
        list: ListKind,
    },
    /// Prints one entry.
    Show {
        /// Id of the entry.
        id: String,
        /// List that holds the entry.
        list: ListKind,
    },
    /// Prints the version in force at the replying instance and how many instances use it.
    Status,
}

impl Command {
    /// Parses the positional arguments of the command line.
    ///
    /// # Errors
    ///
    /// Returns `Error::Arguments` for an unknown command, or an id that may not be used in a path.
    pub fn parse(words: &[String]) -> Result<Self, Error> {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let (list, rest) = match words[..] {
            ["key", "new"] => return Ok(Self::KeyNew),
            ["status"] => return Ok(Self::Status),
            ["accounts", ref rest @ ..] => (ListKind::Accounts, rest),
            ["plans", ref rest @ ..] => (ListKind::Plans, rest),
            _ => return Err(unknown_command(&words)),
        };
        match *rest {
            ["delete", id] => Ok(Self::Delete {
                id: validate_id(id)?,
                list,
            }),
            ["list"] => Ok(Self::List(list)),
            ["put", id] | ["put", id, "-"] => Ok(Self::Put {
                file: None,
                id: validate_id(id)?,
                list,
            }),
            ["put", id, file] => Ok(Self::Put {
                file: Some(file.into()),
                id: validate_id(id)?,
                list,
            }),
            ["show", id] => Ok(Self::Show {
                id: validate_id(id)?,
                list,
            }),
            _ => Err(unknown_command(&words)),
        }
    }
}

/// Accepts only ids that keep their meaning as a segment of a URL path.
fn validate_id(id: &str) -> Result<String, Error> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if id.is_empty() || id.starts_with('.') || !id.bytes().all(is_allowed) {
        let message = format!("`{id}` is not an id; use letters, digits, `-`, `_` and `.`");
        return Err(Error::Arguments { message });
    }
    Ok(id.into())
}

fn unknown_command(words: &[&str]) -> Error {
    let message = match words {
        [] => "no command given".into(),
        words => format!("unknown command `{}`", words.join(" ")),
    };
    Error::Arguments { message }
}
