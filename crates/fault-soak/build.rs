//! Compiles the `LD_PRELOAD` library that makes system calls of the senders fail.

use std::env;
use std::path::PathBuf;
use std::process::Command;

const SOURCE: &str = "shim/fault_shim.c";

fn main() {
    println!("cargo:rerun-if-changed={SOURCE}");
    let folder = env::var_os("OUT_DIR").expect("OUT_DIR is set by cargo");
    let library = PathBuf::from(folder).join("libfault_shim.so");
    let compiler = env::var("CC").unwrap_or_else(|_| "cc".to_owned());
    let status = Command::new(&compiler)
        .args(["-shared", "-fPIC", "-O1", "-Wall", "-Wextra", "-Werror", "-o"])
        .arg(&library)
        .args([SOURCE, "-ldl"])
        .status()
        .unwrap_or_else(|error| panic!("{compiler} cannot be run: {error}"));
    assert!(status.success(), "{SOURCE} does not compile");
    println!("cargo:rustc-env=FAULT_SHIM={}", library.display());
}
