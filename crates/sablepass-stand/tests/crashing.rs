// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A request that ends each target that begins to run it.
//!
//! Seen: targets of one service ended one after the other, each a moment after it
//! was back, until most of the service's time was lost to them. How it came about:
//! a caller's request ended its target, and came again under a new id, at any entry.
//! Cause: what an entry knew of a request died with the attempt, and was told to no
//! other entry, so that each of them took it for a new one each time. Proof: the
//! same fingerprint on the lines of the entries about all targets that ended.

use std::net::{IpAddr, SocketAddr};
use std::thread;
use std::time::Duration;

use sablepass_stand::client::{Answer, metric, wait_for};
use sablepass_stand::process::Process;
use sablepass_stand::ranks;
use sablepass_stand::replica::Replica;
use sablepass_stand::site::{Site, ask};

/// Body of the request.
const FATAL: &str = "ends whatever runs it";
/// Targets that it may end: two prove it, and one may run it at the same time.
const MOST: usize = 3;
/// How often it comes.
const ROUNDS: usize = 12;
/// How long the list names a target that ended.
const LEASE: Duration = Duration::from_millis(300);

fn is_fatal_to(replicas: &[Replica]) {
    replicas.iter().for_each(|it| it.end_on(FATAL));
}

fn ended(site: &Site) -> usize {
    site.replicas.iter().filter(|it| it.ended()).count()
}

/// Takes targets that ended off the list, and starts as many under new ids.
fn replace(site: &mut Site, known: &mut usize) {
    let fresh = ended(site) - *known;
    if fresh == 0 {
        return;
    }
    *known += fresh;
    thread::sleep(LEASE);
    for it in site.replicas.iter().filter(|it| it.ended()) {
        site.store.remove(&format!("servers/{}", it.id));
    }
    for _ in 0..fresh {
        let index = site.add_replica("orders");
        site.replicas[index].end_on(FATAL);
    }
    let live = site.replicas.len() - *known;
    site.settle(live);
}

fn send(site: &Site, entry: usize, kind: &str, id: &str, body: &str) -> Answer {
    ask("POST", &format!("/{kind}/x"), id, body).send(&site.http(entry))
}

#[test]
fn verify_a_request_that_ends_its_targets_is_sent_to_no_more_of_them() {
    for kind in ["stream", "safe", "once"] {
        let mut site = Site::open(6);
        (0..3).for_each(|_| drop(site.add_entry("")));
        site.settle(6);
        is_fatal_to(&site.replicas);
        let mut known = 0;
        for round in 0..ROUNDS {
            send(&site, round % 3, kind, &format!("{kind}-{round}"), FATAL);
            replace(&mut site, &mut known);
            let id = format!("{kind}-sound-{round}");
            let sound = send(&site, (round + 1) % 3, kind, &id, "ends nothing");
            assert_eq!(sound.status, 200, "{kind}: {sound:?}");
        }
        assert!(known <= MOST, "{kind}: {known} targets ended");
    }
}

/// Several copies at once, at all entries.
#[test]
fn verify_copies_at_once_end_no_more_targets_once_it_is_known() {
    let mut site = Site::open(6);
    (0..3).for_each(|_| drop(site.add_entry("")));
    site.settle(6);
    is_fatal_to(&site.replicas);
    let mut known = 0;
    for round in 0..ROUNDS {
        let before = known;
        let copy = |entry: usize| {
            let addr = site.http(entry);
            let id = format!("copy-{round}-{entry}");
            thread::spawn(move || ask("POST", "/stream/x", &id, FATAL).send(&addr))
        };
        let copies: Vec<_> = (0..3).map(copy).collect();
        copies.into_iter().for_each(|it| drop(it.join()));
        replace(&mut site, &mut known);
        assert!(before < 2 || known == before, "round {round}: {before}, then {known} ended");
    }
}

/// A site whose targets have machines of their own, with an agent on each.
fn fleet(machines: usize) -> (Site, Vec<Process>, String) {
    let mut site = Site::open(0);
    let machines: Vec<IpAddr> = (0..machines).map(|_| ranks::machine()).collect();
    for machine in &machines {
        let replica = Replica::spawn_at("orders", *machine);
        site.list(&replica, "ready");
        site.replicas.push(replica);
    }
    let port = ranks::free_port_at(&machines);
    site.configure(&ranks::Group::configuration(2));
    let more = format!("agent_port = {port}");
    site.add_entry(&more);
    let addrs: Vec<SocketAddr> = site.replicas.iter().map(|it| it.addr).collect();
    let beside = |it: SocketAddr| site.add_agent(SocketAddr::new(it.ip(), port), it);
    let agents = addrs.into_iter().map(beside).collect();
    site.settle(site.replicas.len());
    (site, agents, more)
}

/// Entries keep nothing. What they found out outlasts them beside the targets.
#[test]
fn verify_entries_that_start_anew_learn_what_ends_targets() {
    let (mut site, _agents, more) = fleet(6);
    is_fatal_to(&site.replicas);
    for round in 0..4 {
        send(&site, 0, "stream", &format!("before-{round}"), FATAL);
    }
    let before = ended(&site);
    assert!(before <= MOST, "{before} targets ended");
    site.entries[0].kill();
    let entry = site.add_entry(&more);
    wait_for("the new entry is ready", || site.status(entry)["revision"].as_u64() > Some(0));
    let admin = site.entries[entry].addr("admin");
    wait_for("agents are heard", || {
        metric(&admin, "sablepass_link_messages_total", "kind=\"report\"") > 6.0
    });
    for round in 0..4 {
        send(&site, entry, "stream", &format!("after-{round}"), FATAL);
    }
    assert_eq!(ended(&site), before, "the new entry sent it on");
}
