// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Closed sets of reasons. Each one has its own counter: a new refusal
//! needs one variant here and one label.

use crate::outcome::Ran;

macro_rules! reasons {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident = $code:literal, $label:literal;)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum $name { $($(#[$doc])* $variant = $code,)* }

        impl $name {
            /// Every reason, in the order of its code.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The counter label and the `code` field of an error body.
            pub fn label(self) -> &'static str {
                match self { $(Self::$variant => $label,)* }
            }

            /// The number used on the wire.
            pub fn code(self) -> u32 {
                self as u32
            }

            /// Reads a number from the wire.
            pub fn parse(code: u32) -> Option<Self> {
                Self::ALL.iter().copied().find(|it| it.code() == code)
            }
        }
    };
}

reasons! {
    /// Why a request was refused or failed.
    Refusal {
        /// No or unknown caller key.
        UnknownKey = 1, "unknown-key";
        /// The customer may not use this model or service.
        NotGranted = 2, "not-granted";
        /// No accepted declaration names this model or service.
        UnknownModel = 3, "unknown-model";
        /// The path is not part of the interface.
        UnknownPath = 4, "unknown-path";
        /// The path exists and the method does not fit it.
        WrongMethod = 5, "wrong-method";
        /// The body is not JSON of the expected shape.
        BadBody = 6, "bad-body";
        /// A header has a value that is not allowed.
        BadHeader = 7, "bad-header";
        /// The body is longer than the limit.
        BodyTooLarge = 8, "body-too-large";
        /// The customer is over its share while capacity is short.
        OverShare = 9, "over-share";
        /// Capacity is short and the priority is the lowest.
        Saturated = 10, "saturated";
        /// The customer holds as many requests as it may.
        CustomerLimit = 11, "customer-limit";
        /// The process holds as many exchanges as it may.
        ProcessLimit = 12, "process-limit";
        /// The partner's grant to the customer's partner is used up.
        GrantUsed = 13, "grant-used";
        /// No live target serves the model.
        NoTarget = 14, "no-target";
        /// The target that owns the idempotency key cannot be reached.
        OwnerAway = 15, "owner-away";
        /// The request's deadline passed.
        DeadlinePassed = 16, "deadline-passed";
        /// The retry budget is used up.
        RetryBudget = 17, "retry-budget";
        /// This process is stopping.
        Stopping = 18, "stopping";
        /// The caller went away.
        CallerGone = 19, "caller-gone";
        /// The agent was started anew since the attempt was sent.
        WrongIncarnation = 20, "wrong-incarnation";
        /// The agent has seen this attempt before.
        Duplicate = 21, "duplicate";
        /// The agent was told earlier to refuse this attempt.
        Blocked = 22, "blocked";
        /// The target is leaving.
        Leaving = 23, "leaving";
        /// The agent holds as many requests as it may.
        AgentLimit = 24, "agent-limit";
        /// The agent's table of requests that must not repeat is full.
        OnceTableFull = 25, "once-table-full";
        /// The key was used with another body.
        KeyReused = 26, "key-reused";
        /// The key's first post is still running.
        KeyInFlight = 27, "key-in-flight";
        /// The key may have run before this owner knew of it.
        KeyUncertain = 28, "key-uncertain";
        /// The key's answer was too long to keep.
        KeyAnswerLost = 29, "key-answer-lost";
        /// This agent does not own the key by its declarations.
        NotOwner = 30, "not-owner";
        /// The engine could not be connected to.
        EngineAway = 31, "engine-away";
        /// The engine said it is too busy.
        EngineBusy = 32, "engine-busy";
        /// The engine failed or its answer broke off.
        EngineBroke = 33, "engine-broke";
        /// Contact with the agent was lost.
        ContactLost = 34, "contact-lost";
        /// An answer's bytes were not contiguous.
        AnswerGap = 35, "answer-gap";
        /// The agent restarted and its memory of the attempt is gone.
        AgentRestarted = 36, "agent-restarted";
        /// The answer is longer than the entry keeps.
        AnswerTooLarge = 37, "answer-too-large";
        /// The key was made longer ago than keys are remembered, or in the future.
        KeyExpired = 38, "key-expired";
        /// The target said that it is full and did not run the request.
        TargetFull = 41, "target-full";
        /// Another target has the address now.
        Misdirected = 42, "misdirected";
        /// No route answers this host and path.
        UnknownRoute = 43, "unknown-route";
        /// No configuration is in force yet.
        NoConfiguration = 44, "no-configuration";
        /// The request is not HTTP that can be understood.
        BadRequest = 45, "bad-request";
        /// The request did not arrive in time.
        SlowRequest = 46, "slow-request";
        /// The target's answer is not one to this request.
        WrongAnswer = 47, "wrong-answer";
        /// The group of engines that serves the model is not complete.
        GroupClosed = 48, "group-closed";
        /// With one more stream the group's passes would take too long.
        Crowded = 49, "crowded";
        /// Targets end as they run the request.
        EndsTargets = 50, "ends-targets";
        /// All targets that could serve it asked not to be sent anything for a while.
        TargetsRest = 51, "targets-rest";
        /// The target asked not to be sent anything for a while.
        TargetRests = 52, "target-rests";
        /// All targets that could serve it get as many requests as they take.
        TargetsLimited = 53, "targets-limited";
        /// The target gets as many requests as it takes.
        TargetLimited = 54, "target-limited";
        /// The headers are longer than the limit.
        HeaderTooLarge = 40, "header-too-large";
    }
}

reasons! {
    /// Why an attempt was followed by another one.
    Retry {
        /// The agent refused with proof that nothing ran.
        Refused = 1, "refused";
        /// Contact was lost before any of the answer was delivered.
        ContactLost = 2, "contact-lost";
        /// The engine failed before any of the answer was delivered.
        EngineFailed = 3, "engine-failed";
        /// The engine said it is too busy.
        EngineBusy = 4, "engine-busy";
        /// The answer had a gap before any of it was delivered.
        AnswerGap = 5, "answer-gap";
        /// The target gave no sign of life within the limit.
        Stalled = 6, "stalled";
        /// The target takes so long that it holds up all that others run.
        SlowTarget = 7, "slow-target";
        /// Nothing is heard of the target's machine, nor of the request there.
        QuietTarget = 8, "quiet-target";
        /// The target asked to be left alone before anything of the attempt was sent.
        TargetRests = 9, "target-rests";
    }
}

reasons! {
    /// Why something that arrived was ignored.
    Ignored {
        /// An answer for an attempt that was given up.
        LateAnswer = 1, "late-answer";
        /// A configuration older than the one held.
        OldRevision = 2, "old-revision";
        /// A delta that starts after what is held.
        DeltaGap = 3, "delta-gap";
        /// Two processes at one revision with different content.
        HashMismatch = 4, "hash-mismatch";
        /// A frame that does not decode or lacks a field.
        BadFrame = 5, "bad-frame";
        /// A heartbeat of an incarnation that is known to be leaving.
        LateHeartbeat = 6, "late-heartbeat";
        /// An expert-map message of an older version.
        OldBallot = 7, "old-ballot";
        /// An item of the platform that does not decode.
        BadDocument = 8, "bad-document";
        /// A group with more ranks than a switch takes: it is served without maps.
        LargeGroup = 9, "large-group";
        /// Word of a target that nobody lists, beyond what is kept of such.
        ManyNotices = 10, "many-notices";
        /// A document whose own number is lower than that of the one in force.
        OlderVersion = 11, "older-version";
        /// A line of an instance that left, as a restored service lists it again.
        FormerLine = 12, "former-line";
    }
}

impl Refusal {
    /// The HTTP status that a caller gets.
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
            Self::EngineBroke | Self::AnswerGap | Self::AnswerTooLarge | Self::WrongAnswer => 502,
            Self::Saturated
            | Self::NoConfiguration
            | Self::GroupClosed
            | Self::EndsTargets
            | Self::TargetsRest
            | Self::TargetRests
            | Self::TargetsLimited
            | Self::TargetLimited
            | Self::TargetFull
            | Self::Misdirected
            | Self::ProcessLimit
            | Self::NoTarget
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

    /// What an agent's refusal says of the *key*: most refusals prove that
    /// nothing ran, but some speak of an earlier post of the same key.
    pub fn ran_by_agent(self) -> Ran {
        match self {
            Self::KeyInFlight | Self::KeyAnswerLost => Ran::Ran,
            // A predecessor of the agent may have run what was meant for it.
            Self::KeyUncertain | Self::KeyExpired | Self::Duplicate | Self::WrongIncarnation => {
                Ran::Unknown
            }
            _ => Ran::NotRun,
        }
    }

    /// Whether another target may take what this agent refused.
    pub fn try_elsewhere(self) -> bool {
        matches!(
            self,
            Self::WrongIncarnation
                | Self::Leaving
                | Self::AgentLimit
                | Self::EngineAway
                | Self::Blocked
                | Self::TargetFull
                | Self::TargetRests
                | Self::TargetLimited
                | Self::Misdirected
        )
    }
}
