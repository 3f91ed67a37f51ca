// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Evacuations of data halls in the replicated store: they come into force everywhere, and end only
//! if the platform's store reports that their item is gone.

use sablepass_core::catalogue::Catalogue;
use sablepass_core::config::{Compare, Coverage, Delta, Document, Store, StoreKind, Version};
use sablepass_core::declaration::{self, Declarations, Error, Evacuation};
use sablepass_core::flight::{Action, Event, Flight, Options, Request};
use sablepass_core::id::{Incarnation, RequestId};
use sablepass_core::pass::Times;
use sablepass_core::reason::{Ignored, Refusal, Retry};
use sablepass_core::revision::Revision;

const KEY: &str = "op/evacuate/x";

/// Accepts any document as an evacuation of the hall that its key names, as the platform's format
/// does.
fn check(key: &str, _body: &str) -> declaration::Result<Declarations> {
    let hall = key.trim_start_matches("op/evacuate/").to_owned();
    Ok(Declarations { evacuation: vec![Evacuation { hall }], ..Declarations::default() })
}

fn store() -> Store {
    Store::open_with(StoreKind::Declarations, check)
}

fn at(era: u64, number: u64) -> Revision {
    Revision::new(era, number)
}

fn written(key: &str, revision: Revision) -> Document {
    let newest = Version { revision, body: String::new() };
    Document { key: key.to_owned(), newest, removed: false, accepted: None }
}

fn gone(key: &str, revision: Revision) -> Document {
    Document { removed: true, ..written(key, revision) }
}

/// Changes after a revision, as a watch reports them.
fn changes(after: Revision, revision: Revision, documents: Vec<Document>) -> Delta {
    Delta { after, revision, documents, whole: None }
}

/// A complete read.
fn all(held: Revision, revision: Revision, documents: Vec<Document>) -> Delta {
    let whole = Some(Coverage::All(revision));
    Delta { after: held.min(revision), revision, documents, whole }
}

fn read_all(store: &mut Store, revision: Revision, documents: Vec<Document>) {
    let _ = store.merge(all(store.revision(), revision, documents));
}

fn halls(store: &Store) -> Vec<String> {
    Catalogue::build(store).evacuations.into_iter().map(|it| it.hall).collect()
}

/// A store that read everything at revision 5 of era 1, and a hall evacuated at revision 10.
fn evacuated() -> Store {
    let mut store = store();
    read_all(&mut store, at(1, 5), Vec::new());
    store.merge(changes(at(1, 5), at(1, 10), vec![written(KEY, at(1, 10))])).expect("newer");
    assert_eq!(halls(&store), ["x"]);
    store
}

/// One exchange of digests in both directions with the resulting pulls. Returns whether any store
/// pulled.
fn exchange(a: &mut Store, b: &mut Store) -> bool {
    let mut pulled = false;
    for _ in 0..2 {
        if let (Compare::Pull(pull), _) = a.compare(b.digest()) {
            pulled = true;
            for delta in b.deltas(&pull, 1 << 20) {
                let _ = a.merge(delta);
            }
        }
        std::mem::swap(a, b);
    }
    pulled
}

/// Exchanges until both stores agree.
fn settle(a: &mut Store, b: &mut Store) {
    for _ in 0..4 {
        if !exchange(a, b) {
            return;
        }
    }
    panic!("the stores do not converge: {:?} {:?}", a.digest(), b.digest());
}

/// Guards against a hall without a name, and a document whose other declarations are lost.
#[test]
fn verify_a_document_evacuates_the_halls_that_it_names() {
    let text = "[[evacuation]]\nhall = \"a/b c\"\n[[evacuation]]\nhall = \"a/b c\"\n";
    let declared = declaration::check("p/a", text).expect("accepted");
    assert_eq!(declared.evacuation.len(), 2);
    let refused = declaration::check("p/a", "[[evacuation]]\nhall = \"\"\n");
    assert!(matches!(refused, Err(Error::Range { field: "hall", .. })), "{refused:?}");
    assert!(declaration::check("p/a", "[[evacuation]]\n").is_err());
}

/// Guards against an evacuation that applies to another partner's targets, or ends while another
/// document still declares it.
#[test]
fn verify_an_evacuation_applies_to_its_partner_until_the_last_document_is_gone() {
    let target = "[[target]]\nname = \"t\"\nserves = \"m\"\nhall = \"x\"\ncapacity = 1\n";
    let evacuation = "[[evacuation]]\nhall = \"x\"\n";
    let mut store = Store::open(StoreKind::Declarations);
    let texts = [("p/a", target), ("q/a", target), ("p/b", evacuation), ("p/c", evacuation)];
    let mut publish = |number: u64, key: &str, body: &str, removed: bool| {
        let newest = Version { revision: number.into(), body: body.to_owned() };
        let document = Document { key: key.to_owned(), newest, removed, accepted: None };
        let delta = changes((number - 1).into(), number.into(), vec![document]);
        store.merge(delta).expect("newer");
        let catalogue = Catalogue::build(&store);
        (catalogue.is_evacuated("p/t"), catalogue.is_evacuated("q/t"), catalogue)
    };
    for (index, (key, text)) in texts.iter().enumerate() {
        publish(index as u64 + 1, key, text, false);
    }
    let (own, other, catalogue) = publish(5, "p/b", "", true);
    assert!(own && !other, "p/c still evacuates the hall");
    let it = &catalogue.evacuations[0];
    assert_eq!((&*it.hall, &*it.document, &*it.partner), ("x", "p/c", "p"));
    assert_eq!(it.revision, 4.into());
    // An invalid edit leaves the accepted version in force, a valid one without the hall ends it.
    assert!(publish(6, "p/c", "oven = 1", false).0);
    assert!(!publish(7, "p/c", "", false).0);
}

/// Guards against an evacuation that only the processes know which read the store themselves.
#[test]
fn verify_an_evacuation_known_only_to_a_peer_is_pulled() {
    let mut peer = evacuated();
    for mut fresh in [store(), {
        let mut behind = store();
        read_all(&mut behind, at(1, 5), Vec::new());
        behind
    }] {
        settle(&mut fresh, &mut peer);
        assert_eq!(halls(&fresh), ["x"]);
    }
    // A process that read the store again after a restart gets the same.
    let mut restarted = store();
    read_all(&mut restarted, at(1, 12), vec![written(KEY, at(1, 10))]);
    settle(&mut restarted, &mut peer);
    assert_eq!((halls(&restarted), halls(&peer)), (vec!["x".to_owned()], vec!["x".to_owned()]));
}

/// Guards against an evacuation that outlasts the removal of its item, at this process or a peer.
#[test]
fn verify_an_evacuation_ends_with_its_item() {
    let (mut store, mut peer) = (evacuated(), evacuated());
    store.merge(changes(at(1, 10), at(1, 20), vec![gone(KEY, at(1, 20))])).expect("newer");
    assert!(halls(&store).is_empty());
    settle(&mut store, &mut peer);
    assert!(halls(&peer).is_empty() && halls(&store).is_empty());
    // It can be evacuated again.
    store.merge(changes(at(1, 20), at(1, 30), vec![written(KEY, at(1, 30))])).expect("newer");
    settle(&mut store, &mut peer);
    assert_eq!(halls(&peer), ["x"]);
}

/// Guards against a removal that is missed since the store no longer has its history.
#[test]
fn verify_an_evacuation_ends_by_a_complete_read_if_the_history_is_lost() {
    let (mut store, mut peer) = (evacuated(), evacuated());
    read_all(&mut store, at(1, 30), Vec::new());
    assert!(halls(&store).is_empty());
    settle(&mut store, &mut peer);
    assert!(halls(&peer).is_empty() && halls(&store).is_empty());
}

/// Guards against a release by a server of the store that is behind. The item was written anew
/// here, and the older read still shows the time in between.
#[test]
fn verify_an_older_read_ends_nothing() {
    let mut store = evacuated();
    store.merge(changes(at(1, 10), at(1, 20), vec![gone(KEY, at(1, 20))])).expect("newer");
    store.merge(changes(at(1, 20), at(1, 30), vec![written(KEY, at(1, 30))])).expect("newer");
    let older = all(store.revision(), at(1, 25), Vec::new());
    assert_eq!(store.merge(older), Err(Ignored::OldRevision));
    assert_eq!(halls(&store), ["x"]);
    // A removal that the store knew already ends nothing either.
    let older = changes(at(1, 10), at(1, 30), vec![gone(KEY, at(1, 20))]);
    assert_eq!(store.merge(older), Ok(false));
    assert_eq!(halls(&store), ["x"]);
    // The store is at a later revision than the read, though the item is older than both.
    let mut store = evacuated();
    store.merge(changes(at(1, 10), at(1, 40), Vec::new())).expect("newer");
    let older = all(store.revision(), at(1, 25), Vec::new());
    assert_eq!(store.merge(older), Err(Ignored::OldRevision));
    assert_eq!(halls(&store), ["x"]);
}

/// Guards against a release by a restore from a backup that lacks the item: the operator has not
/// ended the evacuation.
#[test]
fn verify_a_restore_from_a_backup_without_the_item_ends_nothing() {
    let (mut store, mut peer) = (evacuated(), evacuated());
    read_all(&mut store, at(2, 8), Vec::new());
    assert_eq!(halls(&store), ["x"]);
    settle(&mut store, &mut peer);
    // A process that started after the restore learns of it from its peers.
    let mut restarted = self::store();
    read_all(&mut restarted, at(2, 8), Vec::new());
    settle(&mut restarted, &mut peer);
    assert_eq!(halls(&restarted), ["x"]);
    // Written again and removed, it ends everywhere.
    let again = vec![written(KEY, at(2, 9)), gone(KEY, at(2, 10))];
    store.merge(changes(at(2, 8), at(2, 10), again)).expect("newer");
    for it in [&mut peer, &mut restarted] {
        settle(&mut store, it);
        assert!(halls(it).is_empty());
    }
    assert!(halls(&store).is_empty());
}

/// Guards against an evacuation that stays in force or ends wrongly after a restore from a backup
/// that contains its item.
#[test]
fn verify_a_restore_from_a_backup_with_the_item_follows_the_store() {
    let mut store = evacuated();
    read_all(&mut store, at(2, 12), vec![written(KEY, at(2, 10))]);
    assert_eq!(halls(&store), ["x"]);
    // The item is of the present era now, so a complete read without it shows that it is gone.
    read_all(&mut store, at(2, 20), Vec::new());
    assert!(halls(&store).is_empty());
    // The evacuation had ended before the restore, but the operator's item is there again.
    read_all(&mut store, at(3, 12), vec![written(KEY, at(3, 10))]);
    assert_eq!(halls(&store), ["x"]);
    store.merge(changes(at(3, 12), at(3, 13), vec![gone(KEY, at(3, 13))])).expect("newer");
    assert!(halls(&store).is_empty());
}

/// Guards against an ended evacuation that a process which was suspended or cut off brings back:
/// both to a peer that recorded the removal, and to one that restarted since and has no trace of
/// it.
#[test]
fn verify_an_older_copy_does_not_revive_an_ended_evacuation() {
    let mut recorded = evacuated();
    recorded.merge(changes(at(1, 10), at(1, 20), vec![gone(KEY, at(1, 20))])).expect("newer");
    let mut restarted = store();
    read_all(&mut restarted, at(1, 20), Vec::new());
    for present in [&mut recorded, &mut restarted] {
        let mut older = evacuated();
        settle(&mut older, present);
        assert!(halls(&older).is_empty() && halls(present).is_empty());
    }
    // A message of the older process that was under way for long.
    let delayed = evacuated().deltas(&Default::default(), 1 << 20);
    for present in [&mut recorded, &mut restarted] {
        for delta in delayed.clone() {
            assert!(present.merge(delta).is_err());
        }
        assert!(halls(present).is_empty());
    }
}

/// Guards against an older copy of an earlier era that brings an ended evacuation back while a
/// process with the removal is left.
#[test]
fn verify_a_removal_of_a_later_era_wins_over_an_older_copy() {
    let mut older = evacuated();
    let mut recorded = evacuated();
    read_all(&mut recorded, at(2, 8), Vec::new());
    let again = vec![written(KEY, at(2, 9)), gone(KEY, at(2, 10))];
    recorded.merge(changes(at(2, 8), at(2, 10), again)).expect("newer");
    let mut restarted = store();
    read_all(&mut restarted, at(2, 10), Vec::new());
    settle(&mut restarted, &mut older);
    settle(&mut recorded, &mut older);
    settle(&mut recorded, &mut restarted);
    for it in [&older, &restarted, &recorded] {
        assert!(halls(it).is_empty());
    }
}

/// Guards against processes that send each other their complete configuration with every digest,
/// since one recorded a removal and the other started after it.
#[test]
fn verify_a_recorded_removal_is_no_difference() {
    let mut recorded = evacuated();
    recorded.merge(changes(at(1, 10), at(1, 20), vec![gone(KEY, at(1, 20))])).expect("newer");
    let mut restarted = store();
    read_all(&mut restarted, at(1, 20), Vec::new());
    assert!(!exchange(&mut recorded, &mut restarted));
    // A process that holds the item at the same revision differs from both.
    let mut wrong = evacuated();
    wrong.merge(changes(at(1, 10), at(1, 20), Vec::new())).expect("newer");
    for it in [&mut recorded, &mut restarted] {
        let mut wrong = wrong_copy(&wrong);
        assert!(exchange(&mut wrong, it));
        assert!(halls(&wrong).is_empty() && halls(it).is_empty());
    }
    assert_eq!(halls(&wrong), ["x"]);
}

/// A store with the content of another.
fn wrong_copy(other: &Store) -> Store {
    let mut copy = store();
    for delta in other.deltas(&Default::default(), 1 << 20) {
        copy.merge(delta).expect("newer");
    }
    copy
}

fn flight(keyed: bool) -> Flight {
    let id = RequestId(7);
    let request = Request {
        id,
        deadline: 10_000,
        max_attempts: 1,
        unsafe_repeat: true,
        keyed,
        stream: false,
        resumable: false,
    };
    Flight::new(Options::default(), request)
}

/// Guards against an evacuation that uses up the attempts or the retry budget of a request that
/// was withdrawn, or that an agent refused.
#[test]
fn verify_a_withdrawn_attempt_uses_no_attempt_and_no_budget() {
    let mut no_budget = || false;
    let mut flight = flight(false);
    for (event, target) in
        [Event::Unsent, Event::Refused(Refusal::HallEvacuated), Event::Unsent].into_iter().zip(1..)
    {
        let attempt = flight.send(0, &format!("t{target}"), Incarnation(1));
        let actions = flight.handle_event(1, attempt.number, event, &mut no_budget);
        assert_eq!(actions, [Action::CountRetry(Retry::TargetRests), Action::Dispatch]);
    }
    let failed = flight.refuse(Refusal::Evacuated);
    assert!(matches!(&failed[..], [Action::Fail(it)] if it.ran.label() == "not-run"));
}

/// Guards against a request with an idempotency key that runs at another target than its owner.
#[test]
fn verify_a_keyed_request_is_refused_if_its_owner_is_evacuated() {
    let mut flight = flight(true);
    let attempt = flight.send(0, "t", Incarnation(1));
    let refused = Event::Refused(Refusal::HallEvacuated);
    let actions = flight.handle_event(1, attempt.number, refused, &mut || true);
    assert!(matches!(&actions[..], [Action::Fail(it)] if it.reason == Refusal::HallEvacuated));
    assert_eq!(Refusal::HallEvacuated.status(), 503);
}

/// Guards against a group whose places change without an evacuation, or that takes no more
/// requests per rank although its passes contain less experts' work.
#[test]
fn verify_fewer_taking_ranks_leave_room_for_longer_queues() {
    let times = Times::new(8.0, 3.0, 0.4, 0.6, (500.0, 20.0));
    for (pause, lag) in [(114.0, 1.0), (114.0, 1.37), (250.0, 2.9), (10.0, 1.1)] {
        let whole = times.sequences(pause, lag);
        assert_eq!(whole.to_bits(), times.sequences_of_part(pause, lag, 1.0).to_bits());
        let part = times.sequences_of_part(pause, lag, 2.0 / 3.0);
        assert!(part > whole || whole == 0.0, "{part} {whole}");
    }
    // With no experts' work there is nothing to share.
    let plain = Times { part: 0.0, ..times };
    assert_eq!(plain.sequences_of_part(114.0, 1.0, 0.5), plain.sequences(114.0, 1.0));
}
