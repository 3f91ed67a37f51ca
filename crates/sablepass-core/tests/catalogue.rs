// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Conflicts between declarations of different documents.

use sablepass_core::catalogue::Catalogue;
use sablepass_core::config::{Delta, Document, Store, StoreKind, Version};
use sablepass_core::declaration::{self, Error};

fn target(name: &str, capacity: u32) -> String {
    format!("[[target]]\nname = {name:?}\nserves = \"m\"\nhall = \"h\"\ncapacity = {capacity}\n")
}

fn customer(name: &str, key: &str) -> String {
    format!("[[customer]]\nname = {name:?}\nkey = {key:?}\nshare = 1\n")
}

/// Builds the catalogue of documents that were published one after the other.
fn publish(all: &[(&str, String)]) -> Catalogue {
    let mut store = Store::open(StoreKind::Declarations);
    for (index, (key, body)) in all.iter().enumerate() {
        let revision = (index as u64 + 1).into();
        let newest = Version { revision, body: body.clone() };
        let document = Document { key: (*key).to_owned(), newest, removed: false, accepted: None };
        let delta = Delta {
            after: (index as u64).into(),
            revision,
            documents: vec![document],
            whole: None,
        };
        store.merge(delta).expect("newer");
    }
    Catalogue::build(&store)
}

#[test]
fn verify_a_later_document_does_not_displace_declarations_in_force() {
    // The later document's key sorts first; it is refused nevertheless.
    let catalogue = publish(&[("p/b", target("t", 7)), ("p/a", target("t", 9))]);
    assert_eq!(catalogue.targets["p/t"].resource.capacity, 7);
    assert!(matches!(catalogue.refused["p/a"], Error::Clash { .. }));
    assert!(!catalogue.refused.contains_key("p/b"));
}

#[test]
fn verify_documents_of_different_partners_do_not_conflict() {
    let both =
        [("q/a", customer("c", "q:same-key-text")), ("p/a", customer("c", "p:same-key-text"))];
    let catalogue = publish(&both);
    assert!(catalogue.refused.is_empty());
    assert_eq!(catalogue.keys["p:same-key-text"], "p/c");
    assert_eq!(catalogue.keys["q:same-key-text"], "q/c");
}

#[test]
fn verify_key_of_another_partner_is_refused() {
    for key in ["q:long-enough-key", "long-enough-key", "p-long-enough", "p:short"] {
        let refused = declaration::check("p/a", &customer("c", key));
        assert!(matches!(refused, Err(Error::Range { field: "key", .. })), "{key}: {refused:?}");
    }
    assert!(declaration::check("p/a", &customer("c", "p:long-enough-key")).is_ok());
}
