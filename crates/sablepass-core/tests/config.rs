// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Merging of declarations into stores, and convergence of stores that exchange digests and deltas.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sablepass_core::catalogue::Catalogue;
use sablepass_core::config::{Compare, Delta, Document, Pull, Store, StoreKind, Version};
use sablepass_core::duty;
use sablepass_core::reason::Ignored;
use sablepass_core::revision::Revision;

fn body(name: &str) -> String {
    format!("[[customer]]\nname = {name:?}\nkey = \"p:key-of-{name}\"\nshare = 1\n")
}

fn document(key: &str, revision: u64, body: &str) -> Document {
    let newest = Version { revision: revision.into(), body: body.to_owned() };
    Document { key: key.to_owned(), newest, removed: false, accepted: None }
}

fn delta(after: u64, revision: u64, documents: Vec<Document>) -> Delta {
    Delta { after: after.into(), revision: revision.into(), documents, whole: None }
}

fn store() -> Store {
    Store::open(StoreKind::Declarations)
}

#[test]
fn verify_an_invalid_edit_keeps_the_accepted_version() {
    let mut store = store();
    store.merge(delta(0, 1, vec![document("p/a", 1, &body("one"))])).expect("newer");
    store.merge(delta(1, 2, vec![document("p/a", 2, "oven = 1")])).expect("newer");
    store.merge(delta(2, 3, vec![document("p/a", 3, "oven = 2")])).expect("newer");
    let catalogue = Catalogue::build(&store);
    assert!(catalogue.customers.contains_key("p/one") && catalogue.refused.contains_key("p/a"));
    assert_eq!(store.verdicts()["p/a"].force.as_ref().map(|it| it.0), Some(1.into()));
    // A process that starts now receives both versions from a peer.
    let mut fresh = self::store();
    for it in store.deltas(&Pull::default(), 1 << 20) {
        fresh.merge(it).expect("newer");
    }
    assert!(Catalogue::build(&fresh).customers.contains_key("p/one"));
    // A valid edit comes into force.
    store.merge(delta(3, 4, vec![document("p/a", 4, &body("two"))])).expect("newer");
    let catalogue = Catalogue::build(&store);
    assert!(catalogue.customers.contains_key("p/two") && catalogue.refused.is_empty());
}

#[test]
fn verify_a_removed_document_stays_removed() {
    let mut store = store();
    store.merge(delta(0, 1, vec![document("p/a", 1, &body("one"))])).expect("newer");
    let gone = Document { removed: true, ..document("p/a", 2, "") };
    store.merge(delta(1, 2, vec![gone])).expect("newer");
    assert!(Catalogue::build(&store).customers.is_empty());
    let old = delta(0, 2, vec![document("p/a", 1, &body("one"))]);
    assert_eq!(store.merge(old), Ok(false));
    assert!(Catalogue::build(&store).customers.is_empty());
}

#[test]
fn verify_a_lower_version_number_is_rejected() {
    let numbered = |it: u64| format!("version = {it}\n{}", body(&format!("n{it}")));
    let mut store = store();
    store.merge(delta(0, 1, vec![document("p/a", 1, &numbered(7))])).expect("newer");
    assert_eq!(store.merge(delta(1, 2, vec![document("p/a", 2, &numbered(6))])), Ok(false));
    assert!(Catalogue::build(&store).customers.contains_key("p/n7"));
    let rejected = store.take_rejected();
    assert_eq!(rejected.iter().map(|it| it.version).collect::<Vec<_>>(), [Some(6)]);
    assert_eq!(store.take_rejected(), []);
    // With the same number, a different text is an edit and the same text is no change.
    let edit = format!("version = 7\n{}", body("edit"));
    assert_eq!(store.merge(delta(2, 3, vec![document("p/a", 3, &edit)])), Ok(true));
    assert_eq!(store.merge(delta(3, 4, vec![document("p/a", 4, &edit)])), Ok(false));
    // A refused version leaves the one in force, whatever its number.
    store.merge(delta(4, 5, vec![document("p/a", 5, "version = 9\noven = 1")])).expect("newer");
    assert!(Catalogue::build(&store).customers.contains_key("p/edit"));
    assert_eq!(store.merge(delta(5, 6, vec![document("p/a", 6, &numbered(6))])), Ok(false));
    // After a removal any number is accepted.
    let gone = Document { removed: true, ..document("p/a", 7, "") };
    assert_eq!(store.merge(delta(6, 7, vec![gone])), Ok(true));
    assert_eq!(store.merge(delta(7, 8, vec![document("p/a", 8, &numbered(1))])), Ok(true));
    assert!(Catalogue::build(&store).customers.contains_key("p/n1"));
}

#[test]
fn verify_old_deltas_and_deltas_with_a_gap_are_ignored() {
    let mut store = store();
    store.merge(delta(0, 5, vec![document("p/a", 5, &body("one"))])).expect("newer");
    let old = delta(0, 4, vec![document("p/a", 4, &body("old"))]);
    assert_eq!(store.merge(old), Err(Ignored::OldRevision));
    let gap = delta(7, 8, vec![document("p/b", 8, &body("new"))]);
    assert_eq!(store.merge(gap), Err(Ignored::DeltaGap));
    assert_eq!(store.revision(), 5.into());
}

/// Stores that exchange digests and deltas in any order, and merge stale or duplicate reads,
/// converge to the same content, and no store's revision ever decreases.
#[test]
fn verify_stores_converge() {
    fn converges(seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut platform: Vec<Document> = Vec::new();
        let mut stores: Vec<Store> = (0..4).map(|_| store()).collect();
        let mut in_flight: Vec<(usize, Delta)> = Vec::new();
        for round in 0..60 {
            match rng.random_range(0..4) {
                0 => {
                    let revision = platform.len() as u64 + 1;
                    let key = format!("p/{}", rng.random_range(0..3));
                    let valid = rng.random_bool(0.7);
                    let text = if valid { body(&format!("n{round}")) } else { "oven = 1".into() };
                    platform.push(document(&key, revision, &text));
                }
                1 => {
                    // A read of an earlier state of the platform.
                    let to = rng.random_range(0..=platform.len());
                    let at = rng.random_range(0..stores.len());
                    let after = stores[at].revision().number;
                    let newer: Vec<Document> = platform[..to]
                        .iter()
                        .filter(|it| it.newest.revision.number > after)
                        .cloned()
                        .collect();
                    in_flight.push((at, delta(after, to as u64, newer)));
                }
                2 => {
                    let (a, b) = (rng.random_range(0..4), rng.random_range(0..4));
                    let (compare, _) = stores[a].compare(stores[b].digest());
                    if let Compare::Pull(pull) = compare {
                        in_flight.extend(stores[b].deltas(&pull, 64).into_iter().map(|it| (a, it)));
                    }
                }
                _ => {}
            }
            while !in_flight.is_empty() && rng.random_bool(0.6) {
                let (at, it) = in_flight.swap_remove(rng.random_range(0..in_flight.len()));
                let before = stores[at].revision();
                let _ = stores[at].merge(it.clone());
                assert!(stores[at].revision() >= before, "a revision decreased");
                if rng.random_bool(0.2) {
                    in_flight.push((at, it));
                }
            }
        }
        for _ in 0..4 {
            for a in 0..4 {
                for b in 0..4 {
                    if let (Compare::Pull(pull), _) = stores[a].compare(stores[b].digest()) {
                        for it in stores[b].deltas(&pull, 64) {
                            let _ = stores[a].merge(it);
                        }
                    }
                }
            }
        }
        let force = |it: &Store| -> Vec<(String, Revision)> {
            let all = it.verdicts().iter();
            all.filter_map(|(key, it)| Some((key.clone(), it.force.as_ref()?.0))).collect()
        };
        for it in &stores {
            assert_eq!(force(it), force(&stores[0]), "seed {seed}");
            assert_eq!(it.digest(), stores[0].digest(), "seed {seed}");
        }
    }
    // Fixed seeds, so that every run has the same result.
    (0..1_000).for_each(converges);
}

#[test]
fn verify_readers_are_few_and_replaced() {
    let names: Vec<String> = (0..50).map(|it| format!("n{it}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let options = duty::Options::default();
    let readers =
        |age| names.iter().filter(|it| duty::is_reader(options, it, "h", &names, age)).count();
    assert_eq!(readers(0), 2);
    assert_eq!(readers(options.patience), 3);
    assert_eq!(readers(1_000_000), 8);
    // A reader that the list no longer contains is replaced.
    let first = names.iter().copied().find(|it| duty::is_reader(options, it, "h", &names, 0));
    let rest: Vec<&str> = names.iter().copied().filter(|it| Some(*it) != first).collect();
    let left = rest.iter().filter(|it| duty::is_reader(options, it, "h", &rest, 0)).count();
    assert_eq!(left, 2);
}
