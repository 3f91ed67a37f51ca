// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What entry and agent do alike when they start.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use slog::Logger;
use snafu::Snafu;
use stakker::{ActorOwn, Fwd, Stakker, actor_new, call, ret_shutdown};
use stakker_mio::mio::net::TcpListener;

use crate::instance::Role;
use crate::mesh::{self, Identity, Mesh};
use crate::settings::{self, Node, Settings};
use crate::telemetry::{self, Metrics};
use crate::{cli, log, runtime, server};

/// Why a daemon ended before it was told to.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Its settings cannot be used.
    #[snafu(transparent)]
    Settings {
        /// Why.
        source: settings::Error,
    },
    /// Its event loop failed.
    #[snafu(transparent)]
    Runtime {
        /// Why.
        source: runtime::Error,
    },
    /// Other processes cannot connect to it.
    #[snafu(transparent)]
    Mesh {
        /// Why.
        source: mesh::Error,
    },
    /// One of its HTTP servers cannot be opened.
    #[snafu(transparent)]
    Server {
        /// Why.
        source: server::Error,
    },
    /// Its metrics cannot be set up.
    #[snafu(transparent)]
    Telemetry {
        /// Why.
        source: telemetry::Error,
    },
}

/// Reads the command line and settings, and runs, unless only a check is asked for.
pub fn main<T: Settings>(
    name: &'static str,
    about: &'static str,
    run: impl FnOnce(T, PathBuf) -> Result<(), Error>,
) -> ExitCode {
    cli::exit(name, start(name, about, run))
}

fn start<T: Settings>(
    name: &'static str,
    about: &'static str,
    run: impl FnOnce(T, PathBuf) -> Result<(), Error>,
) -> Result<(), Error> {
    let matches = cli::daemon(name, about).get_matches();
    let file = cli::config(&matches);
    let settings: T = settings::open(&file)?;
    if cli::check_only(&matches) {
        println!("settings are good");
        return Ok(());
    }
    run(settings, file)
}

/// What every daemon has before its actors start.
pub struct Base {
    /// Log.
    pub log: Logger,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Who it is.
    pub me: Identity,
    /// Where other processes connect to.
    pub peers: SocketAddr,
    listener: TcpListener,
}

impl Base {
    /// Opens log, metrics and the listener for other processes.
    pub fn open(node: &Node, role: Role) -> Result<Self, Error> {
        let listener = mesh::listen(node.listen)?;
        Ok(Self {
            log: log::open(node, role),
            metrics: Arc::new(Metrics::open()?),
            me: Identity::open(node.clone(), role),
            peers: listener.local_addr().unwrap_or(node.listen),
            listener,
        })
    }

    /// Spawns the mesh, whose events go to the daemon's main actor.
    pub fn spawn_mesh(self, s: &mut Stakker, events: Fwd<mesh::Event>) -> ActorOwn<Mesh> {
        let mesh = actor_new!(s, Mesh, ret_shutdown!(s));
        call!([mesh], Mesh::init(self.me, self.log, self.metrics, events, self.listener));
        mesh
    }
}
