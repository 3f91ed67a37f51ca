// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Formats the status of processes as text.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::{Duration, UNIX_EPOCH};

use sablepass_core::revision::Revision;
use serde_json::Value;

use crate::remote::Status;

/// Formats the statuses as a table of processes and one of documents, or as a JSON array.
pub fn status(all: &[Status], json: bool) -> String {
    if json {
        let values: Vec<Value> = all
            .iter()
            .map(|(process, it)| match it {
                Ok(value) => serde_json::json!({ "process": process, "status": value }),
                Err(e) => serde_json::json!({ "process": process, "error": e.to_string() }),
            })
            .collect();
        return format!("{:#}\n", Value::Array(values));
    }
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = write_processes(&mut out, all);
    let _ = write_evacuations(&mut out, all);
    let _ = write_documents(&mut out, all);
    out
}

/// Reads the revision in the field `name` of a process's or a document's status. Its era is in the
/// same JSON object.
fn revision(status: &Value, name: &str) -> Revision {
    Revision::new(status["era"].as_u64().unwrap_or(0), status[name].as_u64().unwrap_or(0))
}

fn newest(all: &[Status]) -> Revision {
    let answers = all.iter().filter_map(|it| it.1.as_ref().ok());
    answers.map(|it| revision(it, "revision")).max().unwrap_or_default()
}

/// Number of revisions by which a process is behind the newest one, or `era` if its revision is of
/// an earlier era: the distance between revisions of two eras is undefined.
fn lag(held: Revision, newest: Revision) -> String {
    if held.era < newest.era { "era".to_owned() } else { (newest.number - held.number).to_string() }
}

fn write_processes(out: &mut String, all: &[Status]) -> std::fmt::Result {
    let newest = newest(all);
    writeln!(out, "{:<24} {:<8} {:>9} {:>7}  STATE", "PROCESS", "ROLE", "REVISION", "LAG")?;
    for (process, status) in all {
        match status {
            Ok(status) => {
                let held = revision(status, "revision");
                let name = status["name"].as_str().unwrap_or(process);
                let role = status["role"].as_str().unwrap_or("");
                let (revision, lag) = (held.number, lag(held, newest));
                writeln!(out, "{name:<24} {role:<8} {revision:>9} {lag:>7}  {}", state(status))?;
            }
            Err(e) => writeln!(out, "{process:<24} {:<8} {:>9} {:>7}  {e}", "?", "", "")?,
        }
    }
    Ok(())
}

fn state(status: &Value) -> String {
    match (status["leaving"].as_bool(), status["drained"].as_bool()) {
        (_, Some(true)) => "drained".to_owned(),
        (Some(true), _) => format!("leaving, {} running", status["running"]),
        (Some(false), _) => format!("{} running", status["running"]),
        _ => format!("{} requests", status["requests"]),
    }
}

/// Writes the evacuated halls, if there are any: since when the first process knows of each, the
/// revision of its document, and the entries that don't know of it.
fn write_evacuations(out: &mut String, all: &[Status]) -> std::fmt::Result {
    let mut evacuations: BTreeMap<(&str, &str), Vec<(&Value, &str)>> = BTreeMap::new();
    let mut entries = Vec::new();
    for (process, status) in all {
        let Ok(status) = status else { continue };
        let Some(evacuated) = status["evacuations"].as_array() else { continue };
        let name = status["name"].as_str().unwrap_or(process);
        entries.push(name);
        for it in evacuated {
            let key = (it["hall"].as_str().unwrap_or(""), it["partner"].as_str().unwrap_or(""));
            evacuations.entry(key).or_default().push((it, name));
        }
    }
    if evacuations.is_empty() {
        return Ok(());
    }
    writeln!(
        out,
        "\n{:<28} {:<30} {:>4} {:>9}  NOTES",
        "EVACUATED HALL", "SINCE", "ERA", "REVISION"
    )?;
    for ((hall, partner), known) in &evacuations {
        let since = known.iter().filter_map(|it| it.0["since"].as_u64()).min().unwrap_or(0);
        let since = httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_millis(since));
        let newest = known.iter().map(|it| revision(it.0, "revision")).max().unwrap_or_default();
        let unaware: Vec<&str> =
            entries.iter().copied().filter(|name| known.iter().all(|it| it.1 != *name)).collect();
        let mut notes = format!("by {partner}");
        if !unaware.is_empty() {
            write!(notes, "; lagging: {}", unaware.join(", "))?;
        }
        let Revision { era, number } = newest;
        let hall = hall.escape_debug().to_string();
        writeln!(out, "{hall:<28} {since:<30} {era:>4} {number:>9}  {notes}")?;
    }
    Ok(())
}

fn write_documents(out: &mut String, all: &[Status]) -> std::fmt::Result {
    let mut documents: BTreeMap<String, Vec<(&Value, String)>> = BTreeMap::new();
    for (process, status) in all {
        let Ok(status) = status else { continue };
        let name = status["name"].as_str().unwrap_or(process).to_owned();
        for document in status["documents"].as_array().into_iter().flatten() {
            let key = document["key"].as_str().unwrap_or("").to_owned();
            documents.entry(key).or_default().push((document, name.clone()));
        }
    }
    writeln!(out, "\n{:<28} {:>8} {:>9}  REFUSED OR LAGGING", "DOCUMENT", "DESIRED", "IN FORCE")?;
    for (key, statuses) in &documents {
        write_document(out, key, statuses)?;
    }
    Ok(())
}

/// Writes the row of a document. `statuses` has its status and the name of each process.
fn write_document(out: &mut String, key: &str, statuses: &[(&Value, String)]) -> std::fmt::Result {
    let Some((latest, _)) = statuses.iter().max_by_key(|it| revision(it.0, "desired")) else {
        return Ok(());
    };
    let newest = revision(latest, "desired");
    let desired = newest.number;
    let lagging: Vec<&str> = statuses
        .iter()
        .filter(|it| revision(it.0, "desired") < newest)
        .map(|it| it.1.as_str())
        .collect();
    let in_force = latest["in_force"].as_u64().map_or("-".to_owned(), |it| it.to_string());
    let mut notes = Vec::new();
    if let Some(version) = latest["version"].as_u64() {
        notes.push(format!("version {version}"));
    }
    if latest["removed"].as_bool() == Some(true) {
        notes.push("removed".to_owned());
    }
    if let Some(reason) = latest["refused"].as_str() {
        notes.push(reason.lines().collect::<Vec<_>>().join(" "));
    }
    if !lagging.is_empty() {
        notes.push(format!("lagging: {}", lagging.join(", ")));
    }
    writeln!(out, "{key:<28} {desired:>8} {in_force:>9}  {}", notes.join("; "))
}
