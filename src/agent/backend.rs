//! HTTP client for the backend server.

use bytes::Bytes;
use http::Request;
use http::Response;
use http::Uri;
use http::header::CONTENT_TYPE;
use http::uri::PathAndQuery;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use siskinbend_types::RequestId;
use siskinbend_wire::Dispatch;

/// Header that carries the request id to the backend server.
const REQUEST_HEADER: &str = "siskinbend-request";

/// Client for the backend server that this agent serves.
pub(crate) struct Backend {
    client: Client<HttpConnector, Full<Bytes>>,
    base: Uri,
}

impl Backend {
    pub(crate) fn new(base: Uri) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // An automatic retry could run a non-idempotent call twice.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, base }
    }

    /// Sends a request and waits for the status and headers of the answer.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure. The backend server may have run the request.
    pub(crate) async fn call(
        &self,
        id: RequestId,
        dispatch: &Dispatch,
        body: Bytes,
    ) -> Result<Response<Incoming>, String> {
        let path: PathAndQuery = dispatch
            .path
            .parse()
            .map_err(|e| format!("bad path: {e}"))?;
        let mut parts = self.base.clone().into_parts();
        parts.path_and_query = Some(path);
        let uri = Uri::from_parts(parts).map_err(|e| e.to_string())?;
        let mut request = Request::builder()
            .method(dispatch.method.as_str())
            .uri(uri)
            .header(REQUEST_HEADER, id.to_string());
        if !dispatch.content_type.is_empty() {
            request = request.header(CONTENT_TYPE, dispatch.content_type.as_str());
        }
        let request = request.body(Full::new(body)).map_err(|e| e.to_string())?;
        self.client
            .request(request)
            .await
            .map_err(|e| e.to_string())
    }
}
