// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Tests of the input and output of `sablepass-load`.

use std::path::PathBuf;
use std::process::{Command, Output};

/// Runs `sablepass-load`.
fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sablepass-load"))
        .args(args)
        .output()
        .expect("sablepass-load starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Writes a trace to a temporary file.
fn trace(name: &str, body: &str) -> PathBuf {
    let name = format!("sablepass-trace-{}-{name}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, body).expect("the trace file is written");
    path
}

const SMALL_GROUP: [&str; 8] = ["--ranks", "4", "--experts", "8", "--layers", "2", "--slots", "3"];

/// Runs `experts` on a small group.
fn experts(options: &[&str]) -> Output {
    let mut args = vec!["experts"];
    args.extend(SMALL_GROUP);
    args.extend(options);
    run(&args)
}

#[test]
fn verify_bad_trace_names_the_line() {
    let good = "step,layer,expert,tokens\n10,0,0,5\n20,1,7,6\n";
    let cases = [
        ("30,0,0", ":4: not four fields"),
        ("x,0,0,1", ":4: field is not a number"),
        ("30,2,0,1", ":4: layer is out of range"),
        ("30,0,8,1", ":4: expert is out of range"),
        ("30,0,0,-1", ":4: number of tokens is negative"),
        ("5,0,0,1", ":4: step is lower than on the previous line"),
    ];
    for (index, (line, expected)) in cases.iter().enumerate() {
        let file = trace(&index.to_string(), &format!("{good}{line}\n"));
        let out = experts(&["--trace", &file.to_string_lossy()]);
        let stderr = text(&out.stderr);
        assert!(!out.status.success() && stderr.contains(expected), "{expected}: {stderr}");
    }
    let empty = trace("empty", "step,layer,expert,tokens\n");
    assert!(!experts(&["--trace", &empty.to_string_lossy()]).status.success());
}

#[test]
fn verify_trace_runs() {
    let mut body = String::new();
    for step in 1..400 {
        for expert in 0..8 {
            let hot = if expert == step / 200 { 90 } else { 10 };
            body += &format!("{},0,{expert},{hot}\n{},1,{expert},{hot}\n", step * 10, step * 10);
        }
    }
    let file = trace("good", &body);
    let out = experts(&["--trace", &file.to_string_lossy(), "--json"]);
    assert!(out.status.success(), "{}", text(&out.stderr));
    assert_eq!(text(&out.stdout).lines().count(), 5);
}

#[test]
fn verify_same_seed_same_rows() {
    let rows = || text(&experts(&["--steps", "2000", "--seed", "9"]).stdout);
    let first = rows();
    assert_eq!(first, rows());
    assert_eq!(first.lines().count(), 1 + 5 * 5);
}

#[test]
fn verify_noise_causes_no_moves_when_moves_are_expensive() {
    let out = experts(&["--steps", "4000", "--weights", "skew=0.1,moves=5", "--json"]);
    let rows: Vec<serde_json::Value> =
        text(&out.stdout).lines().filter_map(|it| serde_json::from_str(it).ok()).collect();
    let row = rows.iter().find(|it| it["drift"] == "noise" && it["policy"] == "ours, given");
    assert_eq!(row.expect("the row is printed")["moves"], 0);
}

#[test]
fn verify_bad_arguments() {
    assert!(!experts(&["--weights", "skew=1"]).status.success());
    assert!(!experts(&["--weights", "skew=-1,moves=2"]).status.success());
    assert!(!run(&["experts", "--ranks", "0"]).status.success());
    assert!(!run(&["experts", "--ranks", "2", "--experts", "64", "--slots", "1"]).status.success());
    for command in ["experts", "requests", "overload", "capacity", "unsized-answers"] {
        assert!(run(&[command, "--help"]).status.success());
    }
}
