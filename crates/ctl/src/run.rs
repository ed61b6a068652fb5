use super::*;

/// Runs a command and returns the text for standard output.
///
/// # Errors
///
/// Returns `Error::Arguments` without an entry address, `Error::Key` and `Error::Entry` if the
/// key or the entry cannot be read, and the errors of `Client`.
pub async fn run(options: &Options) -> Result<String, Error> {
    if options.command == Command::KeyNew {
        return new_key(options);
    }
    if options.entries.is_empty() {
        return Err(Error::Arguments {
            message: "no entry address; use `--entry` or SYCAMOREGAUGE_ENTRIES".into(),
        });
    }
    let client = Client {
        entries: options.entries.clone(),
        key: operator_key(options.key_file.as_deref())?,
        time_limit: options.time_limit,
    };
    match &options.command {
        Command::Delete { id, list } => edit(options, &client, *list, id, None).await,
        Command::KeyNew => new_key(options),
        Command::List(list) => show_list(options, &client, *list).await,
        Command::Put { file, id, list } => {
            let entry = read_entry(*list, file.as_deref())?;
            edit(options, &client, *list, id, Some(entry)).await
        }
        Command::Show { id, list } => {
            let reply = client.get(&format!("{}/{id}", list.path())).await?;
            Ok(if options.is_json {
                json_line(&reply)
            } else {
                pretty_json(&reply[list.entry_name()])
            })
        }
        Command::Status => {
            let status = client.status().await?;
            Ok(show_status(options, &status))
        }
    }
}

async fn edit(
    options: &Options,
    client: &Client,
    list: ListKind,
    id: &str,
    entry: Option<Value>,
) -> Result<String, Error> {
    let if_match = match (options.if_match, &options.operation_id) {
        // With a newly read version, the retry of an earlier edit would become a different edit.
        (given, Some(_)) => given,
        (None, None) => Some(client::reply_version(&client.get(list.path()).await?)?),
        (given, None) => given,
    };
    let operation_id = match &options.operation_id {
        None => key::new_operation_id()?,
        Some(operation_id) => operation_id.clone(),
    };
    let version = client
        .edit(&Edit {
            entry,
            if_match,
            operation_id: operation_id.clone(),
            path: format!("{}/{id}", list.path()),
        })
        .await?;
    if options.wait {
        client
            .wait_until_in_force(version, options.time_limit)
            .await?;
    }
    if options.is_json {
        let is_in_force = options.wait;
        return Ok(json_line(
            &json!({"in_force": is_in_force, "operation_id": operation_id, "version": version}),
        ));
    }
    Ok(match options.wait {
        false => format!("accepted as version {version}\n"),
        true => format!("version {version} is in force on every instance\n"),
    })
}

async fn show_list(options: &Options, client: &Client, list: ListKind) -> Result<String, Error> {
    let reply = client.get(list.path()).await?;
    if options.is_json {
        return Ok(json_line(&reply));
    }
    let version = client::reply_version(&reply)?;
    let reply_error = |error: serde_json::Error| Error::Reply {
        message: error.to_string(),
    };
    let rows = match list {
        ListKind::Accounts => {
            account_rows(&serde_json::from_value(reply["accounts"].clone()).map_err(reply_error)?)
        }
        ListKind::Plans => {
            plan_rows(&serde_json::from_value(reply["plans"].clone()).map_err(reply_error)?)
        }
    };
    Ok(format!("version {version}\n{}", format_table(&rows)))
}

fn account_rows(accounts: &BTreeMap<String, Account>) -> Vec<Vec<String>> {
    let mut rows = vec![row(&[&"ACCOUNT", &"PLAN", &"KEYS"])];
    for (id, account) in accounts {
        rows.push(row(&[id, &account.plan, &account.key_hashes.len()]));
    }
    rows
}

fn plan_rows(plans: &BTreeMap<String, Plan>) -> Vec<Vec<String>> {
    let mut rows = vec![row(&[
        &"PLAN",
        &"WEIGHT",
        &"CONCURRENT",
        &"QUEUED",
        &"MODELS",
        &"SERVICES",
    ])];
    for (id, plan) in plans {
        let models: Vec<&str> = plan.models.iter().map(AsRef::as_ref).collect();
        let services: Vec<&str> = plan.services.iter().map(AsRef::as_ref).collect();
        rows.push(row(&[
            id,
            &plan.share_weight,
            &plan.max_concurrent_count,
            &plan.max_queued_count,
            &models.join(","),
            &services.join(","),
        ]));
    }
    rows
}

fn row(cells: &[&dyn std::fmt::Display]) -> Vec<String> {
    cells.iter().map(ToString::to_string).collect()
}

fn show_status(options: &Options, status: &Status) -> String {
    if options.is_json {
        return json_line(&json!(status));
    }
    let mut rows = vec![row(&[&"INSTANCE", &"DOMAIN", &"HEALTH", &"VERSION"])];
    for instance in &status.instances {
        rows.push(row(&[
            &instance.id,
            &instance.failure_domain,
            &instance.health,
            &instance.config_version,
        ]));
    }
    let in_force = in_force_text(status.in_force_count, status.instance_count);
    let summary = format!("version {} is {in_force}\n", status.config_version);
    summary + &format_table(&rows)
}

/// Says on how many instances a version is in force, as far as the replying instance knows.
pub(crate) fn in_force_text(in_force: Option<usize>, total: Option<usize>) -> String {
    match (in_force, total) {
        (Some(in_force), Some(total)) => format!("in force on {in_force} of {total} instances"),
        _ => "in force on a number of instances that is not known yet".into(),
    }
}

fn new_key(options: &Options) -> Result<String, Error> {
    let secret = new_secret_key()?;
    let hash = hash_key(&secret);
    if options.is_json {
        return Ok(json_line(&json!({"hash": hash, "key": secret})));
    }
    Ok(format!(
        "key   {secret}\nhash  {hash}\nThe key is shown only now; put the hash into `key_hashes`.\n"
    ))
}

fn json_line(value: &Value) -> String {
    format!("{value}\n")
}

fn pretty_json(value: &Value) -> String {
    format!("{value:#}\n")
}
