// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Startup that the entry and the agent share.

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

/// Error that ends a daemon.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings could not be used.
    #[snafu(transparent)]
    Settings {
        /// Underlying error.
        source: settings::Error,
    },
    /// The event loop failed.
    #[snafu(transparent)]
    Runtime {
        /// Underlying error.
        source: runtime::Error,
    },
    /// The mesh could not be opened, so that other processes cannot connect.
    #[snafu(transparent)]
    Mesh {
        /// Underlying error.
        source: mesh::Error,
    },
    /// An HTTP server could not be opened.
    #[snafu(transparent)]
    Server {
        /// Underlying error.
        source: server::Error,
    },
    /// The metrics could not be set up.
    #[snafu(transparent)]
    Telemetry {
        /// Underlying error.
        source: telemetry::Error,
    },
}

/// Reads the command line and the settings, and calls `run` unless `--check` is given.
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

/// Resources that every daemon opens before its actors start.
pub struct Base {
    /// Logger of the process.
    pub log: Logger,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Identity of the process.
    pub identity: Identity,
    /// Address on which other processes connect.
    pub peer_addr: SocketAddr,
    listener: TcpListener,
}

impl Base {
    /// Opens the log, the metrics and the listening socket for other processes.
    pub fn open(node: &Node, role: Role) -> Result<Self, Error> {
        let listener = mesh::listen(node.listen)?;
        Ok(Self {
            log: log::open(node, role),
            metrics: Arc::new(Metrics::open()?),
            identity: Identity::open(node.clone(), role),
            peer_addr: listener.local_addr().unwrap_or(node.listen),
            listener,
        })
    }

    /// Spawns the mesh, which sends its events to `events`.
    pub fn spawn_mesh(self, s: &mut Stakker, events: Fwd<mesh::Event>) -> ActorOwn<Mesh> {
        let mesh = actor_new!(s, Mesh, ret_shutdown!(s));
        call!([mesh], Mesh::init(self.identity, self.log, self.metrics, events, self.listener));
        mesh
    }
}
