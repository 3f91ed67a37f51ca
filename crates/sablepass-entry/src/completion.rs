// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The fields of a completion request of the `OpenAI` API that routing needs. The engine receives
//! the body unchanged.
//!
//! The prompt can take many times its size when it is decoded as a whole, so its messages are
//! decoded one at a time, and long lists of tokens not at all.

use std::collections::HashSet;
use std::fmt;

use sablepass_core::fingerprint::Fingerprint;
use serde::Deserialize;
use serde::de::{Deserializer, SeqAccess, Visitor};
use serde_json::value::RawValue;

/// Maximum number of messages of a conversation that count as shared parts of its prompt.
const MAX_SHARED_PARTS: usize = 64;
/// Size in bytes up to which content that is no text is brought into a standard form, in which the
/// same content looks the same for all clients.
const MAX_NORMALIZED_BYTES: usize = 64 * 1024;

/// The fields of a completion request.
#[derive(Debug, PartialEq, Eq)]
pub struct Completion {
    /// Name of the model.
    pub model: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// What routing needs of the prompt; none if the request has no prompt.
    pub prompt: Option<Prompt>,
}

/// What routing needs of a prompt.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// First characters of the prompt.
    pub prefix: String,
    /// Names of the messages before the last one, which other requests may share. The last one is
    /// the caller's own question.
    pub shared_parts: Vec<String>,
}

#[derive(Deserialize)]
struct Fields<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default, borrow)]
    messages: Option<&'a RawValue>,
    #[serde(default, borrow)]
    prompt: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(default, borrow)]
    content: Option<&'a RawValue>,
}

impl Completion {
    /// Parses the body of a request, with a prefix of this many characters.
    pub fn parse(body: &[u8], prefix: usize) -> serde_json::Result<Self> {
        let fields: Fields<'_> = serde_json::from_slice(body)?;
        let mut parts = Parts::open(prefix);
        let prompt = match (fields.messages, fields.prompt) {
            (Some(messages), _) => {
                let mut decoder = serde_json::Deserializer::from_str(messages.get());
                decoder.deserialize_seq(&mut parts)?;
                Some(parts.prompt())
            }
            (None, Some(prompt)) => {
                parts.add(plain_text(prompt)?);
                Some(parts.prompt())
            }
            (None, None) => None,
        };
        Ok(Self { model: fields.model, stream: fields.stream, prompt })
    }
}

/// The parts of a prompt read so far.
struct Parts {
    max_prefix: usize,
    prefix: String,
    /// Number of characters in the prefix.
    characters: usize,
    shared: Vec<String>,
    seen: HashSet<String>,
    /// The part that was read last, which is shared only if another one follows.
    last: Option<String>,
}

impl Parts {
    fn open(max_prefix: usize) -> Self {
        Self {
            max_prefix,
            prefix: String::new(),
            characters: 0,
            shared: Vec::new(),
            seen: HashSet::new(),
            last: None,
        }
    }

    fn add(&mut self, part: String) {
        if let Some(earlier) = self.last.take() {
            self.extend_prefix("\n");
            if self.shared.len() < MAX_SHARED_PARTS {
                let name = Fingerprint::of_part("", &earlier).to_string();
                if self.seen.insert(name.clone()) {
                    self.shared.push(name);
                }
            }
        }
        self.extend_prefix(&part);
        self.last = Some(part);
    }

    fn extend_prefix(&mut self, text: &str) {
        let added: String = text.chars().take(self.max_prefix - self.characters).collect();
        self.characters += added.chars().count();
        self.prefix.push_str(&added);
    }

    fn prompt(self) -> Prompt {
        Prompt { prefix: self.prefix, shared_parts: self.shared }
    }
}

impl<'de> Visitor<'de> for &mut Parts {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("messages")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut messages: A) -> Result<(), A::Error> {
        while let Some(message) = messages.next_element::<Message<'de>>()? {
            if let Some(content) = message.content {
                self.add(plain_text(content).map_err(serde::de::Error::custom)?);
            }
        }
        Ok(())
    }
}

/// Returns a text itself, and any other content as JSON.
fn plain_text(content: &RawValue) -> serde_json::Result<String> {
    let json = content.get();
    if json.starts_with('"') {
        serde_json::from_str(json)
    } else if json.len() <= MAX_NORMALIZED_BYTES {
        Ok(serde_json::from_str::<serde_json::Value>(json)?.to_string())
    } else {
        Ok(json.to_owned())
    }
}
