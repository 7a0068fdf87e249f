//! Runs delivery controllers in the simulator: reads batches of JSON lines from standard input and writes the
//! replies to standard output.
#![forbid(unsafe_code)]

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

mod endpoint_list;
mod error;
mod host;
mod incoming;
mod instances;
mod outgoing;

use error::{InputError, LineError};
use host::Host;

fn run() -> Result<(), InputError> {
    // The default hook would write panics to standard error. A controller's panic is reported in the reply,
    // and standard error is reserved for input errors.
    std::panic::set_hook(Box::new(|_| {}));
    let mut host = Host::default();
    let mut output = io::stdout().lock();
    for (index, line) in io::stdin().lock().split(b'\n').enumerate() {
        let number = index + 1;
        let stream_error = |error| InputError { line: number, reason: LineError::Stream(error) };
        let line = line.map_err(stream_error)?;
        if let Some(reply) = host.handle_line(number, &line)? {
            write_reply(&mut output, &reply).map_err(stream_error)?;
        }
    }
    host.finish()
}

fn write_reply(output: &mut impl Write, reply: &str) -> io::Result<()> {
    output.write_all(reply.as_bytes())?;
    output.flush()
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
