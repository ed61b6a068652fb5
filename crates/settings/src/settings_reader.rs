use super::*;

/// Merges the given settings into the JSON form of the default, keeping the default of each value
/// that is invalid.
pub(crate) struct SettingsReader<'a, T> {
    current: Value,
    faults: &'a mut Faults,
    settings: T,
}

impl<'a, T> SettingsReader<'a, T>
where
    T: Check + Default + DeserializeOwned + Serialize,
{
    pub(crate) fn new(faults: &'a mut Faults) -> Self {
        let settings = T::default();
        Self {
            current: serde_json::to_value(&settings).unwrap_or_default(),
            faults,
            settings,
        }
    }

    /// Returns the settings with every valid value of `given`.
    pub(crate) fn read(mut self, given: &Value) -> T {
        if !given.is_object() {
            let remedy = "write an object, such as {}, around the settings";
            self.faults
                .add("(whole file)", given, "is not an object", remedy);
            return self.settings;
        }
        self.merge(&mut Vec::new(), given);
        let read = serde_json::to_value(&self.settings).unwrap_or_default();
        self.report_ignored_keys("", given, &read);
        self.settings
    }

    /// Merges `given` at `path`, field by field if the default is an object.
    fn merge(&mut self, path: &mut Vec<String>, given: &Value) {
        let name = path.join(".");
        let is_free_form = T::free_form_fields().contains(&name.as_str());
        let known = field_mut(&mut self.current, path)
            .cloned()
            .unwrap_or_default();
        let (Value::Object(fields), Value::Object(given_fields), false) =
            (&known, given, is_free_form)
        else {
            self.set_value(path, given);
            return;
        };
        if fields.is_empty() {
            self.set_value(path, given);
            return;
        }
        for (key, value) in given_fields {
            path.push(key.clone());
            if fields.contains_key(key) {
                self.merge(path, value);
            } else {
                self.report_unknown_key(&path.join("."), key, value, fields);
            }
            path.pop();
        }
    }

    /// Sets one value, but keeps the default if the settings type rejects it.
    fn set_value(&mut self, path: &[String], given: &Value) {
        let Some(slot) = field_mut(&mut self.current, path) else {
            return;
        };
        let before = std::mem::replace(slot, given.clone());
        match T::deserialize(&self.current) {
            Err(error) => {
                if let Some(slot) = field_mut(&mut self.current, path) {
                    *slot = before.clone();
                }
                let remedy = match &before {
                    Value::Null => "write a value of the documented form, or null".into(),
                    value => format!("write a value of the same form as the default {value}"),
                };
                self.faults
                    .add(&path.join("."), given, &error.to_string(), &remedy);
            }
            Ok(settings) => self.settings = settings,
        }
    }

    fn report_unknown_key(
        &mut self,
        path: &str,
        key: &str,
        value: &Value,
        fields: &Map<String, Value>,
    ) {
        let remedy = match closest_match(key, fields.keys().map(String::as_str)) {
            None => {
                let known: Vec<&str> = fields.keys().map(String::as_str).collect();
                format!("remove it; the known keys are {}", known.join(", "))
            }
            Some(known) => format!("did you mean `{known}`?"),
        };
        self.faults.add(path, value, "is an unknown key", &remedy);
    }

    /// Reports keys that were ignored during deserialization, which happens inside lists and maps.
    fn report_ignored_keys(&mut self, path: &str, given: &Value, read: &Value) {
        match (given, read) {
            (Value::Array(given), Value::Array(read)) => {
                for (index, (given, read)) in given.iter().zip(read).enumerate() {
                    self.report_ignored_keys(&format!("{path}[{index}]"), given, read);
                }
            }
            (Value::Object(given), Value::Object(read)) => {
                for (key, value) in given {
                    let path = match path {
                        "" => key.clone(),
                        path => format!("{path}.{key}"),
                    };
                    match read.get(key) {
                        None if value.is_null() => {}
                        None => self.report_unknown_key(&path, key, value, read),
                        Some(read) => self.report_ignored_keys(&path, value, read),
                    }
                }
            }
            _ => {}
        }
    }
}

fn field_mut<'a>(mut value: &'a mut Value, path: &[String]) -> Option<&'a mut Value> {
    for key in path {
        value = value.as_object_mut()?.get_mut(key)?;
    }
    Some(value)
}
