//! Regenerates `crates/wire/src/generated/` from `crates/wire/proto/`.
//!
//! Run it from the repository root after a change to the protocol files:
//! `cargo run --manifest-path tools/wire-gen/Cargo.toml`. Commit the result, so
//! that the build needs no code generator.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = protox::compile(["peer.proto"], ["crates/wire/proto"])?;
    tonic_prost_build::configure()
        .out_dir("crates/wire/src/generated")
        .compile_fds(files)?;
    Ok(())
}
