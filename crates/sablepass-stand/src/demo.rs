// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The demo: starts a small fleet on free loopback ports, sends requests, and checks the
//! responses.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use sablepass_edge::clock;
use sablepass_stand::client::{Answer, Ask, control, metric, wait_for};
use sablepass_stand::fleet::{Fleet, Serves, Timers};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::Error;

const FARM: &str = "tatranska:demo-key-build-farm";
const BAKER: &str = "masa:demo-key-obrador";
/// Callers that send requests concurrently during the planned stop.
const CALLERS: usize = 6;

const TATRANSKA: &str = r#"
[[target]]
name = "t1"
serves = "triage"
hall = "ba-1"
capacity = 32
[[target]]
name = "t2"
serves = "triage"
hall = "ba-1"
capacity = 32
[[target]]
name = "scheduler"
kind = "service"
serves = "claims"
hall = "ba-1"
capacity = 64
[[customer]]
name = "farm"
key = "tatranska:demo-key-build-farm"
share = 10
priority = "urgent"
"#;

const MASA: &str = r#"
[[target]]
name = "o1"
serves = "orders"
hall = "as-1"
capacity = 32
[[customer]]
name = "obrador"
key = "masa:demo-key-obrador"
share = 5
"#;

/// Prints the result of each check and counts the failed ones.
#[derive(Default)]
struct Report {
    broken: usize,
}

impl Report {
    fn check(&mut self, what: &str, passed: bool, observed: &str) {
        let mark = if passed { "ok    " } else { "BROKEN" };
        println!("{mark} {what}: {observed}");
        self.broken += usize::from(!passed);
    }
}

fn start() -> Fleet {
    let mut fleet = Fleet::open(Timers::default());
    fleet.publish("tatranska/main.toml", TATRANSKA);
    let revision = fleet.publish("masa/main.toml", MASA);
    fleet.add_target("tatranska/t1", "ba-1", Serves::Model(6), false);
    fleet.add_target("tatranska/t2", "ba-1", Serves::Model(6), false);
    fleet.add_target("tatranska/scheduler", "ba-1", Serves::Service(5), false);
    fleet.add_target("masa/o1", "as-1", Serves::Model(6), false);
    fleet.add_entry("entry-1", "ba-1", "");
    fleet.add_entry("entry-2", "as-1", "");
    fleet.settle(4, revision);
    fleet
}

/// Runs the checks; with `hold`, leaves the fleet running until a signal instead.
pub fn run(hold: bool) -> Result<(), Error> {
    let fleet = start();
    if hold {
        return hold_open(&fleet);
    }
    let mut report = Report::default();
    completions(&fleet, &mut report);
    order_twice(&fleet, &mut report);
    planned_stop(&fleet, &mut report);
    counters(&fleet);
    match report.broken {
        0 => {
            println!("\nall checks passed");
            Ok(())
        }
        broken => Err(Error::Broken { broken }),
    }
}

/// Status, run marker and the start of the body.
fn summary(answer: &Answer) -> String {
    let text = answer.text();
    let shown = if text.is_empty() { answer.body.trim() } else { &text };
    let shown: String = shown.chars().take(90).collect();
    format!("{} {} {shown}", answer.status, answer.ran)
}

fn completions(fleet: &Fleet, report: &mut Report) {
    let whole = Ask::chat(FARM, "triage", "spruce", 4, false).send(&fleet.http(0));
    let expected = "spruce:0 spruce:1 spruce:2 spruce:3 ";
    report.check("a completion", whole.text() == expected, &summary(&whole));
    let stream = Ask::chat(BAKER, "orders", "centeno", 4, true).send(&fleet.http(1));
    let expected = "centeno:0 centeno:1 centeno:2 centeno:3 ";
    report.check(
        "a streamed completion",
        stream.text() == expected && stream.done(),
        &summary(&stream),
    );
    let call = Ask::post(FARM, "/services/claims/free", "builder 9?").send(&fleet.http(0));
    report.check("a service call", call.json()["echo"] == "builder 9?", &summary(&call));
    let foreign = Ask::chat(BAKER, "tatranska/triage", "x", 1, false).send(&fleet.http(0));
    let refused = foreign.status == 403 && foreign.ran == "not-run";
    report.check("a model that is not granted to the customer", refused, &summary(&foreign));
}

fn order_twice(fleet: &Fleet, report: &mut Report) {
    let issued = clock::now() + 300;
    wait_for("the issue time of the key", || clock::now() > issued);
    let order = |entry: usize| {
        let ask = Ask::post(FARM, "/services/claims/claim", "claim builder 9");
        let ask = ask.only_once("claim-1").with("x-sablepass-key-issued", &issued.to_string());
        ask.send(&fleet.http(entry))
    };
    let (first, second) = (order(0), order(1));
    let runs = fleet.targets[2].runs();
    let runs = runs.iter().filter(|it| it["body"] == "claim builder 9").count();
    report.check("an unsafe service call", first.status == 200, &summary(&first));
    let again = second.replayed && second.body == first.body;
    report.check("the same call repeated at another entry", again, &summary(&second));
    report.check(
        "the repeated call ran once",
        runs == 1,
        &format!("{runs} runs in the log of the service"),
    );
}

fn planned_stop(fleet: &Fleet, report: &mut Report) {
    let stop = AtomicBool::new(false);
    let answers: Mutex<Vec<(String, Answer)>> = Mutex::new(Vec::new());
    let target = &fleet.targets[0];
    let at = clock::now() + 1_000;
    fleet.publish("tatranska/stop.toml", &format!("[[stop]]\ntarget = \"t1\"\nat = {at}\n"));
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (stop, answers, addr) = (&stop, &answers, fleet.http(caller % 2));
            scope.spawn(move || {
                let mut round = 0;
                while !stop.load(Ordering::Relaxed) {
                    let word = format!("c{caller}r{round}");
                    round += 1;
                    let answer = Ask::chat(FARM, "triage", &word, 30, true).send(&addr);
                    answers.lock().unwrap_or_else(PoisonError::into_inner).push((word, answer));
                }
            });
        }
        wait_for("the stopped target to drain", || {
            let status = control(&target.agent.addr("admin"), "GET", "/status", "");
            status["drained"].as_bool() == Some(true)
        });
        stop.store(true, Ordering::Relaxed);
    });
    let runs = target.runs().len();
    let all = answers.into_inner().unwrap_or_else(PoisonError::into_inner);
    let whole = |(word, it): &&(String, Answer)| {
        let expected: String = (0..30).map(|it| format!("{word}:{it} ")).collect();
        it.done() && it.text() == expected
    };
    let complete = all.iter().filter(whole).count();
    let observed = format!(
        "{complete} of {} streams complete, {runs} of them run by the stopped target",
        all.len()
    );
    report.check("a planned stop under load", complete == all.len() && runs > 0, &observed);
}

fn counters(fleet: &Fleet) {
    println!("\nnonzero counters:");
    for (name, entry) in &fleet.entries {
        let ask = Ask { method: "GET".into(), ..Ask::post("", "/metrics", "") };
        let text = ask.send(&entry.addr("admin")).body;
        let shown = ["refusals_total", "retries_total", "requests_total", "answered_total"];
        let wanted = |it: &&str| {
            let named = shown.iter().any(|name| it.starts_with(&format!("sablepass_{name}")));
            named && !it.ends_with(" 0")
        };
        for line in text.lines().filter(wanted) {
            println!("  {name} {line}");
        }
    }
    let reads = metric(&fleet.admin(0), "sablepass_platform_reads_total", "");
    println!("  entry-1 reads of the platform {reads}");
}

fn hold_open(fleet: &Fleet) -> Result<(), Error> {
    println!("entries: http://{} http://{}", fleet.http(0), fleet.http(1));
    println!("keys: {FARM} (tatranska/farm), {BAKER} (masa/obrador)");
    println!("admin: {} {}", fleet.admin(0), fleet.admin(1));
    println!("\ntry:");
    println!(
        "  curl -N http://{}/v1/chat/completions -H 'authorization: Bearer {FARM}' -d \
         '{{\"model\":\"triage\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"say spruce\"}}]}}'",
        fleet.http(0)
    );
    println!(
        "  curl http://{}/services/claims/claim -H 'authorization: Bearer {FARM}' -H \
         'x-sablepass-unsafe: true' -d 'builder 9'",
        fleet.http(1)
    );
    println!("  curl http://{}/v1/models -H 'authorization: Bearer {BAKER}'", fleet.http(1));
    println!("  target/debug/sablepassctl status -p {} -p {}", fleet.admin(0), fleet.admin(1));
    println!("\nCtrl-C stops the fleet");
    let mut signals = Signals::new([SIGINT, SIGTERM]).map_err(|source| Error::Socket { source })?;
    // Waits for one signal. The caller then drops the fleet, which kills its processes.
    let _ = signals.forever().next();
    Ok(())
}
