// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Status as text.

use std::collections::BTreeMap;
use std::fmt::Write;

use sablepass_core::revision::Revision;
use serde_json::Value;

use crate::remote::Status;

/// A table of documents and processes, or JSON.
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
    let _ = write_documents(&mut out, all);
    out
}

/// A revision as a status tells it, which is of an era of its own.
fn revision(it: &Value, name: &str) -> Revision {
    Revision::new(it["era"].as_u64().unwrap_or(0), it[name].as_u64().unwrap_or(0))
}

fn newest(all: &[Status]) -> Revision {
    let told = all.iter().filter_map(|it| it.1.as_ref().ok());
    told.map(|it| revision(it, "revision")).max().unwrap_or_default()
}

/// How far a process is behind; revisions of two eras cannot be subtracted.
fn lag(held: Revision, newest: Revision) -> String {
    if held.era < newest.era { "era".to_owned() } else { (newest.number - held.number).to_string() }
}

fn write_processes(out: &mut String, all: &[Status]) -> std::fmt::Result {
    let newest = newest(all);
    writeln!(out, "{:<24} {:<8} {:>9} {:>7}  STATE", "PROCESS", "ROLE", "REVISION", "LAG")?;
    for (process, status) in all {
        match status {
            Ok(it) => {
                let held = revision(it, "revision");
                let name = it["name"].as_str().unwrap_or(process);
                let role = it["role"].as_str().unwrap_or("");
                let (revision, lag) = (held.number, lag(held, newest));
                writeln!(out, "{name:<24} {role:<8} {revision:>9} {lag:>7}  {}", state(it))?;
            }
            Err(e) => writeln!(out, "{process:<24} {:<8} {:>9} {:>7}  {e}", "?", "", "")?,
        }
    }
    Ok(())
}

fn state(it: &Value) -> String {
    match (it["leaving"].as_bool(), it["drained"].as_bool()) {
        (_, Some(true)) => "drained".to_owned(),
        (Some(true), _) => format!("leaving, {} running", it["running"]),
        (Some(false), _) => format!("{} running", it["running"]),
        _ => format!("{} requests", it["requests"]),
    }
}

fn write_documents(out: &mut String, all: &[Status]) -> std::fmt::Result {
    let mut documents: BTreeMap<String, Vec<(&Value, String)>> = BTreeMap::new();
    for (process, status) in all {
        let Ok(status) = status else { continue };
        let name = status["name"].as_str().unwrap_or(process).to_owned();
        for it in status["documents"].as_array().into_iter().flatten() {
            let key = it["key"].as_str().unwrap_or("").to_owned();
            documents.entry(key).or_default().push((it, name.clone()));
        }
    }
    writeln!(out, "\n{:<28} {:>8} {:>9}  REFUSED OR LAGGING", "DOCUMENT", "DESIRED", "IN FORCE")?;
    for (key, seen) in &documents {
        write_document(out, key, seen)?;
    }
    Ok(())
}

fn write_document(out: &mut String, key: &str, seen: &[(&Value, String)]) -> std::fmt::Result {
    let Some((first, _)) = seen.iter().max_by_key(|it| revision(it.0, "desired")) else {
        return Ok(());
    };
    let newest = revision(first, "desired");
    let desired = newest.number;
    let lagging: Vec<&str> = seen
        .iter()
        .filter(|it| revision(it.0, "desired") < newest)
        .map(|it| it.1.as_str())
        .collect();
    let force = first["in_force"].as_u64().map_or("-".to_owned(), |it| it.to_string());
    let mut notes = Vec::new();
    if let Some(version) = first["version"].as_u64() {
        notes.push(format!("version {version}"));
    }
    if first["removed"].as_bool() == Some(true) {
        notes.push("removed".to_owned());
    }
    if let Some(reason) = first["refused"].as_str() {
        notes.push(reason.lines().collect::<Vec<_>>().join(" "));
    }
    if !lagging.is_empty() {
        notes.push(format!("lagging: {}", lagging.join(", ")));
    }
    writeln!(out, "{key:<28} {desired:>8} {force:>9}  {}", notes.join("; "))
}
