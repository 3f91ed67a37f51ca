// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Region restrictions: the scope of a request, and how documents declare it. They guard against
//! requests sent to a region that their route or customer does not allow.

use sablepass_core::declaration::{self, Error};
use sablepass_core::route::{Route, Table};
use sablepass_core::scope::Scope;

fn list(names: &[&str]) -> Vec<String> {
    names.iter().map(|it| (*it).to_owned()).collect()
}

fn scope(route: &[&str], customer: &[&str]) -> Scope {
    Scope::intersection([list(route).as_slice(), list(customer).as_slice()])
}

#[test]
fn verify_a_scope_is_the_intersection_of_the_lists() {
    let allowed = |scope: &Scope| -> Vec<&str> {
        ["north", "south", "west"].into_iter().filter(|it| scope.allows(Some(it))).collect()
    };
    assert_eq!(allowed(&scope(&["north", "south"], &["south", "west"])), ["south"]);
    assert_eq!(allowed(&scope(&["north", "south"], &[])), ["north", "south"]);
    assert_eq!(allowed(&scope(&[], &["west", "west"])), ["west"]);
    assert!(allowed(&scope(&["north"], &["south"])).is_empty(), "disjoint lists allow nothing");
    assert!(allowed(&scope(&["North"], &[])).is_empty(), "names are compared exactly");
}

#[test]
fn verify_empty_lists_restrict_nothing() {
    assert_eq!(scope(&[], &[]), Scope::ANY);
    assert_eq!(Scope::intersection([]), Scope::ANY);
    assert!(scope(&[], &[]).allows(None), "a hall without a region is allowed");
}

#[test]
fn verify_a_hall_without_a_region_is_outside_any_restriction() {
    assert!(!scope(&["north"], &[]).allows(None));
    assert!(!scope(&["north"], &["south"]).allows(None));
}

#[test]
fn verify_scopes_overlap_if_a_region_is_in_both() {
    let north = scope(&["north"], &[]);
    assert!(north.overlaps(&Scope::ANY) && Scope::ANY.overlaps(&north));
    assert!(north.overlaps(&scope(&["south", "north"], &[])));
    assert!(!north.overlaps(&scope(&["south"], &[])));
    assert!(!scope(&["north"], &["south"]).overlaps(&north));
}

#[test]
fn verify_log_lines_name_the_regions() {
    assert_eq!(scope(&["south", "north"], &[]).to_string(), "north,south");
    assert_eq!(scope(&["north"], &["south"]).to_string(), "none");
    assert_eq!(Scope::ANY.to_string(), "any");
}

const DOCUMENT: &str = r#"
[[customer]]
name = "farm"
key = "tatranska:key-of-the-farm"
share = 1
regions = ["north", "south"]

[[route]]
name = "orders"
host = "users.example"
prefix = "/orders/"
timeout = 1000
objective = 100
attempts = 2
regions = ["south"]
shares = [{ service = "orders", weight = 1 }]
"#;

fn check(text: &str) -> declaration::Result<declaration::Declarations> {
    declaration::check("tatranska/main.toml", text)
}

#[test]
fn verify_documents_declare_regions() {
    let declared = check(DOCUMENT).expect("a valid document");
    assert_eq!(declared.customer[0].regions, ["north", "south"]);
    assert_eq!(declared.route[0].regions, ["south"]);
    let without = DOCUMENT.lines().filter(|it| !it.starts_with("regions"));
    let declared = check(&without.collect::<Vec<&str>>().join("\n")).expect("a valid document");
    assert!(declared.customer[0].regions.is_empty() && declared.route[0].regions.is_empty());
}

#[test]
fn verify_an_invalid_region_name_refuses_the_document() {
    for (list, kind) in
        [("[\"south\"]", "route region"), ("[\"north\", \"south\"]", "customer region")]
    {
        for name in ["", "no rth", "a/b", &"x".repeat(65)] {
            let text =
                DOCUMENT.replace(&format!("regions = {list}"), &format!("regions = [{name:?}]"));
            let expected = Error::ForeignName {
                key: "tatranska/main.toml".to_owned(),
                kind,
                name: name.to_owned(),
            };
            assert_eq!(check(&text), Err(expected));
        }
    }
}

fn route(name: &str, prefix: &str) -> Route {
    let declared = check(DOCUMENT).expect("a valid document").route.remove(0);
    Route { name: name.to_owned(), prefix: prefix.to_owned(), ..declared }
}

/// The scope of a waiting request follows its route. Guards against a route of another partner
/// that has the same name.
#[test]
fn verify_the_current_version_of_a_route_is_found() {
    let (old, other) = (route("orders", "/orders/"), route("orders", "/other/"));
    let mut table = Table::default();
    assert!(table.current(&old).is_none(), "the route is gone");
    table.add(route("else", "/orders/"));
    table.add(route("orders", "/moved/"));
    assert_eq!(table.current(&old).map(|it| it.prefix.as_str()), Some("/moved/"));
    table.add(other.clone());
    assert!(table.current(&old).is_none(), "two routes have the name");
    assert_eq!(table.current(&other).map(|it| it.prefix.as_str()), Some("/other/"));
}
