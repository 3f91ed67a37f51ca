// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A child process that says on its first line of output where it listens.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use serde_json::Value;

/// A started process. It is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// What it said when it was ready.
    pub ready: Value,
    lines: Lines,
}

/// Lines of a process's log.
type Lines = Arc<Mutex<VecDeque<String>>>;

/// Lines kept of a log.
const KEEP: usize = 20_000;

/// Reads a log, so that its writer is never held up.
fn spawn_reader(out: impl BufRead + Send + 'static, lines: Lines, echo: bool) {
    std::thread::spawn(move || {
        for line in out.lines().map_while(Result::ok) {
            if echo {
                eprintln!("{line}");
            }
            let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
            lines.push_back(line);
            if lines.len() > KEEP {
                lines.pop_front();
            }
        }
    });
}

/// Where cargo put the programs: beside the running one, or one level up for tests.
pub fn program(name: &str) -> PathBuf {
    let me = std::env::current_exe().expect("the running program has a path");
    let mut dir = me.parent().expect("it is in a directory").to_owned();
    if dir.ends_with("deps") {
        dir.pop();
    }
    let path = dir.join(name);
    assert!(path.exists(), "{} is missing: build the workspace first", path.display());
    path
}

/// How a program ended that did not become ready, and what it said of that.
fn told(child: &mut Child, errors: Option<&mut ChildStderr>) -> String {
    let mut said = String::new();
    // Both only help to find out why.
    let _ = errors.map(|it| it.read_to_string(&mut said));
    format!("{:?}, {said:?}", child.wait())
}

impl Process {
    /// Starts a program and waits until it is ready.
    pub fn spawn(name: &str, args: &[&str]) -> Self {
        let quiet = std::env::var_os("SABLEPASS_TEST_LOGS").is_none();
        let errors = if quiet { Stdio::piped() } else { Stdio::inherit() };
        let mut child = Command::new(program(name))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .expect("the program starts");
        let out = child.stdout.take().expect("its output is a pipe");
        let mut out = BufReader::new(out);
        let mut line = String::new();
        out.read_line(&mut line).expect("its output can be read");
        let mut errors = child.stderr.take();
        let ready = serde_json::from_str(&line).unwrap_or_else(|e| {
            let said = told(&mut child, errors.as_mut());
            panic!("{name} {args:?} did not become ready: {e}: {line:?}, {said}")
        });
        // What it says later is of no use; it must not wait until that is read.
        if let Some(mut it) = errors {
            std::thread::spawn(move || std::io::copy(&mut it, &mut std::io::sink()));
        }
        let lines = Arc::default();
        spawn_reader(out, Arc::clone(&lines), !quiet);
        Self { child, ready, lines }
    }

    /// The lines of its log so far.
    pub fn log(&self) -> Vec<Value> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().filter_map(|it| serde_json::from_str(it).ok()).collect()
    }

    /// An address it listens on.
    pub fn addr(&self, what: &str) -> String {
        self.ready[what]
            .as_str()
            .unwrap_or_else(|| panic!("no {what} in {}", self.ready))
            .to_owned()
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, it: Signal) {
        // The process may have ended already.
        let _ = signal::kill(Pid::from_raw(self.child.id() as i32), it);
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Pauses it.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Wakes it.
    pub fn wake(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks it to stop.
    pub fn stop(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Tells it that its settings have changed.
    pub fn reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Waits for its end; whether it ended well.
    pub fn wait(&mut self) -> bool {
        self.child.wait().is_ok_and(|it| it.success())
    }

    /// Whether it has ended.
    pub fn ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.wake();
        self.kill();
    }
}
