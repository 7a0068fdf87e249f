//! Tests of the decoding of operators' requests, without sockets.

use bytes::Bytes;
use hyper::Method;

use super::error::OperatorError;
use super::route::Route;
use super::server::endpoint_name;

/// Guards against a command that a GET request executes, and against a path that leads to another command.
#[test]
fn each_path_allows_one_method() {
    let routes = [
        (Method::GET, "/status", Route::Status),
        (Method::GET, "/status/metrics", Route::Metrics),
        (Method::POST, "/maintenance/enter", Route::DrainEndpoint),
        (Method::POST, "/maintenance/exit", Route::RestoreEndpoint),
        (Method::POST, "/standby", Route::Standby),
        (Method::POST, "/active", Route::Activate),
    ];
    for (method, path, route) in routes {
        let other = if method == Method::GET { Method::POST } else { Method::GET };
        assert_eq!(Route::find(&method, path), Ok(route));
        assert_eq!(Route::find(&other, path), Err(OperatorError::MethodNotAllowed), "{path}");
    }
    assert_eq!(Route::find(&Method::GET, "/"), Err(OperatorError::UnknownPath));
}

/// Guards against looking up a body that is not one name, and against rejecting a name because of spaces or a
/// line feed around it.
#[test]
fn an_endpoint_name_is_one_line_of_plain_text() {
    assert_eq!(endpoint_name(&Bytes::from_static(b" s-1\n")).as_deref(), Ok("s-1"));
    for body in [b"".as_slice(), b" \n", b"s-1\ns-2", b"s\0", b"\xff"] {
        assert_eq!(endpoint_name(&Bytes::copy_from_slice(body)), Err(OperatorError::EndpointName));
    }
}
