//! Tests that the binaries accept the example settings and that the examples' README describes
//! every field.

use {serde_json::Value, std::path::PathBuf, suite::binary_path, yare::parameterized};

fn file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

/// Collects the paths of all fields of `value`. Lists count as one field.
fn paths(prefix: &str, value: &Value, list: &mut Vec<String>) {
    let Value::Object(fields) = value else {
        list.push(prefix.into());
        return;
    };
    for (key, value) in fields {
        let path = match prefix {
            "" => key.clone(),
            prefix => format!("{prefix}.{key}"),
        };
        paths(&path, value, list);
    }
}

#[parameterized(
    demo = { "demo" },
    engine = { "standin-engine" },
    entry = { "entry" },
    load = { "load" },
    platform = { "standin-platform" },
    service = { "standin-service" },
)]
fn example_is_accepted_and_documented(program: &str) {
    let example = file(&format!("{program}.json"));
    let output = std::process::Command::new(binary_path(program).unwrap())
        .arg("--settings")
        .arg(&example)
        .arg("--check-settings")
        .output()
        .unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    let readme = std::fs::read_to_string(file("README.md")).unwrap();
    let heading = format!("## {program}.json\n");
    let section = readme.split(&heading).nth(1).expect("a section");
    let section = section.split("\n## ").next().unwrap_or_default();
    let text = std::fs::read_to_string(example).unwrap();
    let mut list = Vec::new();
    paths("", &serde_json::from_str(&text).unwrap(), &mut list);
    for path in list {
        assert!(section.contains(&format!("| `{path}` |")), "{path}");
    }
}
