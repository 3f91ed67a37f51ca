// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Requests whose route or customer is restricted to regions, with real entries and targets in two
//! regions. They guard against a body that is sent to a region which is not allowed.

mod common;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use common::FARM;
use sablepass_stand::client::{Answer, Ask, metric, wait_for};
use sablepass_stand::fleet::{Fleet, Serves, Timers};
use sablepass_stand::ranks;
use sablepass_stand::replica::{Group, Mode, Replica, all_events};
use sablepass_stand::site::{self, Site};
use serde_json::{Value, json};

/// Settings of the entries: two halls in two regions. The hall `attic` has no region.
const REGIONS: &str = "regions.ba-1 = \"north\"\nregions.\"ke/2\" = \"south\"\n";
const HALLS: [&str; 2] = ["ba-1", "ke/2"];
/// All routes of the configuration.
const ROUTES: [&str; 3] = ["stream", "safe", "once"];

/// Adds a target in a hall; returns its index.
fn add_target(site: &mut Site, hall: &str) -> usize {
    let replica = Replica::spawn("orders").in_hall(hall);
    site.list(&replica, "ready");
    site.replicas.push(replica);
    site.replicas.len() - 1
}

/// Starts a site with a target in each of these halls and this many entries.
fn open(halls: &[&str], entries: usize) -> Site {
    let mut site = Site::open(0);
    for hall in halls {
        add_target(&mut site, hall);
    }
    for _ in 0..entries {
        site.add_entry(REGIONS);
    }
    site.settle(halls.len());
    site
}

/// A configuration whose routes and customer have these values of `allowedRegions`.
fn configuration(version: u64, routes: &Value, customer: &Value) -> Value {
    let mut document = site::configuration(version);
    for route in document["routes"].as_array_mut().expect("a list of routes") {
        route["allowedRegions"] = routes.clone();
    }
    document["tenants"][0]["allowedRegions"] = customer.clone();
    document
}

/// Publishes a configuration and waits until all entries apply it.
fn publish(site: &Site, configuration: &Value) {
    let revision = site.configure(configuration);
    wait_for("all entries apply the configuration", || {
        (0..site.entries.len()).all(|it| site.status(it)["revision"].as_u64() >= Some(revision))
    });
}

/// Sends requests on all routes to all entries.
fn call(site: &Site, label: &str) -> Vec<Answer> {
    let callers =
        common::Callers { entries: site.entries.len(), each: 2, pause: Duration::from_millis(10) };
    callers.call(site, label, Duration::from_millis(600))
}

/// Ids of the requests that a target got and whose label, the second part, is this one.
fn arrived(site: &Site, target: usize, label: &str) -> usize {
    let ids = site.replicas[target].runs().into_iter().map(|it| it.id);
    ids.filter(|id| id.split('-').nth(1) == Some(label)).count()
}

fn assert_all_served(answers: &[Answer]) {
    let unserved: Vec<&Answer> = answers.iter().filter(|it| it.status != 200).collect();
    assert!(!answers.is_empty() && unserved.is_empty(), "{unserved:?}");
}

/// Asserts that an answer is a refusal for lack of a target in the regions, which the caller may
/// retry.
fn assert_outside(answer: &Answer) {
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.body, "not-run: outside-regions\n");
    assert_eq!(answer.retry_after, "0.4");
}

#[test]
fn verify_requests_reach_only_the_regions_of_route_and_customer() {
    let site = open(&[HALLS[0], HALLS[1], "attic"], 2);
    assert_all_served(&call(&site, "free"));
    assert!((0..3).all(|it| arrived(&site, it, "free") > 0), "no restriction, no effect");
    let all = json!(["north", "south"]);
    // Label, regions of the routes and of the customer, targets that may get requests.
    let cases = [
        ("route", json!(["north"]), json!(null), [true, false, false]),
        ("customer", json!([]), json!(["south"]), [false, true, false]),
        ("both", all.clone(), json!(["south", "west"]), [false, true, false]),
        ("wide", all.clone(), all, [true, true, false]),
    ];
    for (version, (label, routes, customer, allowed)) in (2..).zip(cases) {
        publish(&site, &configuration(version, &routes, &customer));
        assert_all_served(&call(&site, label));
        let got: Vec<bool> = (0..3).map(|it| arrived(&site, it, label) > 0).collect();
        assert_eq!(got, allowed, "{label}: targets in north, south and no known region");
    }
}

#[test]
fn verify_a_request_without_a_target_in_its_regions_is_refused_at_once() {
    let site = open(&HALLS, 1);
    let cases = [
        (json!(["west"]), json!(null)),
        (json!(["north"]), json!(["south"])),
        (json!(null), json!(["ba-1"])),
    ];
    let entry = &site.entries[0];
    let mut count = 0.0;
    for (version, (routes, customer)) in (2..).zip(cases) {
        publish(&site, &configuration(version, &routes, &customer));
        for route in ROUTES {
            let id = format!("{version}-{route}");
            let start = Instant::now();
            let answer = site::ask("POST", &format!("/{route}/x"), &id, "q").send(&site.http(0));
            assert_outside(&answer);
            assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
            assert_eq!(site.runs(&id), 0);
            count += 1.0;
        }
    }
    let refused = metric(&entry.addr("admin"), "sablepass_refusals_total", "outside-regions");
    assert_eq!(refused, count);
    let logged: Vec<Value> = entry
        .log()
        .into_iter()
        .filter(|it| it["event"] == "request refused: no target in its regions")
        .map(|it| it["regions"].clone())
        .collect();
    assert_eq!(logged[..3], [json!("west"), json!("west"), json!("west")]);
    assert_eq!(logged[3], json!("none"), "route and customer have no region in common");
    // A target in the region appears.
    let mut site = site;
    publish(&site, &configuration(9, &json!(["south"]), &json!(null)));
    assert_all_served(&call(&site, "south"));
    publish(&site, &configuration(10, &json!(["west"]), &json!(null)));
    site.add_entry("regions.\"ke/2\" = \"west\"\n");
    site.settle(2);
    let answer = site::ask("POST", "/safe/x", "west", "q").send(&site.http(1));
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Targets in the regions exist, but none accepts requests: the usual reasons apply.
#[test]
fn verify_unavailable_targets_in_the_regions_are_no_outside_regions() {
    let site = open(&HALLS, 1);
    publish(&site, &configuration(2, &json!(["south"]), &json!(null)));
    site.replicas[1].crash();
    let answers = call(&site, "down");
    assert!(answers.iter().all(|it| it.status != 200 && !it.body.contains("outside-regions")));
    assert_eq!(arrived(&site, 0, "down"), 0, "no retry leaves the regions");
}

/// Without a table of regions, all halls are outside any restriction.
#[test]
fn verify_halls_without_a_region_get_no_restricted_requests() {
    let mut site = Site::open(2);
    site.add_entry("");
    site.settle(2);
    assert_all_served(&call(&site, "free"));
    publish(&site, &configuration(2, &json!(["north"]), &json!(null)));
    let answer = site::ask("POST", "/safe/x", "restricted", "q").send(&site.http(0));
    assert_outside(&answer);
    assert_eq!(site.runs("restricted"), 0);
}

/// Time after which an entry that knows all others holds its share of the limits of targets.
const SHARE_DELAY: Duration = Duration::from_millis(2_000);
/// Number of requests that wait for their turns.
const WAITING: usize = 3;

/// In a site with a target in each region, of which that in the north accepts one request a
/// second, has requests that are restricted to the north wait for their turns. Returns the
/// answers that come after `publish_while_waiting`.
fn answers_of_waiting(site: &Site, publish_while_waiting: impl FnOnce()) -> Vec<Answer> {
    site.replicas[0].set_limit(Some(1.0));
    let mut document = configuration(2, &json!(["north"]), &json!(null));
    for route in document["routes"].as_array_mut().expect("a list of routes") {
        route["timeoutMs"] = json!(5_000);
        route["targetLatencyMs"] = json!(5_000);
    }
    publish(site, &document);
    let ask = |id: &str| site::ask("POST", "/safe/x", id, "q");
    thread::sleep(SHARE_DELAY);
    assert_eq!(ask("first").send(&site.http(0)).status, 200, "its answer announces the limit");
    thread::scope(|scope| {
        let waiting: Vec<_> = (0..WAITING)
            .map(|it| scope.spawn(move || ask(&format!("waiting-{it}")).send(&site.http(0))))
            .collect();
        let waits = |it: &Value| it["event"] == "turn reserved under a target's limit";
        wait_for("the requests wait for their turns", || {
            site.entries[0].log().into_iter().filter(waits).count() >= WAITING
        });
        publish_while_waiting();
        waiting.into_iter().map(|it| it.join().expect("caller thread panicked")).collect()
    })
}

/// Guards against a request that waits with the regions of its admission, and is sent to a region
/// that is excluded by then.
#[test]
fn verify_a_new_configuration_applies_to_waiting_requests() {
    let site = open(&HALLS, 1);
    let mut before = 0;
    let answers = answers_of_waiting(&site, || {
        publish(&site, &configuration(3, &json!(["south"]), &json!(null)));
        before = site.replicas[0].runs().len();
    });
    assert_all_served(&answers);
    assert_eq!(site.replicas[0].runs().len(), before, "no request goes to the excluded region");
    assert!(!site.replicas[1].runs().is_empty());
}

/// Guards against requests that wait until their callers give up although no target may run them.
#[test]
fn verify_waiting_requests_are_refused_if_no_target_is_left_in_their_regions() {
    let site = open(&HALLS, 1);
    let start = Instant::now();
    let answers = answers_of_waiting(&site, || {
        publish(&site, &configuration(3, &json!(["west"]), &json!(null)));
    });
    let refused: Vec<&Answer> = answers.iter().filter(|it| it.status != 200).collect();
    assert!(refused.len() >= 2, "at one request a second, some still wait: {answers:?}");
    refused.into_iter().for_each(assert_outside);
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
}

/// Guards against requests that wait for a group to become ready, in the start queue or without it,
/// although none of its ranks may run them.
#[test]
fn verify_no_request_waits_for_a_group_outside_its_regions() {
    let mut site = Site::open(0);
    let machine = ranks::new_machine_address();
    let replica = Replica::spawn_at("orders", machine).in_hall(HALLS[0]);
    replica.report_group(Group { open: false, size: 1, steps: false });
    site.list(&replica, "ready");
    site.replicas.push(replica);
    let configure = |site: &Site, version: u64, region: &str| {
        let mut document = ranks::Group::configuration(version);
        document["services"][0]["engine"]["form_ms"] = json!(4_000.0);
        for route in document["routes"].as_array_mut().expect("a list of routes") {
            route["timeoutMs"] = json!(60_000);
            route["targetLatencyMs"] = json!(8_000);
            route["allowedRegions"] = json!([region]);
            if route["name"] == "once" {
                // Without an aim for pauses, its requests are not in the start queue.
                route["gap_aim_ms"] = json!(null);
            }
        }
        publish(site, &document);
    };
    let port = ranks::free_port_at(&[machine]);
    site.add_entry(&format!("agent_port = {port}\n{REGIONS}"));
    let _agent = site.add_agent(SocketAddr::new(machine, port), site.replicas[0].addr);
    configure(&site, 2, "north");
    let admin = site.entries[0].addr("admin");
    wait_for("the entry knows that the group is closed", || {
        let targets = site.status(0)["targets"].clone();
        let closed = targets.as_array().is_some_and(|it| it.iter().all(|it| it["usable"] == false));
        closed && metric(&admin, "sablepass_link_messages_total", "kind=\"report\"") > 0.0
    });
    let ask = |route: &str, id: &str| {
        let ask = site::ask("POST", &format!("/{route}/x"), id, "q");
        ask.send(&site.http(0))
    };
    let answers = thread::scope(|scope| {
        let waiting =
            [scope.spawn(|| ask("stream", "queued")), scope.spawn(|| ask("once", "waiting"))];
        wait_for("both requests wait", || metric(&admin, "sablepass_in_flight", "") >= 2.0);
        configure(&site, 3, "south");
        waiting.map(|it| it.join().expect("caller thread panicked"))
    });
    answers.iter().for_each(assert_outside);
    for route in ROUTES {
        let start = Instant::now();
        assert_outside(&ask(route, &format!("later-{route}")));
        assert!(start.elapsed() < Duration::from_millis(500), "{route}: {:?}", start.elapsed());
    }
    assert!(site.replicas[0].runs().is_empty());
}

/// Starts a stream that only targets in the north may run and that stops after two events, and
/// calls `change` while it runs. Returns the answer and the target at which it started.
fn change_under_way(site: &Site, id: &str, change: impl FnOnce(usize)) -> (Answer, usize) {
    publish(site, &configuration(2, &json!(["north"]), &json!(null)));
    let north: Vec<usize> = (0..site.replicas.len()).filter(|it| *it != 1).collect();
    north.iter().for_each(|it| site.replicas[*it].set(Mode::Hold(2)));
    thread::scope(|scope| {
        let caller = scope.spawn(|| site::ask("POST", "/stream/x", id, "q").send(&site.http(0)));
        let mut started = None;
        wait_for("a target runs the stream", || {
            started = north.iter().copied().find(|it| !site.replicas[*it].runs().is_empty());
            started.is_some()
        });
        let started = started.unwrap_or_default();
        publish(site, &configuration(3, &json!(["south"]), &json!(null)));
        change(started);
        (caller.join().expect("caller thread panicked"), started)
    })
}

#[test]
fn verify_a_stream_under_way_goes_on_at_an_excluded_target() {
    let site = open(&HALLS, 1);
    let (answer, _) = change_under_way(&site, "goes-on", |at| site.replicas[at].set(Mode::Good));
    assert_eq!(answer.body, all_events("goes-on"));
    assert_eq!(site.runs("goes-on"), 1);
}

/// Guards against a retry or resume with the regions of the admission: another target in the old
/// region is available.
#[test]
fn verify_a_stream_resumes_only_in_its_new_regions() {
    let site = open(&[HALLS[0], HALLS[1], HALLS[0]], 1);
    let (answer, started) = change_under_way(&site, "resumes", |at| site.replicas[at].crash());
    assert_eq!(answer.body, all_events("resumes"));
    assert_eq!(site.replicas[1].runs().len(), 1);
    assert_eq!(site.replicas[2 - started].runs().len(), 0, "it is in the excluded region");
}

/// Settings with an unusable region abort the start with an error that names the value.
#[test]
fn verify_unusable_regions_are_refused_at_the_start() {
    let long = "x".repeat(257);
    let table = |region: &str| format!("regions.ba-1 = {region:?}");
    for (table, named) in [(table(""), "regions"), (table(&long), &long)] {
        let failed = std::panic::catch_unwind(|| {
            let mut site = Site::open(1);
            site.add_entry(&table);
        });
        let message = failed.expect_err("the entry does not start");
        let message = message.downcast_ref::<String>().cloned().unwrap_or_default();
        assert!(message.contains(named), "{message}");
    }
}

/// Configuration of two declared targets in two regions, and of a customer restricted to one.
fn declared(region: &str) -> String {
    let target = |name: &str, hall: &str| {
        format!(
            "[[target]]\nname = {name:?}\nserves = \"triage\"\nhall = {hall:?}\ncapacity = 16\n"
        )
    };
    let customer = format!(
        "[[customer]]\nname = \"farm\"\nkey = {FARM:?}\nshare = 10\nregions = [{region:?}]\n"
    );
    target("t1", HALLS[0]) + &target("t2", HALLS[1]) + &customer
}

/// Starts two declared targets in two regions and an entry that uses one target of each service, or
/// one in each region if there are restrictions.
fn declared_fleet() -> Fleet {
    let mut fleet = Fleet::open(Timers::default());
    let revision = fleet.publish("tatranska/main.toml", &declared("south"));
    fleet.add_target("tatranska/t1", HALLS[0], Serves::Model(4), false);
    fleet.add_target("tatranska/t2", HALLS[1], Serves::Model(4), false);
    fleet.add_entry("entry-1", HALLS[0], &format!("subset = 1\n{REGIONS}"));
    fleet.settle(2, revision);
    fleet
}

fn chat(fleet: &Fleet, word: &str) -> Answer {
    Ask::chat(FARM, "triage", word, 4, false).send(&fleet.http(0))
}

/// Guards against an entry that uses only targets outside the regions of a customer.
#[test]
fn verify_customers_of_declared_targets_are_restricted() {
    let fleet = declared_fleet();
    let runs = || [fleet.targets[0].runs().len(), fleet.targets[1].runs().len()];
    (0..4).for_each(|it| assert_eq!(chat(&fleet, &format!("south{it}")).status, 200));
    assert_eq!(runs(), [0, 4]);
    let revision = fleet.publish("tatranska/main.toml", &declared("north"));
    fleet.settle(2, revision);
    (0..4).for_each(|it| assert_eq!(chat(&fleet, &format!("north{it}")).status, 200));
    assert_eq!(runs(), [4, 4]);
    let revision = fleet.publish("tatranska/main.toml", &declared("west"));
    fleet.settle(2, revision);
    let answer = chat(&fleet, "west");
    assert_eq!((answer.status, answer.reason().as_str()), (503, "outside-regions"), "{answer:?}");
    assert_eq!((answer.ran.as_str(), runs()), ("not-run", [4, 4]));
}

/// Guards against a request that waits for, or runs at, the owner of its idempotency key although
/// the owner is in an excluded region.
#[test]
fn verify_a_key_whose_owner_is_outside_the_regions_is_refused() {
    let fleet = declared_fleet();
    let send = |number: u32| {
        let ask = Ask::chat(FARM, "triage", &format!("keyed{number}"), 4, false);
        let ask = ask.only_once(&format!("key-{number}"));
        ask.with("x-sablepass-key-issued", &common::now_text()).send(&fleet.http(0))
    };
    let mut numbers = 16..;
    wait_for("an agent that has started accepts new keys", || {
        numbers.next().is_some_and(|it| send(it).status == 200)
    });
    let before = fleet.targets[1].runs().len();
    let start = Instant::now();
    let answers: Vec<Answer> = (0..16).map(send).collect();
    assert!(start.elapsed() < Duration::from_secs(2), "no request waits: {:?}", start.elapsed());
    let (served, refused): (Vec<&Answer>, Vec<&Answer>) =
        answers.iter().partition(|it| it.status == 200);
    assert!(!served.is_empty() && !refused.is_empty(), "both targets own keys: {answers:?}");
    for answer in &refused {
        assert_eq!((answer.status, answer.ran.as_str()), (503, "not-run"), "{answer:?}");
        assert_eq!(answer.reason(), "outside-regions");
    }
    assert_eq!(fleet.targets[0].runs().len(), 0);
    assert_eq!(fleet.targets[1].runs().len(), before + served.len());
}

/// The settings template of the platform fills the table of regions from its field `zones`, whose
/// values it inserts without escaping.
#[test]
fn verify_the_template_fills_the_regions() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../platform/entry.toml");
    let template = std::fs::read_to_string(path).expect("the template is read");
    let (before, rest) = template.split_once("{{#zones}}").expect("a section per hall");
    let (line, _) = rest.split_once("{{/zones}}").expect("the end of the section");
    assert!(before.ends_with("[regions]\n"), "the section is in its table");
    let mut site = Site::open(0);
    let render = |(hall, region): (&str, &str)| {
        let (hall, region) = (format!("\"{hall}\""), format!("\"{region}\""));
        line.replace("\"{{@}}\"", &hall).replace("\"{{.}}\"", &region)
    };
    let lines = [(HALLS[0], "north"), (HALLS[1], "south")].map(render);
    let keys = lines.map(|it| format!("regions.{it}"));
    assert_eq!(keys.concat().lines().count(), 2, "{keys:?}");
    for hall in HALLS {
        add_target(&mut site, hall);
    }
    site.add_entry(&keys.concat());
    site.settle(2);
    publish(&site, &configuration(2, &json!(["south"]), &json!(null)));
    assert_all_served(&call(&site, "south"));
    assert_eq!(arrived(&site, 0, "south"), 0);
}
