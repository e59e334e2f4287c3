//! Generates the Rust types of the protobuf schema; needs no installed `protoc`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto");
    let schema = protox::compile(["cindercleat/v1/messages.proto"], ["proto"])?;
    prost_build::Config::new()
        .bytes(["."])
        .compile_fds(schema)?;
    Ok(())
}
