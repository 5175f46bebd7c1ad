//! Regenerates `crates/wire/src/generated/` from `crates/wire/proto/`.
//!
//! Run it from the repository's root after a change to the protocol files:
//! `cargo run --manifest-path tools/wire-gen/Cargo.toml`. The result is
//! committed, so that the build needs no generator.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = protox::compile(["peer.proto"], ["crates/wire/proto"])?;
    tonic_prost_build::configure()
        .out_dir("crates/wire/src/generated")
        .compile_fds(files)?;
    Ok(())
}
