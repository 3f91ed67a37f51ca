// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A child process of a test or the demo that prints, as its first line, a JSON object with
//! the addresses it listens on.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use serde_json::Value;

/// A running child process. It is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// First line of its output, printed when it was ready.
    pub ready: Value,
    lines: Lines,
}

/// The latest lines of a process's output.
type Lines = Arc<Mutex<VecDeque<String>>>;

/// Lines of output that are kept; older ones are dropped.
const MAX_LOG_LINES: usize = 20_000;

/// Reads the output of a process on a thread of its own, since the process blocks when its
/// pipe is full.
fn spawn_reader(out: impl BufRead + Send + 'static, lines: Lines, echo: bool) {
    std::thread::spawn(move || {
        for line in out.lines().map_while(Result::ok) {
            if echo {
                eprintln!("{line}");
            }
            let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
            lines.push_back(line);
            if lines.len() > MAX_LOG_LINES {
                lines.pop_front();
            }
        }
    });
}

/// Path of a program of the workspace: in the directory of the running program, or in its
/// parent for tests, which cargo puts into `deps`.
pub fn program(name: &str) -> PathBuf {
    let current = std::env::current_exe().expect("the path of the running program is known");
    let mut dir = current.parent().expect("the running program is in a directory").to_owned();
    if dir.ends_with("deps") {
        dir.pop();
    }
    let path = dir.join(name);
    assert!(path.exists(), "{} is missing: build the workspace first", path.display());
    path
}

/// Waits for a program that did not become ready; returns its exit status and error output.
fn describe_exit(child: &mut Child, errors: Option<&mut ChildStderr>) -> String {
    let mut output = String::new();
    // The error output only helps to find the cause; it may be unreadable.
    let _ = errors.map(|it| it.read_to_string(&mut output));
    format!("exit {:?}, error output {output:?}", child.wait())
}

impl Process {
    /// Starts a program of the workspace and waits until it is ready. With `SABLEPASS_TEST_LOGS`
    /// set, its output is repeated on the standard error.
    pub fn spawn(name: &str, args: &[&str]) -> Self {
        let hidden = std::env::var_os("SABLEPASS_TEST_LOGS").is_none();
        let errors = if hidden { Stdio::piped() } else { Stdio::inherit() };
        let mut child = Command::new(program(name))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .expect("the program can be started");
        let out = child.stdout.take().expect("standard output is a pipe");
        let mut out = BufReader::new(out);
        let mut line = String::new();
        out.read_line(&mut line).expect("standard output can be read");
        let mut errors = child.stderr.take();
        let ready = serde_json::from_str(&line).unwrap_or_else(|e| {
            let exit = describe_exit(&mut child, errors.as_mut());
            panic!("{name} {args:?} did not become ready: {e}: first line {line:?}, {exit}")
        });
        // Later error output is discarded, since the process blocks when its pipe is full.
        if let Some(mut errors) = errors {
            std::thread::spawn(move || std::io::copy(&mut errors, &mut std::io::sink()));
        }
        let lines = Arc::default();
        spawn_reader(out, Arc::clone(&lines), !hidden);
        Self { child, ready, lines }
    }

    /// The latest lines of its output that are JSON, without the first one.
    pub fn log(&self) -> Vec<Value> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().filter_map(|it| serde_json::from_str(it).ok()).collect()
    }

    /// The address that the process announced under `name`.
    pub fn addr(&self, name: &str) -> String {
        self.ready[name]
            .as_str()
            .unwrap_or_else(|| {
                panic!("no address {name:?} in the first line of output: {}", self.ready)
            })
            .to_owned()
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        // The process may have ended already.
        let _ = signal::kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes the suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn stop(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Has the process read its settings again, with SIGHUP.
    pub fn reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Waits for the end of the process; returns whether it exited successfully.
    pub fn wait(&mut self) -> bool {
        self.child.wait().is_ok_and(|it| it.success())
    }

    /// Whether the process has ended.
    pub fn ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}
