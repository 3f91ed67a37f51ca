// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Generates `src/generated.rs` from `proto/sablepass.proto`, or writes it to the directory that
//! is given as the argument.
//!
//! Run this example after a change of the schema. The generated code is committed, so the build
//! needs no generator; the test `verify_generated` fails if it does not match the schema.

use std::path::Path;

fn main() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files =
        protox::compile(["sablepass.proto"], [root.join("proto")]).expect("the schema compiles");
    let out = std::env::args().nth(1).map_or(root.join("src"), Into::into);
    prost_build::Config::new()
        .bytes(["."])
        .include_file("unused.rs")
        .out_dir(&out)
        .compile_fds(files)
        .expect("the code is generated");
    std::fs::rename(out.join("sablepass.wire.rs"), out.join("generated.rs"))
        .expect("the generated file can be renamed");
    std::fs::remove_file(out.join("unused.rs")).expect("the include file can be removed");
}
