//! The replies of simulated endpoints, and the data that some of them send afterwards.

use std::time::Duration;

use crate::endpoint::Behaviour;
use crate::history::Reply;

/// Number of responses that follow one response at the most.
const MANY_RESPONSES: usize = 2_000;

/// Draws data that follows a response: a copy of it, another response, noise, an empty line or many responses.
pub fn excess_data(response: &str) -> Vec<u8> {
    match fastrand::u8(0..5) {
        0 => response.as_bytes().to_vec(),
        1 => response_text(Reply::Delivered).into_bytes(),
        2 => b"noise".to_vec(),
        3 => b"\r\n".to_vec(),
        _ => response_text(Reply::Delivered).repeat(MANY_RESPONSES).into_bytes(),
    }
}

/// Draws the reply to a call, by the behaviour of its endpoint.
pub fn draw_reply(behaviour: Behaviour) -> Reply {
    let chance = fastrand::f64();
    match behaviour {
        Behaviour::Flaky if chance < 0.2 => Reply::Error,
        Behaviour::Odd if chance < 0.1 => Reply::Gone,
        Behaviour::Odd if chance < 0.25 => Reply::NotProcessed,
        Behaviour::Flaky | Behaviour::Odd if chance < 0.35 => Reply::Reset,
        Behaviour::Limited if chance < 0.45 => {
            Reply::Rejected { retry_after: Some(Duration::from_millis(fastrand::u64(150..700))) }
        }
        Behaviour::Limited if chance < 0.65 => Reply::Rejected { retry_after: None },
        Behaviour::Excess | Behaviour::Bodies if chance < 0.3 => Reply::Error,
        Behaviour::Bodies if chance < 0.4 => Reply::NotProcessed,
        Behaviour::Excess | Behaviour::Bodies if chance < 0.5 => Reply::Rejected { retry_after: None },
        Behaviour::Resetting | Behaviour::Refusing => Reply::Reset,
        _ => Reply::Delivered,
    }
}

/// Returns a complete response.
pub fn response_text(reply: Reply) -> String {
    let body = if reply == Reply::Delivered { "ok" } else { "" };
    format!("{}Content-Length: {}\r\n\r\n{body}", head_text(reply), body.len())
}

/// Returns the head of a response without the headers about its body.
pub fn head_text(reply: Reply) -> String {
    match reply {
        Reply::Delivered => "HTTP/1.1 200 OK\r\n".to_owned(),
        Reply::Rejected { retry_after: Some(wait) } => {
            format!("HTTP/1.1 429 Limited\r\nX-Come-Back-Ms: {}\r\n", wait.as_millis())
        }
        Reply::Rejected { retry_after: None } => "HTTP/1.1 503 Busy\r\nX-Load-Report: x0=0.0\r\n".to_owned(),
        Reply::NotProcessed => "HTTP/1.1 504 Not processed\r\n".to_owned(),
        Reply::Gone => "HTTP/1.1 410 Gone\r\n".to_owned(),
        Reply::Error | Reply::Reset => "HTTP/1.1 500 Error\r\n".to_owned(),
    }
}
