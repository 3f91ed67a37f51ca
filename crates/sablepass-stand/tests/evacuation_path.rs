// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Evacuations of data halls, from the platform's store or a partner's document to the requests
//! that entries and agents send.

mod common;

use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use sablepass_stand::client::{Answer, Ask, control, metric, wait_for};
use sablepass_stand::fleet::{Fleet, Serves, Timers};
use sablepass_stand::process;
use sablepass_stand::replica::Replica;
use sablepass_stand::site::{Site, ask};
use socket2::{Domain, Socket, Type};

use crate::common::FARM;

const HALL_GAUGE: &str = "sablepass_hall_evacuated";

fn send(site: &Site, entry: usize, id: &str) -> Answer {
    ask("GET", "/safe/x", id, "").send(&site.http(entry))
}

fn wait_for_hall(site: &Site, hall: &str, evacuated: bool) {
    for entry in &site.entries {
        wait_for("an entry to learn of an evacuation or its end", || {
            let label = format!("hall=\"{hall}\"");
            metric(&entry.addr("admin"), HALL_GAUGE, &label) == f64::from(u8::from(evacuated))
        });
    }
}

fn sent_to_evacuated(site: &Site) -> f64 {
    let count = |admin: &str| metric(admin, "sablepass_sent_to_evacuated_total", "");
    site.entries.iter().map(|it| count(&it.addr("admin"))).sum()
}

/// Evacuates the other hall too. Callers must not wait, nor be told to retry too soon.
fn check_refusals(site: &Site) {
    site.store.put("op/evacuate/unknown", "{}");
    site.store.put("op/evacuate/ba-1", "{}");
    wait_for_hall(site, "ba-1", true);
    wait_for_hall(site, "unknown", true);
    for kind in ["safe", "once", "stream"] {
        for number in 0..3 {
            let started = Instant::now();
            let id = format!("0-{kind}-{number}");
            let answer = ask("POST", &format!("/{kind}/x"), &id, "q").send(&site.http(0));
            assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
            assert_eq!(answer.status, 503, "{answer:?}");
            assert_eq!(answer.body.trim(), "not-run: evacuated");
            assert_eq!(answer.retry_after, "2");
            assert_eq!(site.runs(&id), 0);
        }
    }
    let admin = site.entries[0].addr("admin");
    assert_eq!(metric(&admin, "sablepass_refusals_total", "reason=\"evacuated\""), 9.0);
    let lines = site.entries[0].log();
    let refused = "request refused: all targets are in evacuated halls";
    assert_eq!(lines.iter().filter(|it| it["event"] == refused).count(), 1);
    site.store.remove("op/evacuate/ba-1");
    wait_for_hall(site, "ba-1", false);
}

/// A target in the hall `hall` at an address at which connections are never established: the
/// queue of its listener is full. Returns also what keeps the queue full.
fn unreachable_target(hall: &str) -> (Replica, (Socket, Vec<TcpStream>)) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    listener.bind(&any.into()).expect("a free port");
    listener.listen(0).expect("a listening socket");
    let addr = listener.local_addr().ok().and_then(|it| it.as_socket()).expect("an address");
    let wait = Duration::from_millis(200);
    let held: Vec<TcpStream> =
        (0..4).map_while(|_| TcpStream::connect_timeout(&addr, wait).ok()).collect();
    assert!(held.len() < 4, "the queue of the listener does not fill up");
    (Replica::spawn("orders").in_hall(hall).at(addr), (listener, held))
}

/// Guards against requests that reach an evacuated hall on any path through an entry, requests that
/// are refused while another hall has targets or wait while none has, and a hall that is not used
/// again afterwards.
#[test]
fn verify_an_evacuated_hall_gets_no_requests() {
    let mut site = common::site(2, 2);
    let evacuated = Replica::spawn("orders").in_hall("a/b");
    site.list(&evacuated, "ready");
    site.replicas.push(evacuated.clone());
    site.settle(3);
    let use_all = |label: &str| {
        let callers = common::Callers { entries: 2, each: 3, pause: Duration::from_millis(2) };
        callers.call(&site, label, Duration::from_millis(800))
    };
    use_all("before");
    assert!(!evacuated.arrivals().is_empty(), "the hall is used before the evacuation");

    // A request whose connection is not established yet. Unsafe ones get a connection of their own.
    let (unreachable, _queue) = unreachable_target("a/b");
    site.list(&unreachable, "ready");
    site.settle(4);
    let pending = |number: usize| {
        let id = format!("0-pending-{number}");
        let ask = ask("POST", "/once/x", &id, "q");
        let addr = site.http(0);
        thread::spawn(move || ask.send(&addr))
    };
    let pending: Vec<_> = (0..12).map(pending).collect();
    thread::sleep(Duration::from_millis(50));
    assert!(pending.iter().any(|it| !it.is_finished()), "no request waits for its connection");

    // An item whose value cannot be decoded.
    site.store.put_raw("op/evacuate/a/b", "%");
    wait_for_hall(&site, "a/b", true);
    for it in pending {
        let answer = it.join().expect("a caller does not panic");
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(site.runs(&answer.id), 1);
    }
    // They were withdrawn, rather than tried elsewhere after a timeout.
    let admin = site.entries[0].addr("admin");
    assert!(metric(&admin, "sablepass_retries_total", "reason=\"target-rests\"") > 0.0);
    thread::sleep(Duration::from_millis(100));
    let before = evacuated.arrivals().len();
    let answers = use_all("during");
    assert_eq!(evacuated.arrivals().len(), before, "requests reached the evacuated hall");
    let unserved: Vec<&Answer> = answers.iter().filter(|it| it.status != 200).collect();
    assert!(unserved.is_empty(), "{unserved:?}");
    let status = site.status(0);
    assert_eq!(status["evacuations"][0]["hall"], "a/b", "{status}");
    let admin = site.entries[0].addr("admin");
    assert_eq!(metric(&admin, "sablepass_targets", "state=\"evacuated\""), 2.0);

    // An entry that starts meanwhile, and learns of it from its peers only.
    site.store.set(sablepass_stand::keys::Mode::Down);
    let late = site.add_entry("");
    site.settle(4);
    for number in 0..30 {
        let answer = send(&site, late, &format!("2-late-{number}"));
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(evacuated.arrivals().len(), before, "requests reached the evacuated hall");
    site.store.set(sablepass_stand::keys::Mode::Up);

    check_refusals(&site);
    assert_eq!(evacuated.arrivals().len(), before, "requests reached the evacuated hall");
    site.store.remove("op/evacuate/a/b");
    wait_for_hall(&site, "a/b", false);
    wait_for("the hall is used again", || {
        send(&site, 0, "0-after");
        evacuated.arrivals().len() > before
    });
    assert_eq!(sent_to_evacuated(&site), 0.0);
    let count = |event: &str| {
        let lines = site.entries[0].log();
        lines.iter().filter(|it| it["event"] == event && it["hall"] == "a/b").count()
    };
    assert_eq!((count("hall evacuated"), count("hall evacuation ended")), (1, 1));
}

/// Guards against an agent that still runs requests at its target during an evacuation of which
/// only the entry has not heard, and against an evacuation that affects another partner's targets.
#[test]
fn verify_a_partner_evacuates_its_declared_targets() {
    let mut fleet = Fleet::open(Timers::default());
    let target = |name: &str, hall: &str| {
        format!(
            "[[target]]\nname = {name:?}\nserves = \"triage\"\nhall = {hall:?}\ncapacity = 16\n"
        )
    };
    let customer = "[[customer]]\nname = \"farm\"\nkey = \"tatranska:key-build-farm\"\nshare = 10\npriority = \"urgent\"\n";
    let main = format!("{}{}{customer}", target("t1", "x"), target("t2", "y"));
    let revision = fleet.publish("tatranska/main.toml", &main);
    fleet.add_target("tatranska/t1", "x", Serves::Model(4), false);
    fleet.add_target("tatranska/t2", "y", Serves::Model(4), false);
    fleet.add_entry("entry-1", "x", "");
    fleet.settle(2, revision);
    let entry = fleet.http(0);
    let chat = |word: &str| Ask::chat(FARM, "triage", word, 3, false).send(&entry);
    let evacuate = |hall: &str| format!("[[evacuation]]\nhall = {hall:?}\n");
    let ran = |index: usize| fleet.targets[index].runs().len();

    // Another partner's document does not apply to these targets.
    let revision = fleet.publish("masa/out.toml", &evacuate("x"));
    fleet.settle(2, revision);
    let before = ran(0);
    (0..20).for_each(|it| assert_eq!(chat(&format!("other-{it}")).status, 200));
    assert!(ran(0) > before, "the hall is used");

    let revision = fleet.publish("tatranska/out.toml", &evacuate("x"));
    fleet.settle(2, revision);
    let before = ran(0);
    for number in 0..20 {
        let answer = chat(&format!("during-{number}"));
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(ran(0), before, "requests ran in the evacuated hall");
    let status = control(&fleet.admin(0), "GET", "/status", "");
    let own = |it: &&serde_json::Value| it["partner"] == "tatranska" && it["hall"] == "x";
    assert_eq!(status["evacuations"].as_array().expect("a list").iter().filter(own).count(), 1);

    let program = process::program("sablepassctl");
    let shown = Command::new(program).args(["status", "-p", &fleet.admin(0)]).output();
    let shown = String::from_utf8(shown.expect("the program starts").stdout).expect("text");
    let line = shown.lines().find(|it| it.starts_with("x ") && it.contains("by tatranska"));
    let line = line.unwrap_or_else(|| panic!("no evacuated hall: {shown}"));
    assert!(line.contains("GMT") && line.contains(&revision.to_string()), "{line}");

    let revision = fleet.publish("tatranska/out.toml", "");
    fleet.settle(2, revision);
    wait_for("the hall is used again", || {
        chat("after");
        ran(0) > before
    });
}
