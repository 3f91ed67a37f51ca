// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The event loop of a process: one `stakker` instance, one `mio` poll, and signals.

use std::time::{Duration, Instant};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::{ResultExt, Snafu};
use stakker::sync::Channel;
use stakker::{Fwd, Stakker};
use stakker_mio::MioPoll;
use stakker_mio::mio::{Events, Poll};

/// Maximum wait in the poll when no timer is due.
const MAX_POLL_WAIT: Duration = Duration::from_secs(60);
/// Maximum number of events per poll.
const MAX_EVENTS: usize = 1024;
/// Priority of wake-ups from other threads, equal to that of all other events.
const PRIORITY: u32 = 10;

/// Error that ends the loop.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The poll failed.
    #[snafu(display("event loop: {source}"))]
    Poll {
        /// Underlying error.
        source: std::io::Error,
    },
    /// The signal handlers could not be installed.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// Underlying error.
        source: std::io::Error,
    },
}

/// A signal to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Request to shut down.
    Stop,
    /// Request to reload the settings.
    Reload,
}

/// Runs the event loop until an actor shuts it down. `build` spawns the actors; its return value is
/// kept until the end.
pub fn run<T, E>(build: impl FnOnce(&mut Stakker) -> Result<T, E>) -> Result<(), E>
where
    E: From<Error>,
{
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let poll = Poll::new().context(PollSnafu)?;
    let poll =
        MioPoll::new(s, poll, Events::with_capacity(MAX_EVENTS), PRIORITY).context(PollSnafu)?;
    s.anymap_set(poll.clone());
    let kept = build(s)?;
    let mut idle = s.run(Instant::now(), false);
    let mut pending = false;
    while s.not_shutdown() {
        let wait = s.next_wait_max(Instant::now(), MAX_POLL_WAIT, idle || pending);
        let (activity, more) = poll.poll(wait).context(PollSnafu)?;
        pending = more;
        idle = s.run(Instant::now(), !activity);
    }
    drop(kept);
    Ok(())
}

/// Forwards signals to an actor: SIGTERM and SIGINT as [`Signal::Stop`], SIGHUP as
/// [`Signal::Reload`].
pub fn signals(s: &mut Stakker, to: Fwd<Signal>) -> Result<stakker::sync::ChannelGuard, Error> {
    let (channel, guard) = Channel::new(s, to);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).context(SignalsSnafu)?;
    std::thread::spawn(move || {
        for it in signals.forever() {
            let signal = if it == SIGHUP { Signal::Reload } else { Signal::Stop };
            if !channel.send(signal) {
                break;
            }
        }
    });
    Ok(guard)
}
