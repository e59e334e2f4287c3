//! Compiles the schema without an installed protoc.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto");
    let schema = protox::compile(["cindercleat/v1/messages.proto"], ["proto"])?;
    prost_build::Config::new()
        .bytes(["."])
        .compile_fds(schema)?;
    Ok(())
}
