// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Frames and conversions, and whether the committed code fits the schema.

use quickcheck::QuickCheck;
use sablepass_core::config::parts::{Mask, Parts};
use sablepass_core::config::{Coverage, Delta, Document, Pull, StoreKind, Version};
use sablepass_core::expert::demand;
use sablepass_core::flight::{Event, Verdict};
use sablepass_core::id::{AttemptId, RequestId, TargetIncarnation};
use sablepass_core::limits::{Rate, Turn};
use sablepass_core::once::AttemptState;
use sablepass_core::outcome::{Failure, Ran};
use sablepass_core::reason::Refusal;
use sablepass_core::revision::Revision;
use sablepass_wire::frame::Codec;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;
use sablepass_wire::{convert, frame, notices, removals, turns};

const ATTEMPT: AttemptId = AttemptId { request: RequestId(77), number: 3 };

fn encode(body: Body) -> Vec<u8> {
    let mut out = Vec::new();
    Codec::open().encode(body, &mut out).expect("encoded");
    out
}

fn chunk(data: Vec<u8>) -> Body {
    Body::Chunk(wire::Chunk {
        request: convert::request_bytes(ATTEMPT.request),
        attempt: ATTEMPT.number,
        offset: 5,
        data: data.into(),
    })
}

#[test]
fn verify_frames_survive_any_cut() {
    fn holds(data: Vec<u8>, cuts: Vec<u8>) -> bool {
        let bodies =
            [chunk(data), Body::Pull(wire::Pull { after: 9, what: 1, parts: vec![], era: 2 })];
        let bytes: Vec<u8> = bodies.iter().cloned().flat_map(encode).collect();
        let mut codec = Codec::open();
        let mut read = Vec::new();
        let mut rest = &bytes[..];
        let mut cuts = cuts.into_iter();
        while !rest.is_empty() {
            let size = cuts.next().map_or(rest.len(), usize::from).clamp(1, rest.len());
            codec.feed(&rest[..size]);
            rest = &rest[size..];
            while let Some((body, _)) = codec.next_body().expect("frames") {
                read.push(body);
            }
        }
        read == bodies
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn verify_bad_bytes_are_errors() {
    fn holds(bytes: Vec<u8>) -> bool {
        let mut codec = Codec::open();
        codec.feed(&bytes);
        // Whatever comes, it ends in frames, an error or a wait for more; never a panic.
        while let Ok(Some(_)) = codec.next_body() {}
        true
    }
    QuickCheck::new().tests(2_000).quickcheck(holds as fn(Vec<u8>) -> bool);
    let mut codec = Codec::open();
    codec.feed(&[0xff; 8]);
    assert!(matches!(codec.next_body(), Err(frame::Error::Length { .. })));
    let mut codec = Codec::open();
    codec.feed(&[0, 0, 0, 0]);
    assert!(matches!(codec.next_body(), Err(frame::Error::Empty)));
}

#[test]
fn verify_missing_fields_are_errors() {
    let none = wire::Done { request: vec![1, 2].into(), attempt: 1, length: 0 };
    assert!(convert::answer(Body::Done(none)).is_err());
    let zero = wire::Done { request: vec![0; 16].into(), attempt: 0, length: 0 };
    assert!(convert::answer(Body::Done(zero)).is_err());
    let odd = wire::Refused { request: vec![0; 16].into(), attempt: 1, reason: 9_999 };
    assert!(convert::answer(Body::Refused(odd)).is_err());
    assert!(convert::parse_delta(wire::Delta { what: 7, ..wire::Delta::default() }).is_err());
}

#[test]
fn verify_answers_survive() {
    let read = |body| convert::answer(body).expect("an answer").expect("one of an attempt");
    for reason in Refusal::ALL {
        let (attempt, event) = read(convert::refused(ATTEMPT, *reason));
        assert!(attempt == ATTEMPT && matches!(event, Event::Refused(it) if it == *reason));
    }
    let failure = Failure { reason: Refusal::EngineBroke, ran: Ran::Unknown };
    let (_, event) = read(convert::failed(ATTEMPT, failure));
    assert!(matches!(event, Event::Failed(it) if it == failure));
    for (mark, verdict) in [
        (AttemptState::Blocked, Verdict::Blocked),
        (AttemptState::Running, Verdict::Running),
        (AttemptState::Finished, Verdict::Finished),
    ] {
        let (_, event) = read(convert::verdict(ATTEMPT, mark));
        assert!(matches!(event, Event::Verdict(it) if it == verdict));
    }
}

#[test]
fn verify_deltas_survive() {
    let document = Document {
        key: "p/a".to_owned(),
        newest: Version { revision: Revision::new(3, 4), body: "x".to_owned() },
        removed: false,
        accepted: Some(Version { revision: Revision::new(1, 9), body: "y".to_owned() }),
    };
    let parts = Some(Coverage::Parts(Mask(1 << 127 | 5), 77));
    let wholes = [
        (StoreKind::Declarations, None),
        (StoreKind::Declarations, Some(Coverage::All(Revision::new(3, 3)))),
        (StoreKind::Instances, parts),
    ];
    for (what, whole) in wholes {
        let documents = vec![document.clone()];
        let delta =
            Delta { after: Revision::new(2, 8), revision: Revision::new(3, 5), documents, whole };
        let Body::Delta(sent) = convert::delta(what, &delta) else {
            panic!("a delta makes a delta");
        };
        assert_eq!(convert::parse_delta(sent).expect("read"), (what, delta));
    }
}

#[test]
fn verify_pulls_survive() {
    let mut parts = Parts::default();
    parts.toggle("i-1", "a line");
    for (what, parts) in [(StoreKind::Declarations, None), (StoreKind::Instances, Some(parts))] {
        let pull = Pull { after: Revision::new(4, 3), parts };
        let read = convert::parse_pull(&convert::pull(what, &pull)).expect("read");
        assert_eq!(read, (what, pull));
    }
}

/// Comparisons that are cut short or too long are refused.
#[test]
fn verify_comparisons_of_another_length_are_refused() {
    for length in [1, 127, 129, 10_000] {
        let pull = wire::Pull { after: 1, what: 1, parts: vec![1; length], era: 1 };
        assert!(convert::parse_pull(&pull).is_err(), "{length} hashes");
    }
    let declarations = wire::Pull { after: 1, what: 0, parts: vec![1; 128], era: 1 };
    assert!(convert::parse_pull(&declarations).is_err(), "declarations are not compared");
    for length in [1, 15, 17] {
        let parts = vec![1; length];
        let delta = wire::Delta { what: 1, parts: parts.into(), ..wire::Delta::default() };
        assert!(convert::parse_delta(delta).is_err(), "a mask of {length} bytes");
    }
    let parts = vec![1; 16];
    let declarations = wire::Delta { what: 0, parts: parts.into(), ..wire::Delta::default() };
    assert!(convert::parse_delta(declarations).is_err(), "declarations are not compared");
    let both =
        wire::Delta { what: 1, whole: true, parts: vec![1; 16].into(), ..wire::Delta::default() };
    assert!(convert::parse_delta(both).is_err(), "all, and parts of it");
}

#[test]
fn verify_limits_and_turns_come_back_as_they_were_told() {
    let life = TargetIncarnation { name: "i-1", started_at: 7 };
    let told = notices::Announcements {
        leaving: vec![life],
        limits: vec![
            (life, Rate::new(0.25)),
            (TargetIncarnation { name: "i-2", started_at: 0 }, None),
        ],
    };
    let Body::Notices(it) = told.body() else { panic!("notices") };
    assert_eq!(notices::parse(&it).expect("parses"), told);
    let request = RequestId(9);
    let ask = turns::Ask { target: life, request, max_wait: 120 };
    let Body::TurnAsk(it) = turns::ask(ask) else { panic!("an ask") };
    assert_eq!(turns::parse_ask(&it).expect("parses"), ask);
    for turn in [Turn::In(0), Turn::In(90), Turn::TooLate(4_000), Turn::Never] {
        let Body::TurnAnswer(it) = turns::answer(turns::Answer { request, turn }) else {
            panic!("an answer")
        };
        assert_eq!(turns::parse_answer(&it).expect("parses").turn, turn);
    }
}

#[test]
fn verify_limits_and_turns_that_are_none_are_refused() {
    let limit = |target: &str, rate| {
        let limit = wire::Limit { target: target.to_owned(), born: 1, rate };
        notices::parse(&wire::Notices { limits: vec![limit], ..Default::default() }).is_ok()
    };
    assert!(limit("i-1", Some(2.0)) && limit("i-1", None));
    assert!(!limit("", Some(2.0)), "of no target");
    for rate in [-1.0, f64::NAN, f64::INFINITY] {
        assert!(!limit("i-1", Some(rate)), "{rate}");
        let report = wire::Report { entries: 1, limit: Some(rate), ..Default::default() };
        assert!(convert::report(&report).is_err(), "{rate}");
    }
    let target = "i-1".to_owned();
    let ask = wire::TurnAsk { target, request: vec![1; 3].into(), ..Default::default() };
    assert!(turns::parse_ask(&ask).is_err(), "no request has such an id");
    let ask = wire::TurnAsk { request: vec![1; 16].into(), ..Default::default() };
    assert!(turns::parse_ask(&ask).is_err(), "at no target");
    assert!(turns::parse_answer(&wire::TurnAnswer::default()).is_err(), "to no request");
}

/// The committed code is what the generator makes of the schema.
#[test]
fn verify_generated() {
    let root = env!("CARGO_MANIFEST_DIR");
    let files = protox::compile(["sablepass.proto"], [format!("{root}/proto")]).expect("compiles");
    let out = std::env::temp_dir().join(format!("sablepass-generated-{}", std::process::id()));
    std::fs::create_dir_all(&out).expect("made");
    prost_build::Config::new().bytes(["."]).out_dir(&out).compile_fds(files).expect("generated");
    let fresh = std::fs::read_to_string(out.join("sablepass.wire.rs")).expect("read");
    let committed = std::fs::read_to_string(format!("{root}/src/generated.rs")).expect("read");
    let _ = std::fs::remove_dir_all(&out);
    assert!(fresh == committed, "run: cargo run -p sablepass-wire --example generate");
}

/// The largest group of the users' sites: ranks, and choices by layer and expert.
const RANKS: usize = 72;
const CHOICES: usize = 12 * 144;
/// Bytes a second of the link of an instance there, of 8 Mbit/s.
const LINK: usize = 1_000_000;
/// Tallies that a rank sends to its planner in a second.
const TALLIES: usize = 10;

#[test]
fn verify_tallies_fit_the_planners_link() {
    let tally = |chosen: Vec<u64>| {
        let group = "g0-0".to_owned();
        encode(Body::Tally(wire::Tally { group, epoch: 3, chosen, ..Default::default() })).len()
    };
    // A rank makes about 9 passes a second of 10 requests of 6 tokens, each
    // of which chooses 48 experts of a layer: 18 of one expert in a tally.
    let with_counts = tally(vec![18; CHOICES]);
    let without = tally(Vec::new());
    let asked = demand::MAX_SAMPLED_RANKS - 1;
    let second = TALLIES * (asked * with_counts + (RANKS - 1 - asked) * without);
    assert!(second * 2 < LINK, "{second} bytes a second");
}

#[test]
fn verify_reports_that_count_no_entry_or_too_many_are_refused() {
    for (entries, taken) in
        [(0, false), (1, true), (4_096, true), (4_097, false), (u32::MAX, false)]
    {
        let told = wire::Report { entries, ..wire::Report::default() };
        assert_eq!(convert::report(&told).is_ok(), taken, "{entries} entries");
    }
}

#[test]
fn verify_removals_survive_the_wire() {
    let told = [("i-1", Revision::new(1, 129)), ("i-2", Revision::new(2, 7))];
    let Body::Removals(it) = removals::body(&told) else { panic!("removals") };
    assert_eq!(removals::parse(&it).expect("valid"), told);
    let nameless = wire::Removals { removals: vec![wire::Removal::default()] };
    assert!(removals::parse(&nameless).is_err());
}
