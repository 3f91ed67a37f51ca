// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A caller: sends requests and keeps what it was told.

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Longest wait for anything.
const TIMEOUT: Duration = Duration::from_secs(60);

/// An answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// HTTP status; 0 if there was no answer.
    pub status: u16,
    /// The request's name.
    pub id: String,
    /// Whether it ran.
    pub ran: String,
    /// Seconds after which to come back, as text.
    pub retry_after: String,
    /// Whether it is a recorded answer.
    pub replayed: bool,
    /// Names of all header fields, in lower case.
    pub fields: Vec<String>,
    /// Body.
    pub body: String,
}

impl Answer {
    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// The text of a completion, streamed or not.
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

    /// Whether a stream came to its end.
    pub fn done(&self) -> bool {
        self.body.contains("data: [DONE]")
    }

    /// The reason of a failure, streamed or not.
    pub fn reason(&self) -> String {
        let events = self.body.lines().filter_map(|it| it.strip_prefix("data: "));
        let last = events.filter_map(|it| serde_json::from_str::<Value>(it).ok()).next_back();
        let json = last.unwrap_or_else(|| self.json());
        json["error"]["code"].as_str().unwrap_or("").to_owned()
    }
}

/// A request to be sent.
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
    /// A chat completion whose answer is `tokens` times `word`.
    pub fn chat(key: &str, model: &str, word: &str, tokens: u64, stream: bool) -> Self {
        let body = json!({
            "model": model, "stream": stream, "max_tokens": tokens,
            "messages": [{ "role": "user", "content": format!("say {word}") }],
        });
        Self::post(key, "/v1/chat/completions", &body.to_string())
    }

    /// A POST.
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

    /// Marks it as not to run more than once, under a key if one is given.
    pub fn only_once(self, key: &str) -> Self {
        let ask = self.with("x-sablepass-unsafe", "true");
        if key.is_empty() { ask } else { ask.with("idempotency-key", key) }
    }

    /// Sends it and waits for the whole answer.
    pub fn send(&self, addr: &str) -> Answer {
        self.send_with(addr, |_| {})
    }

    /// Sends it; `on_line` sees each line of the answer when it arrives.
    pub fn send_with(&self, addr: &str, on_line: impl FnMut(&str)) -> Answer {
        Caller::open().exchange(self, addr, on_line)
    }
}

/// A caller that keeps its connections.
#[derive(Debug)]
pub struct Caller {
    agent: ureq::Agent,
}

impl Caller {
    /// A caller without a connection.
    pub fn open() -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(TIMEOUT))
            .timeout_per_read(Some(TIMEOUT))
            .build();
        Self { agent: config.into() }
    }

    /// Sends a request and waits for the whole answer.
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

/// Calls a control or status interface.
pub fn control(addr: &str, method: &str, path: &str, body: &str) -> Value {
    let ask = Ask {
        method: method.to_owned(),
        path: path.to_owned(),
        headers: Vec::new(),
        body: body.to_owned(),
    };
    ask.send(addr).json()
}

/// A counter or gauge in `/metrics`, summed over labels that contain `label`.
pub fn metric(admin: &str, name: &str, label: &str) -> f64 {
    let ask = Ask {
        method: "GET".into(),
        path: "/metrics".into(),
        headers: Vec::new(),
        body: String::new(),
    };
    let text = ask.send(admin).body;
    let lines = text.lines().filter(|it| it.starts_with(name) && it.contains(label));
    lines.filter_map(|it| it.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Waits until something holds; panics with its name when it does not come true.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "waited in vain for: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
