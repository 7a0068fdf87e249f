//! The paths of the operator API.

use hyper::Method;

use super::error::OperatorError;

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// Report whether the process serves.
    Status,
    /// Return the metrics.
    Metrics,
    /// Drain an endpoint.
    DrainEndpoint,
    /// Restore an endpoint.
    RestoreEndpoint,
    /// Stop serving clients until the process is activated again.
    Standby,
    /// Serve clients again.
    Activate,
}

impl Route {
    /// The route for a path, if the path exists and allows the method.
    pub fn find(method: &Method, path: &str) -> Result<Self, OperatorError> {
        let route = Self::from_path(path).ok_or(OperatorError::UnknownPath)?;
        if *method != route.method() {
            return Err(OperatorError::MethodNotAllowed);
        }
        Ok(route)
    }

    fn from_path(path: &str) -> Option<Self> {
        match path {
            "/status" => Some(Self::Status),
            "/status/metrics" => Some(Self::Metrics),
            "/maintenance/enter" => Some(Self::DrainEndpoint),
            "/maintenance/exit" => Some(Self::RestoreEndpoint),
            "/standby" => Some(Self::Standby),
            "/active" => Some(Self::Activate),
            _ => None,
        }
    }

    fn method(self) -> Method {
        match self {
            Self::Status | Self::Metrics => Method::GET,
            Self::DrainEndpoint | Self::RestoreEndpoint | Self::Standby | Self::Activate => Method::POST,
        }
    }
}
