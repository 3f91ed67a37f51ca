// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Reasons for refusals, retries and ignored messages, with their wire codes and labels. Each
//! reason has a counter of its own. A new reason is one line in a `reasons!`
//! block; a refusal also needs an HTTP status.

use crate::outcome::Ran;

macro_rules! reasons {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident = $code:literal, $label:literal;)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum $name { $($(#[$doc])* $variant = $code,)* }

        impl $name {
            /// All reasons, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the label of the counter, also used as the `code` of an error body.
            pub fn label(self) -> &'static str {
                match self { $(Self::$variant => $label,)* }
            }

            /// Returns the number used on the wire.
            pub fn code(self) -> u32 {
                self as u32
            }

            /// Decodes the number used on the wire. Returns `None` for an unknown number.
            pub fn parse(code: u32) -> Option<Self> {
                Self::ALL.iter().copied().find(|it| it.code() == code)
            }
        }
    };
}

reasons! {
    /// Why a request was refused or failed.
    Refusal {
        /// The request has no API key, or an unknown one.
        UnknownKey = 1, "unknown-key";
        /// The customer is not permitted to use this model or service.
        NotGranted = 2, "not-granted";
        /// No accepted declaration contains this model or service.
        UnknownModel = 3, "unknown-model";
        /// The path is not part of the API.
        UnknownPath = 4, "unknown-path";
        /// The path doesn't support the method.
        WrongMethod = 5, "wrong-method";
        /// The body is not JSON of the expected structure.
        BadBody = 6, "bad-body";
        /// A header has an invalid value.
        BadHeader = 7, "bad-header";
        /// The body exceeds the size limit.
        BodyTooLarge = 8, "body-too-large";
        /// The customer exceeds its share while capacity is short.
        OverShare = 9, "over-share";
        /// The load exceeds the threshold for the request's priority.
        Saturated = 10, "saturated";
        /// The customer has reached its maximum of concurrent requests.
        CustomerLimit = 11, "customer-limit";
        /// The process has reached its maximum of concurrent exchanges.
        ProcessLimit = 12, "process-limit";
        /// The capacity that the model's owner granted to the customer's partner is used up.
        GrantUsed = 13, "grant-used";
        /// No target that is alive serves the model.
        NoTarget = 14, "no-target";
        /// The target that owns the idempotency key is unreachable.
        OwnerAway = 15, "owner-away";
        /// The deadline of the request has passed.
        DeadlinePassed = 16, "deadline-passed";
        /// The retry budget is used up.
        RetryBudget = 17, "retry-budget";
        /// This process is shutting down.
        Stopping = 18, "stopping";
        /// The caller closed its connection.
        CallerGone = 19, "caller-gone";
        /// The agent has restarted since the attempt was sent.
        WrongIncarnation = 20, "wrong-incarnation";
        /// The agent has received this attempt before.
        Duplicate = 21, "duplicate";
        /// The agent had blocked this attempt in answer to a probe.
        Blocked = 22, "blocked";
        /// The target is draining.
        Leaving = 23, "leaving";
        /// The agent has reached its maximum of concurrent requests.
        AgentLimit = 24, "agent-limit";
        /// The agent's at-most-once table is full.
        OnceTableFull = 25, "once-table-full";
        /// The idempotency key was used with another request body before.
        KeyReused = 26, "key-reused";
        /// The first request with this idempotency key is still running.
        KeyInFlight = 27, "key-in-flight";
        /// A former owner of the idempotency key may have run it.
        KeyUncertain = 28, "key-uncertain";
        /// The request with this idempotency key has run, but its answer was not recorded: it is
        /// incomplete or exceeds a size limit.
        KeyAnswerLost = 29, "key-answer-lost";
        /// This agent does not own the idempotency key by the declarations that it has.
        NotOwner = 30, "not-owner";
        /// The connection to the engine failed.
        EngineAway = 31, "engine-away";
        /// The engine answered that it is overloaded.
        EngineBusy = 32, "engine-busy";
        /// The engine failed, or its answer was interrupted.
        EngineBroke = 33, "engine-broke";
        /// Contact with the agent was lost.
        ContactLost = 34, "contact-lost";
        /// Bytes of the answer are missing.
        AnswerGap = 35, "answer-gap";
        /// The agent restarted and no longer has any record of the attempt.
        AgentRestarted = 36, "agent-restarted";
        /// The answer exceeds the entry's buffer limit.
        AnswerTooLarge = 37, "answer-too-large";
        /// The idempotency key was created longer ago than keys are retained, or in the future.
        KeyExpired = 38, "key-expired";
        /// The target answered that it is full and did not run the request.
        TargetFull = 41, "target-full";
        /// Another target now uses the address.
        Misdirected = 42, "misdirected";
        /// No route matches the host and path.
        UnknownRoute = 43, "unknown-route";
        /// No configuration is in force yet.
        NoConfiguration = 44, "no-configuration";
        /// The request is not valid HTTP.
        BadRequest = 45, "bad-request";
        /// The request did not arrive within its timeout.
        SlowRequest = 46, "slow-request";
        /// The target's answer does not belong to this request.
        WrongAnswer = 47, "wrong-answer";
        /// The group of engines that serves the model is incomplete.
        GroupClosed = 48, "group-closed";
        /// One more stream would make the forward passes of the group too slow.
        Crowded = 49, "crowded";
        /// The request is blocked as a suspect: targets terminated while they ran it.
        EndsTargets = 50, "ends-targets";
        /// All targets that could serve the request have asked for a pause.
        TargetsRest = 51, "targets-rest";
        /// The target has asked for a pause.
        TargetRests = 52, "target-rests";
        /// All targets that could serve the request have reached their request limits.
        TargetsLimited = 53, "targets-limited";
        /// The target has reached its request limit.
        TargetLimited = 54, "target-limited";
        /// No target that may run the request is in the regions to which it may be sent.
        OutsideRegions = 56, "outside-regions";
        /// All targets that could serve the request are in evacuated data halls.
        Evacuated = 60, "evacuated";
        /// The target is in a data hall that its partner evacuates.
        HallEvacuated = 61, "hall-evacuated";
        /// The bodies of requests in progress take all memory that this process may use for them.
        BodiesFull = 62, "bodies-full";
        /// The engine's process ended while it ran the request.
        EngineEnded = 63, "engine-ended";
        /// A name that the request has to carry to a target, such as its customer's, fits no header.
        Unforwardable = 64, "unforwardable";
        /// There is no memory for the answer: other callers have not read theirs.
        AnswersFull = 65, "answers-full";
        /// The headers exceed the size limit.
        HeaderTooLarge = 40, "header-too-large";
    }
}

reasons! {
    /// Why a request was sent again.
    Retry {
        /// The agent refused the attempt. An unsafe request is retried only if the refusal proves
        /// that the attempt did not run.
        Refused = 1, "refused";
        /// Contact with the agent was lost, and no part of an answer was delivered that can't be
        /// resumed.
        ContactLost = 2, "contact-lost";
        /// The engine failed, and no part of an answer was delivered that can't be resumed.
        EngineFailed = 3, "engine-failed";
        /// The engine answered that it is overloaded.
        EngineBusy = 4, "engine-busy";
        /// Bytes of an answer were missing, and no part was delivered that can't be resumed.
        AnswerGap = 5, "answer-gap";
        /// The target's agent sent nothing within the stall timeout.
        Stalled = 6, "stalled";
        /// The target is so slow that it delays all requests of its group.
        SlowTarget = 7, "slow-target";
        /// The target's machine is unresponsive, and no part of the answer arrived for a while.
        QuietTarget = 8, "quiet-target";
        /// The target asked for a pause, announced that it leaves, or was evacuated before any part
        /// of the attempt was sent.
        TargetRests = 9, "target-rests";
        /// The answer stated no length and ended, and its target did not prove in time that it is
        /// complete.
        UnconfirmedEnd = 10, "unconfirmed-end";
    }
}

reasons! {
    /// Why a received message or item was ignored.
    Ignored {
        /// An answer to an attempt that was abandoned.
        LateAnswer = 1, "late-answer";
        /// A configuration older than the current one.
        OldRevision = 2, "old-revision";
        /// A delta that starts at a later revision than the stored one.
        DeltaGap = 3, "delta-gap";
        /// A peer's configuration of the same revision has different content.
        HashMismatch = 4, "hash-mismatch";
        /// A frame that can't be decoded or lacks a field.
        BadFrame = 5, "bad-frame";
        /// A heartbeat that contradicts the announcement that its incarnation is draining.
        LateHeartbeat = 6, "late-heartbeat";
        /// An expert-map message of an older version.
        OldBallot = 7, "old-ballot";
        /// An item of the platform that can't be decoded.
        BadDocument = 8, "bad-document";
        /// A group with more ranks than a switch supports; it is served without expert maps.
        LargeGroup = 9, "large-group";
        /// A notice about an unlisted target, beyond the number of such notices that are kept.
        ManyNotices = 10, "many-notices";
        /// A document with a lower version number than the current one.
        OlderVersion = 11, "older-version";
        /// A line of an instance that has left, listed again by a restored service.
        FormerLine = 12, "former-line";
    }
}

impl Refusal {
    /// Returns the HTTP status of the answer to the caller.
    pub fn status(self) -> u16 {
        match self {
            Self::UnknownKey => 401,
            Self::NotGranted => 403,
            Self::UnknownModel | Self::UnknownPath | Self::UnknownRoute => 404,
            Self::WrongMethod => 405,
            Self::BadBody | Self::BadHeader | Self::BadRequest => 400,
            Self::SlowRequest => 408,
            Self::BodyTooLarge => 413,
            Self::HeaderTooLarge => 431,
            Self::OverShare | Self::CustomerLimit | Self::GrantUsed | Self::Crowded => 429,
            Self::KeyReused => 422,
            Self::KeyInFlight | Self::KeyAnswerLost | Self::KeyExpired => 409,
            Self::DeadlinePassed => 504,
            Self::EngineBroke
            | Self::EngineEnded
            | Self::AnswerGap
            | Self::AnswerTooLarge
            | Self::AnswersFull
            | Self::WrongAnswer => 502,
            Self::Saturated
            | Self::NoConfiguration
            | Self::GroupClosed
            | Self::EndsTargets
            | Self::TargetsRest
            | Self::TargetRests
            | Self::TargetsLimited
            | Self::TargetLimited
            | Self::OutsideRegions
            | Self::TargetFull
            | Self::Evacuated
            | Self::HallEvacuated
            | Self::Misdirected
            | Self::ProcessLimit
            | Self::BodiesFull
            | Self::NoTarget
            | Self::Unforwardable
            | Self::OwnerAway
            | Self::RetryBudget
            | Self::Stopping
            | Self::CallerGone
            | Self::WrongIncarnation
            | Self::Duplicate
            | Self::Blocked
            | Self::Leaving
            | Self::AgentLimit
            | Self::OnceTableFull
            | Self::KeyUncertain
            | Self::NotOwner
            | Self::EngineAway
            | Self::EngineBusy
            | Self::ContactLost
            | Self::AgentRestarted => 503,
        }
    }

    /// Returns whether a request refused by an agent ran. Most refusals prove that it did not run,
    /// but some report that an earlier request with the same idempotency key did or may have.
    pub fn ran_after_agent_refusal(self) -> Ran {
        match self {
            Self::KeyInFlight | Self::KeyAnswerLost => Ran::Ran,
            // A previous incarnation of the agent may have run the attempt.
            Self::KeyUncertain | Self::KeyExpired | Self::Duplicate | Self::WrongIncarnation => {
                Ran::Unknown
            }
            _ => Ran::NotRun,
        }
    }

    /// Returns whether another target may accept a request that this agent refused.
    pub fn may_retry_elsewhere(self) -> bool {
        matches!(
            self,
            Self::WrongIncarnation
                | Self::Leaving
                | Self::AgentLimit
                | Self::BodiesFull
                | Self::EngineAway
                | Self::Blocked
                | Self::TargetFull
                | Self::TargetRests
                | Self::TargetLimited
                | Self::HallEvacuated
                | Self::Misdirected
        )
    }
}
