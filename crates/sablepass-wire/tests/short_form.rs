// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Short forms of heartbeats and digests: peers must read the same messages whether they are sent
//! in full or shortened, and fleets of up to 36 entries must send the same bytes as without them.

use quickcheck::QuickCheck;
use sablepass_wire::frame::Codec;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;
use sablepass_wire::short_form::{Restorer, Shortener};

/// Entries of the largest planned fleet.
const ENTRIES: u32 = 53;

/// A report of an agent that has just read its target's load.
fn report(load: u32) -> wire::Report {
    wire::Report {
        in_flight: load,
        engine_load: load,
        size: 240,
        entries: ENTRIES,
        group: 0x1234_5678,
        ..wire::Report::default()
    }
}

/// A digest of a fleet whose platform answers.
fn digest(age: u32) -> wire::Digest {
    let available = wire::Available { era: 1, age, duration: 600_000 - age, detection: 200 };
    wire::Digest {
        revision: 900,
        hash: 1,
        age,
        list_revision: 901,
        list_hash: 2,
        list_since: 3,
        era: 1,
        list_era: 1,
        list_since_era: 1,
        list_began: 4,
        list_began_era: 1,
        available: Some(available),
        short_forms: true,
    }
}

fn encode(body: Body) -> Vec<u8> {
    let mut out = Vec::new();
    Codec::open().encode(body, &mut out).expect("the message is encoded");
    out
}

/// Fails if the sizes used by the model in `sablepass-core/tests/heartbeats.rs` are outdated.
#[test]
fn verify_sizes_of_reports() {
    let mut shortener = Shortener::default();
    shortener.accept();
    let full = encode(shortener.shorten(Body::Report(report(7))));
    let short = encode(shortener.shorten(Body::Report(report(8))));
    assert_eq!((full.len(), short.len()), (20, 9));
}

/// Fails if an entry would read anything else than what the agent reported.
#[test]
fn verify_shortened_reports_are_restored() {
    fn property(steps: Vec<(u8, u8, u8, bool, bool)>, accept_at: u8) -> bool {
        let (mut shortener, mut restorer) = (Shortener::default(), Restorer::default());
        let accept_at = usize::from(accept_at) % (steps.len() + 1);
        steps.into_iter().enumerate().all(|(step, (load, age, entries, leaving, gap))| {
            if step == accept_at {
                shortener.accept();
            }
            let sent = wire::Report {
                engine_load: u32::from(load) + u32::from(gap),
                load_age: u32::from(age),
                entries: 34 + u32::from(entries) % 5,
                leaving,
                ..report(load.into())
            };
            let mut codec = Codec::open();
            codec.feed(&encode(shortener.shorten(Body::Report(sent))));
            let (body, _) = codec.next_body().expect("a valid frame").expect("a complete frame");
            restorer.restore(body) == Some(Body::Report(sent))
        })
    }
    QuickCheck::new().quickcheck(property as fn(Vec<(u8, u8, u8, bool, bool)>, u8) -> bool);
}

/// Fails if a fleet of up to 36 entries sends other bytes than before, or if an entry that has not
/// announced that it accepts updates receives one.
#[test]
fn verify_small_fleets_and_older_entries_receive_full_reports() {
    for (entries, accepts) in [(36, true), (1, true), (ENTRIES, false)] {
        let mut shortener = Shortener::default();
        if accepts {
            shortener.accept();
        }
        for load in [3, 3, 4] {
            let sent = Body::Report(wire::Report { entries, ..report(load) });
            assert_eq!(encode(shortener.shorten(sent.clone())), encode(sent));
        }
    }
}

/// Fails if a peer would read another digest than was sent, or if only times change and the digest
/// is still sent in full.
#[test]
fn verify_shortened_digests_are_restored() {
    let (mut shortener, mut restorer) = (Shortener::default(), Restorer::default());
    shortener.accept();
    let changed = wire::Digest { list_revision: 950, ..digest(500) };
    let other_era = wire::Available { era: 2, age: 1, duration: 1, detection: 1 };
    let sequence = [
        (digest(400), false),
        (digest(900), true),
        (changed, false),
        (changed, true),
        (wire::Digest { available: None, ..changed }, false),
        (wire::Digest { available: None, age: 7, ..changed }, true),
        (wire::Digest { available: Some(other_era), ..changed }, false),
        (wire::Digest { short_forms: false, ..changed }, false),
        (wire::Digest { short_forms: false, ..changed }, false),
    ];
    for (number, (sent, short)) in sequence.into_iter().enumerate() {
        let body = shortener.shorten(Body::Digest(sent));
        assert_eq!(matches!(body, Body::AgeUpdate(_)), short, "message {number}");
        assert_eq!(restorer.restore(body), Some(Body::Digest(sent)), "message {number}");
    }
    let short = shortener.shorten(Body::Digest(digest(1)));
    assert!(matches!(short, Body::Digest(_)), "other content than the last digest in full");
    let full = encode(Body::Digest(digest(500))).len();
    let short = encode(shortener.shorten(Body::Digest(digest(500)))).len();
    assert_eq!((full, short), (87, 17));
}

/// Fails if a fleet of up to 36 entries sends other digests than before, or if a peer that does not
/// accept short forms receives one.
#[test]
fn verify_small_fleets_and_older_peers_receive_full_digests() {
    for (short_forms, accepts) in [(false, true), (true, false)] {
        let mut shortener = Shortener::default();
        if accepts {
            shortener.accept();
        }
        for age in [5, 5, 900] {
            let sent = Body::Digest(wire::Digest { short_forms, ..digest(age) });
            assert_eq!(encode(shortener.shorten(sent.clone())), encode(sent));
        }
    }
}

/// Fails if a change that entries act on at once is left out of the short form.
#[test]
fn verify_other_changes_are_sent_in_full() {
    let changes: [fn(&mut wire::Report); 11] = [
        |it| it.capacity = 9,
        |it| it.leaving = true,
        |it| it.away = true,
        |it| it.pace = 1,
        |it| it.size = 239,
        |it| it.lag = 1_100,
        |it| it.entries = ENTRIES - 1,
        |it| it.group = 5,
        |it| it.stands = true,
        |it| it.refuses = true,
        |it| it.rest = 400,
    ];
    for change in changes {
        let mut shortener = Shortener::default();
        shortener.accept();
        shortener.shorten(Body::Report(report(1)));
        let mut changed = report(1);
        change(&mut changed);
        assert_eq!(shortener.shorten(Body::Report(changed)), Body::Report(changed));
    }
    let mut shortener = Shortener::default();
    shortener.accept();
    shortener.shorten(Body::Report(report(1)));
    let limited = Body::Report(wire::Report { limit: Some(4.0), ..report(1) });
    assert_eq!(shortener.shorten(limited.clone()), limited);
}

/// Fails if a short form without a full message before it is read as one of an unloaded target or
/// of an empty store.
#[test]
fn verify_short_form_without_a_full_message_is_ignored() {
    let age = Body::AgeUpdate(wire::AgeUpdate { age: 1, ..Default::default() });
    assert_eq!(Restorer::default().restore(age), None);
    let update = Body::LoadUpdate(wire::LoadUpdate { in_flight: 1, ..Default::default() });
    assert_eq!(Restorer::default().restore(update), None);
}
