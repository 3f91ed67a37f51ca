// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! An entry on a machine with tiny limits, flooded with more than it can hold: it must refuse the
//! excess at once, stay up, and serve again afterwards.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use sablepass_core::capacity::{Capacity, Limits};
use sablepass_stand::client::{Answer, metric, wait_for};
use sablepass_stand::replica::Mode;
use sablepass_stand::site::{HOST, KEY, Site, ask};

/// Time within which a refusal counts as immediate.
const AT_ONCE: Duration = Duration::from_millis(1_000);
/// Limits of the machine: the smallest memory and number of descriptors that are allowed.
const LIMITS: Limits = Limits { memory: 32.0, descriptors: 512, link: 1.0, cores: 0.001 };

fn site() -> (Site, Capacity) {
    site_of(2, LIMITS)
}

fn site_of(replicas: usize, limits: Limits) -> (Site, Capacity) {
    let mut site = Site::open(replicas);
    let Limits { memory, descriptors, link, cores } = limits;
    site.add_entry(&format!(
        "\n[limits]\nmemory = {memory}\ndescriptors = {descriptors}\nlink = {link}\ncores = {cores}\n"
    ));
    site.settle(replicas);
    (site, limits.capacity().expect("usable limits"))
}

/// Sends one request and checks that it is served.
fn serves(site: &Site, id: &str) -> bool {
    let answer = ask("POST", "/safe/x", id, "q").send(&site.http(0));
    answer.status == 200
}

/// Fails if requests beyond the cap wait or are run, or if the entry does not recover.
#[test]
fn verify_requests_beyond_the_cap_are_refused_at_once() {
    let (mut site, capacity) = site();
    assert!(capacity.requests < 10, "{capacity:?}");
    site.replicas.iter().for_each(|it| it.set(Mode::Hang));
    let http = site.http(0);
    let send = |number: usize| -> (Answer, Duration) {
        let sent_at = Instant::now();
        let answer = ask("POST", "/once/x", &format!("flood-{number}"), "q").send(&http);
        (answer, sent_at.elapsed())
    };
    let answers: Vec<(Answer, Duration)> = thread::scope(|scope| {
        let send = &send;
        let threads: Vec<_> = (0..60).map(|it| scope.spawn(move || send(it))).collect();
        threads.into_iter().map(|it| it.join().expect("caller thread panicked")).collect()
    });
    let refused: Vec<&(Answer, Duration)> =
        answers.iter().filter(|it| it.0.body.contains("process-limit")).collect();
    assert!(refused.len() >= 60 - capacity.requests, "{} refused", refused.len());
    for (answer, elapsed) in refused {
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.body.starts_with("not-run"), "{answer:?}");
        assert!(!answer.retry_after.is_empty(), "{answer:?}");
        assert!(*elapsed < AT_ONCE, "refused after {elapsed:?}");
    }
    let ran = (0..60).filter(|it| site.runs(&format!("flood-{it}")) > 0).count();
    assert!(ran <= capacity.requests, "{ran} requests ran");
    site.replicas.iter().for_each(|it| it.set(Mode::Good));
    wait_for("the entry serves requests again", || serves(&site, "after"));
    assert!(!site.entries[0].ended());
}

/// Fails if connections beyond the cap are kept, or if the entry runs out of descriptors.
#[test]
fn verify_connections_beyond_the_cap_are_closed() {
    let (mut site, capacity) = site();
    let connect = |_| TcpStream::connect(site.http(0)).expect("the backlog accepts");
    let flood: Vec<TcpStream> = (0..600).map(connect).collect();
    let is_closed = |mut it: &TcpStream| {
        it.set_read_timeout(Some(Duration::from_millis(1))).expect("a timeout can be set");
        !matches!(
            it.read(&mut [0; 1]).map_err(|e| e.kind()),
            Err(std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
        )
    };
    wait_for("connections beyond the cap are closed", || {
        flood.iter().filter(|it| is_closed(it)).count() >= 600 - capacity.callers
    });
    assert!(!site.entries[0].ended());
    drop(flood);
    wait_for("the entry serves requests again", || serves(&site, "after"));
    assert!(!site.entries[0].ended());
}

/// Fails if idle connections to targets are kept beyond the cap when requests need new ones.
#[test]
fn verify_idle_connections_make_room_for_new_ones() {
    const IDLE: usize = 90;
    const NEW: usize = 60;
    let (site, capacity) = site_of(10, Limits { link: 100.0, cores: 1.0, ..LIMITS });
    assert!((IDLE..IDLE + NEW).contains(&capacity.targets), "{capacity:?}");
    let set = |mode: Mode| site.replicas.iter().for_each(|it| it.set(mode));
    let connections = || site.status(0)["connections"].as_u64().unwrap_or(0) as usize;
    let http = site.http(0);
    let send = |path: &str, number: usize| {
        ask("POST", path, &format!("{number}{path}"), "q").send(&http).status
    };
    let running = || -> usize { site.replicas.iter().map(|it| it.runs().len()).sum() };
    // Returns the number of connections while `count` requests run at once.
    let run_at_once = |path: &str, mode: Mode, count: usize| -> usize {
        let before = running();
        set(mode);
        thread::scope(|scope| {
            let send = &send;
            let threads: Vec<_> =
                (0..count).map(|number| scope.spawn(move || send(path, number))).collect();
            wait_for("all requests run", || running() >= before + count);
            let most = connections();
            set(Mode::Good);
            for thread in threads {
                thread.join().expect("caller panicked");
            }
            most
        })
    };
    run_at_once("/stream/x", Mode::Hold(1), IDLE);
    assert!(connections() >= IDLE / 2, "{} idle connections", connections());
    // Requests that may run only once need a new connection each.
    let most = run_at_once("/once/x", Mode::Hang, NEW);
    assert!(most <= capacity.targets, "{most} connections, at most {}", capacity.targets);
}

/// Fails if bodies beyond the cap are read into memory, or if the room for bodies is not released.
#[test]
fn verify_bodies_beyond_the_cap_are_refused_at_once() {
    const BODY: usize = 90_000;
    let (mut site, capacity) = site();
    let fits = capacity.bodies / BODY;
    assert!(fits < 10, "{capacity:?}");
    let head = format!(
        "POST /safe/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n\
         x-deadline-ms: 5000\r\ncontent-length: {BODY}\r\n\r\nthe first bytes"
    );
    for round in 0..3 {
        let sent_at = Instant::now();
        let mut flood: Vec<TcpStream> = (0..fits + 10)
            .map(|_| {
                let mut caller = TcpStream::connect(site.http(0)).expect("the entry accepts");
                caller.write_all(head.as_bytes()).expect("the first part is sent");
                caller
            })
            .collect();
        let admin = site.entries[0].addr("admin");
        wait_for("the bodies in excess are refused", || {
            metric(&admin, "sablepass_refusals_total", "bodies-full") >= 10.0 * f64::from(round + 1)
        });
        assert!(sent_at.elapsed() < AT_ONCE, "refused after {:?}", sent_at.elapsed());
        let mut answer = String::new();
        let last = flood.last_mut().expect("a caller");
        last.read_to_string(&mut answer).expect("a refusal");
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("not-run: bodies-full"), "{answer}");
        assert!(answer.to_lowercase().contains("retry-after:"), "{answer}");
        drop(flood);
        wait_for("the entry serves requests again", || serves(&site, &format!("after-{round}")));
    }
    assert!(!site.entries[0].ended());
}

/// Fails if an entry starts with limits with which it cannot serve.
#[test]
fn verify_unusable_limits_abort_the_start() {
    let settings =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../config/entry.toml"))
            .expect("the example is read");
    let cases = [
        ("memory = 160\ndescriptors = 300\nlink = 40\ncores = 0.18", "limits.descriptors = 300"),
        ("memory = 16\ndescriptors = 4100\nlink = 40\ncores = 0.18", "limits.memory = 16"),
        ("memory = 160\ndescriptors = 4100\nlink = 0\ncores = 0.18", "limits.link = 0"),
        ("memory = 160\ndescriptors = 4100\nlink = 40\ncores = -1", "limits.cores = -1"),
    ];
    for (index, (table, expected)) in cases.iter().enumerate() {
        let name = format!("sablepass-limits-{}-{index}.toml", std::process::id());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, format!("{settings}\n[limits]\n{table}\n"))
            .expect("the file is written");
        let out = std::process::Command::new(sablepass_stand::process::program("sablepass-entry"))
            .args(["--config", &file.to_string_lossy(), "--check"])
            .output()
            .expect("the program starts");
        let _ = std::fs::remove_file(&file);
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success() && text.contains(expected), "{expected}: {text}");
        assert!(text.contains("allowed is"), "{text}");
    }
}
