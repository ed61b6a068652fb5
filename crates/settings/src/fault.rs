use super::*;

/// An invalid value in the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Path of the field, such as `limits.body_bytes`.
    pub path: String,
    /// What is wrong with the value.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
    /// The value, as JSON or text.
    pub value: String,
}

/// All faults of one settings file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    file: String,
    list: Vec<Fault>,
    prefix: String,
}

impl Faults {
    /// Creates an empty list of faults for a file.
    #[must_use]
    pub fn new(file: &str) -> Self {
        Self {
            file: file.into(),
            ..Self::default()
        }
    }

    /// Adds a fault. Further faults of the same field are dropped: an invalid value is replaced by
    /// its default, so a later check would judge the default rather than the given value.
    pub fn add(&mut self, path: &str, value: impl Display, problem: &str, remedy: &str) {
        let path = self.full_path(path);
        if self.list.iter().any(|fault| fault.path == path) {
            return;
        }
        self.list.push(Fault {
            path,
            problem: problem.into(),
            remedy: remedy.into(),
            value: value.to_string(),
        });
    }

    /// Checks settings nested at `path`.
    pub fn check_nested(&mut self, path: &str, part: &impl Check) {
        let nested_prefix = self.full_path(path);
        let outer_prefix = std::mem::replace(&mut self.prefix, nested_prefix);
        part.check(self);
        self.prefix = outer_prefix;
    }

    /// Returns whether there are no faults.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the faults in the order in which they were found.
    #[must_use]
    pub fn list(&self) -> &[Fault] {
        &self.list
    }

    /// Adds a fault if `value` is outside `range`.
    pub fn require_in_range<T: Copy + Display + PartialOrd>(
        &mut self,
        path: &str,
        value: T,
        range: RangeInclusive<T>,
        remedy: &str,
    ) {
        if !range.contains(&value) {
            let problem = format!("is not within {} to {}", range.start(), range.end());
            self.add(path, value, &problem, remedy);
        }
    }

    /// Adds a fault if `holds` is false.
    pub fn require(
        &mut self,
        holds: bool,
        path: &str,
        value: impl Display,
        problem: &str,
        remedy: &str,
    ) {
        if !holds {
            self.add(path, value, problem, remedy);
        }
    }

    /// Adds a fault if `text` is empty.
    pub fn require_not_empty(&mut self, path: &str, text: &str, remedy: &str) {
        if text.is_empty() {
            self.add(path, "\"\"", "is empty", remedy);
        }
    }

    fn full_path(&self, path: &str) -> String {
        match self.prefix.as_str() {
            "" => path.into(),
            prefix => format!("{prefix}.{path}"),
        }
    }
}

impl Display for Faults {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        for (index, fault) in self.list.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            let (path, value) = (&fault.path, &fault.value);
            write!(formatter, "{}: {path} = {value}: ", self.file)?;
            write!(formatter, "{}; {}", fault.problem, fault.remedy)?;
        }
        Ok(())
    }
}
