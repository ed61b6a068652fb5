use super::*;

/// One of the two operator lists.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListKind {
    /// Client accounts.
    Accounts,
    /// Plans.
    Plans,
}

impl ListKind {
    /// Name of one entry in replies.
    #[must_use]
    pub fn entry_name(self) -> &'static str {
        match self {
            Self::Accounts => "account",
            Self::Plans => "plan",
        }
    }

    /// Path of the list.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::Accounts => "/admin/accounts",
            Self::Plans => "/admin/plans",
        }
    }
}

/// What the operator asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Remove an entry.
    Delete {
        /// Entry.
        id: String,
        /// List.
        list: ListKind,
    },
    /// Make a secret key.
    KeyNew,
    /// Print a whole list.
    List(ListKind),
    /// Create or replace an entry.
    Put {
        /// File with the entry; none is standard input.
        file: Option<PathBuf>,
        /// Entry.
        id: String,
        /// List.
        list: ListKind,
    },
    /// Print one entry.
    Show {
        /// Entry.
        id: String,
        /// List.
        list: ListKind,
    },
    /// Print how far the newest version has come.
    Status,
}

impl Command {
    /// Reads the words of a command.
    ///
    /// # Errors
    ///
    /// Returns `Error::Arguments` for anything else than a documented command.
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

/// Ids become part of a path, where other characters would change its meaning.
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
