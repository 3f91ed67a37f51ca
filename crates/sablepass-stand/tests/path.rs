// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Requests through entry, agent and target as real processes, without faults.

mod common;

use common::{BAKER, FARM, fleet};
use sablepass_stand::client::Ask;

#[test]
fn verify_complete_answer() {
    let fleet = fleet(false);
    let answer = Ask::chat(FARM, "triage", "spruce", 5, false).send(&fleet.http(0));
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.text(), "spruce:0 spruce:1 spruce:2 spruce:3 spruce:4 ");
    assert_eq!(answer.ran, "ran");
}

#[test]
fn verify_streamed_answer() {
    let fleet = fleet(false);
    let answer = Ask::chat(FARM, "triage", "larch", 4, true).send(&fleet.http(0));
    assert_eq!(answer.text(), "larch:0 larch:1 larch:2 larch:3 ");
    assert!(answer.done(), "{answer:?}");
}

#[test]
fn verify_service_call() {
    let fleet = fleet(false);
    let answer = Ask::post(FARM, "/services/claims/job/7?x=1", "builder 9").send(&fleet.http(0));
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.json()["echo"], "builder 9");
    assert_eq!(fleet.targets[2].runs().len(), 1);
}

#[test]
fn verify_partners_cannot_use_each_others_models_without_a_grant() {
    let fleet = fleet(false);
    let refused = Ask::chat(BAKER, "tatranska/triage", "rye", 4, false).send(&fleet.http(0));
    assert_eq!((refused.status, refused.ran.as_str()), (403, "not-run"), "{refused:?}");
    assert_eq!(fleet.entry_metric(0, "sablepass_refusals_total", "\"not-granted\""), 1.0);
}
