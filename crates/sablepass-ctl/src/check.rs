// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Checks documents offline with the same code as entries and agents, for the `check` subcommand.

use std::path::{Path, PathBuf};

use sablepass_core::catalogue::Catalogue;
use sablepass_core::config::{Delta, Document, Store, StoreKind, Version};
use sablepass_core::declaration;
use sablepass_core::revision::Revision;
use snafu::{ResultExt, Snafu};

/// Errors that prevent a check of the files.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", file.display()))]
    Read {
        /// Path of the file.
        file: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The files cannot be merged into an empty configuration.
    #[snafu(display("the files cannot be merged into an empty configuration"))]
    Store,
}

/// Result for one document: a summary of its declarations, or the reason for its refusal.
pub type Verdict = Result<String, declaration::Error>;

/// Checks the files together, as one configuration. Returns each document's key and result in the
/// order of `files`. `partner` overrides the partner that a file's parent directory names.
pub fn files(files: &[PathBuf], partner: Option<&str>) -> Result<Vec<(String, Verdict)>, Error> {
    let mut documents = Vec::new();
    for (index, file) in files.iter().enumerate() {
        let body = std::fs::read_to_string(file).context(ReadSnafu { file })?;
        let newest = Version { revision: (index as u64 + 1).into(), body };
        documents.push(Document {
            key: document_key(file, partner),
            newest,
            removed: false,
            accepted: None,
        });
    }
    let keys: Vec<String> = documents.iter().map(|it| it.key.clone()).collect();
    let mut store = Store::open(StoreKind::Declarations);
    let revision = (files.len() as u64).into();
    let delta = Delta { after: Revision::default(), revision, documents, whole: None };
    store.merge(delta).map_err(|_| Error::Store)?;
    let catalogue = Catalogue::build(&store);
    let verdict = |key: String| {
        let verdict = match catalogue.refused.get(&key) {
            Some(e) => Err(e.clone()),
            None => Ok(summary(&catalogue, &key)),
        };
        (key, verdict)
    };
    Ok(keys.into_iter().map(verdict).collect())
}

/// Returns the key that a file's document has in the platform's configuration service:
/// `PARTNER/FILE`.
fn document_key(file: &Path, partner: Option<&str>) -> String {
    let name = file.file_name().unwrap_or_default().to_string_lossy();
    let parent = file.parent().and_then(Path::file_name).unwrap_or_default().to_string_lossy();
    format!("{}/{name}", partner.unwrap_or(&parent))
}

fn summary(catalogue: &Catalogue, key: &str) -> String {
    let targets = catalogue.targets.values().filter(|it| it.document == key).count();
    let groups = catalogue.groups.values().filter(|it| it.document == key).count();
    let customers = catalogue.customers.values().filter(|it| it.document == key).count();
    let grants = catalogue.grants.iter().filter(|it| it.document == key).count();
    format!("targets {targets}, groups {groups}, customers {customers}, grants {grants}")
}
