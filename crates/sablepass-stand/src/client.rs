// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! HTTP client of tests and the demo: sends requests and records the responses. It also reads
//! status pages and metrics.

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Timeout of connecting, of each read, and of [`wait_for`].
const TIMEOUT: Duration = Duration::from_secs(60);

/// A response, or its absence.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// HTTP status; 0 if there was no response or it broke off.
    pub status: u16,
    /// Request id, from the `x-request-id` header.
    pub id: String,
    /// Whether the request ran, from the `x-sablepass-ran` header.
    pub ran: String,
    /// The `retry-after` header: seconds until a retry, as text.
    pub retry_after: String,
    /// Whether the response was recorded by an earlier request with the same idempotency key.
    pub replayed: bool,
    /// Names of all headers, in lower case.
    pub fields: Vec<String>,
    /// Body, as far as it was received.
    pub body: String,
}

impl Answer {
    /// The body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// The text of a completion, whether streamed or not.
    pub fn text(&self) -> String {
        if !self.body.starts_with("data:") && !self.body.starts_with(':') {
            let json = self.json();
            let choice = &json["choices"][0];
            let text = choice["message"]["content"].as_str().or(choice["text"].as_str());
            return text.unwrap_or("").to_owned();
        }
        let events = self.body.lines().filter_map(|it| it.strip_prefix("data: "));
        let texts = events.filter_map(|it| serde_json::from_str::<Value>(it).ok()).map(|it| {
            let choice = &it["choices"][0];
            let text = choice["delta"]["content"].as_str().or(choice["text"].as_str());
            text.unwrap_or("").to_owned()
        });
        texts.collect()
    }

    /// Whether the body has the end marker of a stream.
    pub fn done(&self) -> bool {
        self.body.contains("data: [DONE]")
    }

    /// The error code of a failure, whether streamed or not; empty if there is none.
    pub fn reason(&self) -> String {
        let events = self.body.lines().filter_map(|it| it.strip_prefix("data: "));
        let last = events.filter_map(|it| serde_json::from_str::<Value>(it).ok()).next_back();
        let json = last.unwrap_or_else(|| self.json());
        json["error"]["code"].as_str().unwrap_or("").to_owned()
    }
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
}

impl Ask {
    /// A chat completion for which the stand-in engine generates `tokens` tokens from `word`.
    pub fn chat(key: &str, model: &str, word: &str, tokens: u64, stream: bool) -> Self {
        let body = json!({
            "model": model, "stream": stream, "max_tokens": tokens,
            "messages": [{ "role": "user", "content": format!("say {word}") }],
        });
        Self::post(key, "/v1/chat/completions", &body.to_string())
    }

    /// A POST request with a JSON body and the customer's key.
    pub fn post(key: &str, path: &str, body: &str) -> Self {
        let ask = Self {
            method: "POST".to_owned(),
            path: path.to_owned(),
            headers: Vec::new(),
            body: body.to_owned(),
        };
        ask.with("authorization", &format!("Bearer {key}")).with("content-type", "application/json")
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Marks the request as unsafe to run more than once, with an idempotency key unless `key`
    /// is empty.
    pub fn only_once(self, key: &str) -> Self {
        let ask = self.with("x-sablepass-unsafe", "true");
        if key.is_empty() { ask } else { ask.with("idempotency-key", key) }
    }

    /// Sends the request on a new connection and waits for the whole response.
    pub fn send(&self, addr: &str) -> Answer {
        self.send_with(addr, |_| {})
    }

    /// Like [`Self::send`]; calls `on_line` with each line of the body when it arrives.
    pub fn send_with(&self, addr: &str, on_line: impl FnMut(&str)) -> Answer {
        Caller::open().exchange(self, addr, on_line)
    }
}

/// A client that reuses its connections.
#[derive(Debug)]
pub struct Caller {
    agent: ureq::Agent,
}

impl Caller {
    /// Creates a client without open connections.
    pub fn open() -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(TIMEOUT))
            .timeout_per_read(Some(TIMEOUT))
            .build();
        Self { agent: config.into() }
    }

    /// Sends a request and waits for the whole response.
    pub fn send(&self, ask: &Ask, addr: &str) -> Answer {
        self.exchange(ask, addr, |_| {})
    }

    fn exchange(&self, ask: &Ask, addr: &str, mut on_line: impl FnMut(&str)) -> Answer {
        let mut request = ureq::http::Request::builder()
            .method(ask.method.as_str())
            .uri(format!("http://{addr}{}", ask.path));
        for (name, value) in &ask.headers {
            request = request.header(name, value);
        }
        let Ok(request) = request.body(ask.body.as_str()) else {
            return Answer::default();
        };
        let Ok(response) = self.agent.run(request) else {
            return Answer::default();
        };
        let mut answer = head(&response);
        let mut lines = BufReader::new(response.into_body().into_reader());
        loop {
            let mut line = String::new();
            match lines.read_line(&mut line) {
                Ok(0) => return answer,
                Ok(_) => {
                    on_line(&line);
                    answer.body.push_str(&line);
                }
                Err(_) => {
                    answer.status = 0;
                    return answer;
                }
            }
        }
    }
}

fn head(response: &ureq::http::Response<ureq::Body>) -> Answer {
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|it| it.to_str().ok());
        value.unwrap_or("").to_owned()
    };
    Answer {
        status: response.status().as_u16(),
        id: header("x-request-id"),
        ran: header("x-sablepass-ran"),
        retry_after: header("retry-after"),
        replayed: header("x-sablepass-replayed") == "true",
        fields: response.headers().keys().map(ToString::to_string).collect(),
        body: String::new(),
    }
}

/// Calls a control or status interface; returns the body as JSON.
pub fn control(addr: &str, method: &str, path: &str, body: &str) -> Value {
    let ask = Ask {
        method: method.to_owned(),
        path: path.to_owned(),
        headers: Vec::new(),
        body: body.to_owned(),
    };
    ask.send(addr).json()
}

/// Sum of the lines of `/metrics` that start with `name` and contain `label`.
pub fn metric(admin: &str, name: &str, label: &str) -> f64 {
    let lines = lines(admin, name);
    let values = lines.iter().filter(|it| it.contains(label));
    values.filter_map(|it| it.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Lines of `/metrics` that start with `name`.
pub fn lines(admin: &str, name: &str) -> Vec<String> {
    let ask = Ask {
        method: "GET".into(),
        path: "/metrics".into(),
        headers: Vec::new(),
        body: String::new(),
    };
    let text = ask.send(admin).body;
    text.lines().filter(|it| it.starts_with(name)).map(str::to_owned).collect()
}

/// Polls a condition until it is true; panics with `what` after `TIMEOUT`.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out after {TIMEOUT:?} waiting for: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
