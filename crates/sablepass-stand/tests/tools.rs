// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Tests of the command lines, the settings files and `sablepassctl`.

mod common;

use std::path::PathBuf;
use std::process::{Command, Output};

use common::{FARM, TATRANSKA, fleet};
use sablepass_stand::client::{Ask, control, metric};
use sablepass_stand::process;

/// Runs a program of the workspace.
fn run(name: &str, args: &[&str]) -> Output {
    Command::new(process::program(name)).args(args).output().expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Returns the path of an example file in `config`.
fn config(name: &str) -> String {
    format!("{}/../../config/{name}", env!("CARGO_MANIFEST_DIR"))
}

/// Writes a file in a temporary directory of this process.
fn write(name: &str, body: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("sablepass-tools-{}", std::process::id()));
    let path = dir.join(name);
    std::fs::create_dir_all(path.parent().expect("the path has a parent"))
        .expect("the directory is created");
    std::fs::write(&path, body).expect("the file is written");
    path
}

#[test]
fn verify_example_settings() {
    for (program, file) in [("sablepass-entry", "entry.toml"), ("sablepass-agent", "agent.toml")] {
        let out = run(program, &["--config", &config(file), "--check"]);
        assert!(out.status.success(), "{}", text(&out.stderr));
    }
    let files = [config("tatranska/main.toml"), config("masa/main.toml")];
    let out = run("sablepassctl", &["check", &files[0], &files[1]]);
    assert!(out.status.success(), "{}", text(&out.stdout));
}

#[test]
fn verify_help_and_version() {
    for program in ["sablepass-entry", "sablepass-agent", "sablepassctl", "sablepass-stand"] {
        assert!(run(program, &["--help"]).status.success());
        assert!(run(program, &["--version"]).status.success());
    }
}

#[test]
fn verify_bad_settings_name_the_key() {
    let good = std::fs::read_to_string(config("entry.toml")).expect("entry.toml is read");
    let cases = [
        (good.replace("http = ", "http_ = "), "http_"),
        (good.replace("# policy = \"affinity\"", "policy = \"luck\""), "policy = luck"),
        (good.replace("# subset = 8", "subset = 0"), "subset = 0; allowed is 1 to 1024"),
        (
            good.replace("# bodies = 268435456", "bodies = 65535"),
            "bodies = 65535; allowed is 65536",
        ),
        (good.replace("# buffers = 268435456", "buffers = 9"), "buffers = 9; allowed is 65536"),
        (good.replace("name = \"entry-1\"", "name = \"\""), "node.name"),
        (good.replace("\"127.0.0.1:7000\"", "\"nowhere\""), "listen"),
        (good.replace("platform = \"http:", "platform = \"ftp:"), "node.platform"),
    ];
    for (index, (body, expected)) in cases.iter().enumerate() {
        let file = write(&format!("bad{index}.toml"), body);
        let out = run("sablepass-entry", &["--config", &file.to_string_lossy(), "--check"]);
        let output = text(&out.stderr);
        assert!(!out.status.success() && output.contains(expected), "{expected}: {output}");
        assert!(output.contains(&format!("bad{index}.toml")), "{output}");
    }
}

#[test]
fn verify_check_refuses_invalid_documents() {
    let cases = [
        ("[[target]]\nname = \"masa/x\"\nserves = \"m\"\nhall = \"h\"\ncapacity = 1", "masa/x"),
        ("[[target]]\nname = \"x\"\nserves = \"m\"\nhall = \"h\"\ncapacity = 0", "capacity = 0"),
        ("[[grant]]\nto = \"masa\"\nserves = \"m\"\npart = 1.5", "part = 1.5"),
        ("[[customer]]\nname = \"c\"\nkey = \"short\"\nshare = 1", "at least 8 bytes"),
        ("[[oven]]\nname = \"c\"", "oven"),
        (
            "[[group]]\nname = \"g\"\nmembers = [\"a\"]\nranks = 2\nexperts = 9\nlayers = 1\nslots = 4",
            "slots = 4",
        ),
    ];
    for (index, (body, expected)) in cases.iter().enumerate() {
        let file = write(&format!("tatranska/d{index}.toml"), body);
        let out = run("sablepassctl", &["check", &file.to_string_lossy()]);
        let output = text(&out.stdout);
        assert!(!out.status.success() && output.contains(expected), "{expected}: {output}");
    }
}

#[test]
fn verify_status_shows_lag_and_refusal() {
    let fleet = fleet(false);
    fleet.publish(
        "tatranska/bad.toml",
        "[[target]]\nname = \"t1\"\nserves = \"x\"\nhall = \"h\"\ncapacity = 1",
    );
    let status = || {
        let admin = fleet.admin(0);
        let out = run(
            "sablepassctl",
            &["status", "-p", &admin, "-p", &fleet.targets[0].agent.addr("admin")],
        );
        text(&out.stdout)
    };
    sablepass_stand::client::wait_for("the status shows the duplicate declaration", || {
        status().contains("declared already")
    });
    let table = status();
    assert!(table.contains("entry-1") && table.contains("tatranska/t1"), "{table}");
}

#[test]
fn verify_explain_request() {
    let fleet = fleet(false);
    let answer = Ask::chat(FARM, "triage", "explained", 2, false).send(&fleet.http(0));
    let out = run("sablepassctl", &["explain", "request", &answer.id, "-p", &fleet.admin(0)]);
    let output = text(&out.stdout);
    assert!(
        output.contains("admitted")
            && output.contains("answered")
            && output.contains("tatranska/t")
    );
    let unknown = run("sablepassctl", &["explain", "request", "00", "-p", &fleet.admin(0)]);
    assert!(!unknown.status.success());
}

#[test]
fn verify_every_reason_has_a_counter() {
    use sablepass_core::reason::{Ignored, Refusal, Retry};
    let fleet = fleet(false);
    for admin in [fleet.admin(0), fleet.targets[0].agent.addr("admin")] {
        let ask = Ask {
            method: "GET".into(),
            path: "/metrics".into(),
            headers: Vec::new(),
            body: String::new(),
        };
        let text = ask.send(&admin).body;
        let has = |metric: &str, label: &str| {
            let line = format!("sablepass_{metric}{{reason=\"{label}\"}}");
            assert!(text.contains(&line), "{line}");
        };
        Refusal::ALL.iter().for_each(|it| has("refusals_total", it.label()));
        Retry::ALL.iter().for_each(|it| has("retries_total", it.label()));
        Ignored::ALL.iter().for_each(|it| has("ignored_total", it.label()));
    }
}

#[test]
fn verify_health() {
    let fleet = fleet(false);
    for path in ["/healthz", "/readyz"] {
        let ask = Ask {
            method: "GET".into(),
            path: path.into(),
            headers: Vec::new(),
            body: String::new(),
        };
        assert_eq!(ask.send(&fleet.admin(0)).status, 200, "{path}");
        assert_eq!(ask.send(&fleet.targets[0].agent.addr("admin")).status, 200, "{path}");
    }
    assert_eq!(control(&fleet.admin(0), "GET", "/status", "")["role"], "entry");
}

#[test]
fn verify_bad_requests() {
    let fleet = fleet(false);
    let ok = Ask::chat(FARM, "triage", "x", 1, false);
    let with = |change: &dyn Fn(&mut Ask)| {
        let mut ask = ok.clone();
        change(&mut ask);
        ask
    };
    let large = "x".repeat(5 << 20);
    let cases = [
        (with(&|it| it.body = "{".into()), 400, "bad-body"),
        (with(&|it| it.body = "[]".into()), 400, "bad-body"),
        (with(&|it| it.body = "{\"model\":\"triage\"}".into()), 400, "bad-body"),
        (with(&|it| it.body = large.clone()), 413, "body-too-large"),
        (with(&|it| it.body = it.body.replace("triage", "nothing")), 404, "unknown-model"),
        (with(&|it| it.path = "/v1/nothing".into()), 404, "unknown-path"),
        (with(&|it| it.path = "/services/nothing/x".into()), 404, "unknown-model"),
        (with(&|it| it.method = "PUT".into()), 405, "wrong-method"),
        (with(&|it| it.headers.clear()), 401, "unknown-key"),
        (with(&|it| it.headers[0].1 = "Bearer wrong-key".into()), 401, "unknown-key"),
        (ok.clone().with("x-sablepass-priority", "highest"), 400, "bad-header"),
        (ok.clone().with("x-sablepass-unsafe", "maybe"), 400, "bad-header"),
        (ok.clone().with("x-sablepass-deadline-ms", "soon"), 400, "bad-header"),
        (ok.clone().with("x-sablepass-deadline-ms", "0"), 400, "bad-header"),
        (ok.clone().with("idempotency-key", &"k".repeat(300)), 400, "bad-header"),
        (ok.clone().with("x-anything", &"h".repeat(20_000)), 431, "header-too-large"),
        (ok.clone().with("x-sablepass-key-issued", "-1"), 400, "bad-header"),
    ];
    for (ask, status, reason) in &cases {
        let answer = ask.send(&fleet.http(0));
        assert_eq!((answer.status, answer.reason().as_str()), (*status, *reason), "{answer:?}");
        assert_eq!(answer.ran, "not-run");
        assert_eq!(answer.json()["error"]["request_id"].as_str(), Some(answer.id.as_str()));
        let label = format!("\"{reason}\"");
        assert!(metric(&fleet.admin(0), "sablepass_refusals_total", &label) >= 1.0, "{reason}");
    }
    assert_eq!(fleet.targets.iter().map(|it| it.runs().len()).sum::<usize>(), 0);
}

#[test]
fn verify_models_and_completions() {
    let fleet = fleet(false);
    let list = Ask { method: "GET".into(), path: "/v1/models".into(), ..Ask::post(FARM, "", "") };
    let models = list.send(&fleet.http(0)).json();
    assert_eq!(models["data"][0]["id"], "tatranska/triage");
    let body = "{\"model\":\"tatranska/triage\",\"prompt\":\"go fir\",\"max_tokens\":2}";
    let answer = Ask::post(FARM, "/v1/completions", body).send(&fleet.http(0));
    assert_eq!(answer.text(), "fir:0 fir:1 ");
    assert!(TATRANSKA.contains("triage"));
}

#[test]
fn verify_limits_per_customer() {
    let fleet = fleet(false);
    let limited_customer =
        "[[customer]]\nname = \"small\"\nkey = \"tatranska:key-small-1\"\nshare = 1\nstreams = 1\n";
    let revision = fleet.publish("tatranska/small.toml", limited_customer);
    fleet.settle(3, revision);
    fleet.targets[..2].iter().for_each(|it| it.mode("freeze"));
    let addr = fleet.http(0);
    let running = std::thread::spawn(move || {
        Ask::chat("tatranska:key-small-1", "triage", "held", 2, false).send(&addr)
    });
    common::busy_target(&fleet);
    let refused =
        Ask::chat("tatranska:key-small-1", "triage", "more", 2, false).send(&fleet.http(0));
    assert_eq!((refused.status, refused.reason().as_str()), (429, "customer-limit"));
    assert_eq!(refused.retry_after, "1");
    fleet.targets[..2].iter().for_each(|it| it.mode("ok"));
    assert_eq!(running.join().expect("the request thread ends").status, 200);
}

#[test]
fn verify_demo() {
    let out = run("sablepass-stand", &["demo"]);
    assert!(out.status.success(), "{}{}", text(&out.stdout), text(&out.stderr));
}
