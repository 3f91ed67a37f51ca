// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Tests of frames and conversions, and that the committed code matches the schema.

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
    Codec::open().encode(body, &mut out).expect("the message is encoded");
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
fn verify_frames_are_read_from_any_split_of_the_stream() {
    fn property(data: Vec<u8>, sizes: Vec<u8>) -> bool {
        let bodies =
            [chunk(data), Body::Pull(wire::Pull { after: 9, what: 1, parts: vec![], era: 2 })];
        let bytes: Vec<u8> = bodies.iter().cloned().flat_map(encode).collect();
        let mut codec = Codec::open();
        let mut read = Vec::new();
        let mut rest = &bytes[..];
        let mut sizes = sizes.into_iter();
        while !rest.is_empty() {
            let size = sizes.next().map_or(rest.len(), usize::from).clamp(1, rest.len());
            codec.feed(&rest[..size]);
            rest = &rest[size..];
            while let Some((body, _)) = codec.next_body().expect("a valid frame") {
                read.push(body);
            }
        }
        read == bodies
    }
    QuickCheck::new().quickcheck(property as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn verify_invalid_bytes_are_errors() {
    fn never_panics(bytes: Vec<u8>) -> bool {
        let mut codec = Codec::open();
        codec.feed(&bytes);
        // Any input yields frames, an error or a wait for more bytes, but no panic.
        while let Ok(Some(_)) = codec.next_body() {}
        true
    }
    QuickCheck::new().tests(2_000).quickcheck(never_panics as fn(Vec<u8>) -> bool);
    let mut codec = Codec::open();
    codec.feed(&[0xff; 8]);
    assert!(matches!(codec.next_body(), Err(frame::Error::Length { .. })));
    let mut codec = Codec::open();
    codec.feed(&[0, 0, 0, 0]);
    assert!(matches!(codec.next_body(), Err(frame::Error::Empty)));
}

#[test]
fn verify_missing_and_invalid_fields_are_errors() {
    let short_id = wire::Done { request: vec![1, 2].into(), attempt: 1, length: 0 };
    assert!(convert::answer(Body::Done(short_id)).is_err());
    let no_attempt = wire::Done { request: vec![0; 16].into(), attempt: 0, length: 0 };
    assert!(convert::answer(Body::Done(no_attempt)).is_err());
    let unknown_reason = wire::Refused { request: vec![0; 16].into(), attempt: 1, reason: 9_999 };
    assert!(convert::answer(Body::Refused(unknown_reason)).is_err());
    assert!(convert::parse_delta(wire::Delta { what: 7, ..wire::Delta::default() }).is_err());
}

#[test]
fn verify_answers_are_read_as_sent() {
    let read =
        |body| convert::answer(body).expect("a valid message").expect("a message about an attempt");
    for reason in Refusal::ALL {
        let (attempt, event) = read(convert::refused(ATTEMPT, *reason));
        assert!(attempt == ATTEMPT && matches!(event, Event::Refused(it) if it == *reason));
    }
    let failure = Failure { reason: Refusal::EngineBroke, ran: Ran::Unknown };
    let (_, event) = read(convert::failed(ATTEMPT, failure));
    assert!(matches!(event, Event::Failed(it) if it == failure));
    for (state, verdict) in [
        (AttemptState::Blocked, Verdict::Blocked),
        (AttemptState::Running, Verdict::Running),
        (AttemptState::Finished, Verdict::Finished),
    ] {
        let (_, event) = read(convert::verdict(ATTEMPT, state));
        assert!(matches!(event, Event::Verdict(it) if it == verdict));
    }
}

#[test]
fn verify_deltas_are_read_as_sent() {
    let document = Document {
        key: "p/a".to_owned(),
        newest: Version { revision: Revision::new(3, 4), body: "x".to_owned() },
        removed: false,
        accepted: Some(Version { revision: Revision::new(1, 9), body: "y".to_owned() }),
    };
    let parts = Some(Coverage::Parts(Mask(1 << 127 | 5), 77));
    let cases = [
        (StoreKind::Declarations, None),
        (StoreKind::Declarations, Some(Coverage::All(Revision::new(3, 3)))),
        (StoreKind::Instances, parts),
    ];
    for (kind, whole) in cases {
        let documents = vec![document.clone()];
        let delta =
            Delta { after: Revision::new(2, 8), revision: Revision::new(3, 5), documents, whole };
        let Body::Delta(sent) = convert::delta(kind, &delta) else {
            panic!("the body is a delta");
        };
        assert_eq!(convert::parse_delta(sent).expect("a valid delta"), (kind, delta));
    }
}

#[test]
fn verify_pulls_are_read_as_sent() {
    let mut parts = Parts::default();
    parts.toggle("i-1", "a line");
    for (kind, parts) in [(StoreKind::Declarations, None), (StoreKind::Instances, Some(parts))] {
        let pull = Pull { after: Revision::new(4, 3), parts };
        let read = convert::parse_pull(&convert::pull(kind, &pull)).expect("a valid pull");
        assert_eq!(read, (kind, pull));
    }
}

/// A list of hashes or a mask of the wrong length is refused, and so are parts of declarations,
/// which are only sent as a whole.
#[test]
fn verify_invalid_parts_are_refused() {
    for length in [1, 127, 129, 10_000] {
        let pull = wire::Pull { after: 1, what: 1, parts: vec![1; length], era: 1 };
        assert!(convert::parse_pull(&pull).is_err(), "{length} hashes");
    }
    let declarations = wire::Pull { after: 1, what: 0, parts: vec![1; 128], era: 1 };
    assert!(convert::parse_pull(&declarations).is_err(), "declarations are not compared by parts");
    for length in [1, 15, 17] {
        let parts = vec![1; length];
        let delta = wire::Delta { what: 1, parts: parts.into(), ..wire::Delta::default() };
        assert!(convert::parse_delta(delta).is_err(), "a mask of {length} bytes");
    }
    let parts = vec![1; 16];
    let declarations = wire::Delta { what: 0, parts: parts.into(), ..wire::Delta::default() };
    assert!(convert::parse_delta(declarations).is_err(), "declarations are not compared by parts");
    let both =
        wire::Delta { what: 1, whole: true, parts: vec![1; 16].into(), ..wire::Delta::default() };
    assert!(convert::parse_delta(both).is_err(), "a delta is either complete or of parts");
}

#[test]
fn verify_limits_and_turns_are_read_as_sent() {
    let incarnation = TargetIncarnation { name: "i-1", started_at: 7 };
    let sent = notices::Announcements {
        leaving: vec![incarnation],
        limits: vec![
            (incarnation, Rate::new(0.25)),
            (TargetIncarnation { name: "i-2", started_at: 0 }, None),
        ],
        cold: vec![(incarnation, 2_900)],
    };
    let Body::Notices(message) = sent.body() else { panic!("the body is notices") };
    assert_eq!(notices::parse(&message).expect("valid notices"), sent);
    let request = RequestId(9);
    let ask = turns::Ask { target: incarnation, request, max_wait: 120 };
    let Body::TurnAsk(message) = turns::ask(ask) else { panic!("the body is a turn ask") };
    assert_eq!(turns::parse_ask(&message).expect("a valid turn ask"), ask);
    for turn in [Turn::In(0), Turn::In(90), Turn::TooLate(4_000), Turn::Never] {
        let Body::TurnAnswer(message) = turns::answer(turns::Answer { request, turn }) else {
            panic!("the body is a turn answer")
        };
        assert_eq!(turns::parse_answer(&message).expect("a valid turn answer").turn, turn);
    }
}

#[test]
fn verify_invalid_limits_and_turns_are_refused() {
    let is_valid = |target: &str, rate| {
        let limit = wire::Limit { target: target.to_owned(), born: 1, rate };
        notices::parse(&wire::Notices { limits: vec![limit], ..Default::default() }).is_ok()
    };
    assert!(is_valid("i-1", Some(2.0)) && is_valid("i-1", None));
    assert!(!is_valid("", Some(2.0)), "a limit needs a target");
    let cold = wire::Cold { target: String::new(), born: 1, remaining: 2 };
    let message = wire::Notices { cold: vec![cold], ..Default::default() };
    assert!(notices::parse(&message).is_err(), "a cold time needs a target");
    for rate in [-1.0, f64::NAN, f64::INFINITY] {
        assert!(!is_valid("i-1", Some(rate)), "{rate}");
        let report = wire::Report { entries: 1, limit: Some(rate), ..Default::default() };
        assert!(convert::report(&report).is_err(), "{rate}");
    }
    let target = "i-1".to_owned();
    let ask = wire::TurnAsk { target, request: vec![1; 3].into(), ..Default::default() };
    assert!(turns::parse_ask(&ask).is_err(), "the request id is too short");
    let ask = wire::TurnAsk { request: vec![1; 16].into(), ..Default::default() };
    assert!(turns::parse_ask(&ask).is_err(), "a turn ask needs a target");
    assert!(
        turns::parse_answer(&wire::TurnAnswer::default()).is_err(),
        "a turn answer needs a request id"
    );
}

/// The committed code equals the generator's output for the schema.
#[test]
fn verify_generated() {
    let root = env!("CARGO_MANIFEST_DIR");
    let files = protox::compile(["sablepass.proto"], [format!("{root}/proto")])
        .expect("the schema compiles");
    let out = std::env::temp_dir().join(format!("sablepass-generated-{}", std::process::id()));
    std::fs::create_dir_all(&out).expect("the output directory is created");
    prost_build::Config::new()
        .bytes(["."])
        .out_dir(&out)
        .compile_fds(files)
        .expect("the code is generated");
    let generated = std::fs::read_to_string(out.join("sablepass.wire.rs"))
        .expect("the generated code is readable");
    let committed = std::fs::read_to_string(format!("{root}/src/generated.rs"))
        .expect("the committed code is readable");
    let _ = std::fs::remove_dir_all(&out);
    assert!(
        generated == committed,
        "src/generated.rs is out of date; run: cargo run -p sablepass-wire --example generate"
    );
}

/// Ranks of the largest group at the users' sites.
const RANKS: usize = 72;
/// Counts in a tally of that group: 12 layers of 144 experts.
const CHOICES: usize = 12 * 144;
/// Bandwidth of an instance's link there: 8 Mbit/s.
const LINK_BYTES_PER_SECOND: usize = 1_000_000;
/// Tallies that a rank sends to its planner per second.
const TALLIES_PER_SECOND: usize = 10;

/// The tallies of the largest group need less than half of the bandwidth of the planner's link.
#[test]
fn verify_tallies_fit_the_planners_link() {
    let tally = |chosen: Vec<u64>| {
        let group = "g0-0".to_owned();
        encode(Body::Tally(wire::Tally { group, epoch: 3, chosen, ..Default::default() })).len()
    };
    // A rank runs about 9 passes per second with 10 requests of 6 tokens, and each token chooses
    // 48 experts of a layer. Each of the 144 experts so has a count of 18 in a tally.
    let with_counts = tally(vec![18; CHOICES]);
    let without_counts = tally(Vec::new());
    let sampled = demand::MAX_SAMPLED_RANKS - 1;
    let bytes_per_second =
        TALLIES_PER_SECOND * (sampled * with_counts + (RANKS - 1 - sampled) * without_counts);
    assert!(bytes_per_second * 2 < LINK_BYTES_PER_SECOND, "{bytes_per_second} bytes per second");
}

#[test]
fn verify_reports_with_an_invalid_number_of_entries_are_refused() {
    for (entries, valid) in
        [(0, false), (1, true), (4_096, true), (4_097, false), (u32::MAX, false)]
    {
        let report = wire::Report { entries, ..wire::Report::default() };
        assert_eq!(convert::report(&report).is_ok(), valid, "{entries} entries");
    }
}

#[test]
fn verify_removals_are_read_as_sent() {
    let sent = [("i-1", Revision::new(1, 129)), ("i-2", Revision::new(2, 7))];
    let Body::Removals(message) = removals::body(&sent) else { panic!("the body is removals") };
    assert_eq!(removals::parse(&message).expect("valid removals"), sent);
    let without_key = wire::Removals { removals: vec![wire::Removal::default()] };
    assert!(removals::parse(&without_key).is_err());
}
