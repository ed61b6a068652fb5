use super::*;

/// One of the two operator lists.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum List {
    /// Client accounts.
    Accounts,
    /// Plans.
    Plans,
}

impl List {
    /// Name of one entry in replies.
    #[must_use]
    pub fn noun(self) -> &'static str {
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
        list: List,
    },
    /// Make a secret key.
    KeyNew,
    /// Print a whole list.
    List(List),
    /// Create or replace an entry.
    Put {
        /// File with the entry; none is standard input.
        file: Option<PathBuf>,
        /// Entry.
        id: String,
        /// List.
        list: List,
    },
    /// Print one entry.
    Show {
        /// Entry.
        id: String,
        /// List.
        list: List,
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
            ["accounts", ref rest @ ..] => (List::Accounts, rest),
            ["plans", ref rest @ ..] => (List::Plans, rest),
            _ => return Err(unknown(&words)),
        };
        match *rest {
            ["delete", id] => Ok(Self::Delete {
                id: checked(id)?,
                list,
            }),
            ["list"] => Ok(Self::List(list)),
            ["put", id] | ["put", id, "-"] => Ok(Self::Put {
                file: None,
                id: checked(id)?,
                list,
            }),
            ["put", id, file] => Ok(Self::Put {
                file: Some(file.into()),
                id: checked(id)?,
                list,
            }),
            ["show", id] => Ok(Self::Show {
                id: checked(id)?,
                list,
            }),
            _ => Err(unknown(&words)),
        }
    }
}

/// Ids become part of a path, where other characters would change its meaning.
fn checked(id: &str) -> Result<String, Error> {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if id.is_empty() || id.starts_with('.') || !id.bytes().all(is_plain) {
        let message = format!("`{id}` is not an id; use letters, digits, `-`, `_` and `.`");
        return Err(Error::Arguments { message });
    }
    Ok(id.into())
}

fn unknown(words: &[&str]) -> Error {
    let message = match words {
        [] => "no command given".into(),
        words => format!("unknown command `{}`", words.join(" ")),
    };
    Error::Arguments { message }
}
