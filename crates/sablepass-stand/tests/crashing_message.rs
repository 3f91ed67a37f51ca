// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Model engines that end under different conversations with one message in common, as callers of
//! the OpenAI API send them.

mod common;

use std::thread;

use sablepass_stand::client::{Answer, Ask, wait_for};
use sablepass_stand::fleet::{Fleet, Serves, Timers};
use serde_json::json;

/// Number of engines.
const ENGINES: usize = 4;

fn fleet() -> Fleet {
    let mut fleet = Fleet::open(Timers::default());
    let target = |it: usize| {
        format!(
            "[[target]]\nname = \"t{it}\"\nserves = \"triage\"\nhall = \"ba-1\"\ncapacity = 16\n"
        )
    };
    let targets: String = (0..ENGINES).map(target).collect();
    let customer =
        "[[customer]]\nname = \"farm\"\nkey = \"tatranska:key-build-farm\"\nshare = 10\n";
    let revision = fleet.publish("tatranska/main.toml", &(targets + customer));
    for it in 0..ENGINES {
        fleet.add_target(&format!("tatranska/t{it}"), "ba-1", Serves::Model(4), false);
    }
    fleet.add_entry("entry-1", "ba-1", "");
    fleet.settle(ENGINES, revision);
    fleet
}

/// Sends a conversation that must run at most once.
fn send(addr: &str, system: &str, question: &str) -> Answer {
    let messages = json!([
        { "role": "system", "content": system }, { "role": "user", "content": question },
    ]);
    let body = json!({ "model": "triage", "max_tokens": 8, "messages": messages });
    let ask = Ask::post(common::FARM, "/v1/chat/completions", &body.to_string());
    ask.only_once("").send(addr)
}

/// Guards against different conversations with one crashing message ending one engine after
/// another.
#[test]
fn verify_a_message_that_ends_engines_is_blocked() {
    let mut fleet = fleet();
    let addr = fleet.http(0);
    for round in 0..2 {
        fleet.targets.iter().for_each(|it| it.mode("hold 1"));
        let (to, question) = (addr.clone(), format!("question {round}"));
        let caller = thread::spawn(move || send(&to, "crashing", &question));
        let busy = common::busy_target(&fleet);
        fleet.targets[busy].server().kill();
        let answer = caller.join().expect("the caller gets an answer");
        assert_ne!(answer.status, 200, "{answer:?}");
        wait_for("the entry knows that the engine ended", || {
            fleet.entry_metric(0, "sablepass_deaths_total", "") >= f64::from(round + 1)
        });
        fleet.targets.remove(busy);
    }
    fleet.targets.iter().for_each(|it| it.mode("ok"));
    let refused = send(&addr, "crashing", "question 3");
    assert_eq!((refused.status, refused.reason().as_str()), (503, "ends-targets"), "{refused:?}");
    let sound = send(&addr, "another system message", "question 3");
    assert_eq!(sound.status, 200, "{sound:?}");
}
