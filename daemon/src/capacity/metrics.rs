//! Serves counters, gauges and latencies in the Prometheus text format.

use std::borrow::Cow;
use std::fmt::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use net::{Body, Clients, Limits, Spawner};
use telemetry::LatencyHistogram;

use super::client_log;

/// Limits for the connections of the monitoring system.
const LIMITS: Limits = Limits {
    max_header_bytes: net::DEFAULT_MAX_HEADER_BYTES,
    max_body_bytes: 4_096,
    head_timeout: Duration::from_secs(3),
    body_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(10),
    max_connections: 16,
    socket_buffer_bytes: net::DEFAULT_SOCKET_BUFFER_BYTES,
};
/// Quantiles reported for each latency.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// Returns a label value with the characters escaped that the format gives a meaning.
pub(crate) fn escape_label(value: &str) -> Cow<'_, str> {
    if !value.contains(['\\', '"', '\n']) {
        return Cow::Borrowed(value);
    }
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n").into()
}

/// A metrics page in the Prometheus text format.
#[derive(Default)]
pub(crate) struct MetricsPage(String);

impl MetricsPage {
    /// Adds a counter or a gauge.
    pub fn value(&mut self, name: &str, labels: &str, value: u64) {
        let _ = writeln!(self.0, "dockpass_{name}{labels} {value}");
    }

    /// Adds a gauge or a sum with a fraction.
    pub fn decimal(&mut self, name: &str, labels: &str, value: f64) {
        let _ = writeln!(self.0, "dockpass_{name}{labels} {value}");
    }

    /// Adds a latency as quantiles in seconds, with its count.
    pub fn latency(&mut self, name: &str, label: &str, value: &str, latency: &LatencyHistogram) {
        for quantile in QUANTILES {
            let seconds = latency.quantile(quantile).as_secs_f64();
            let _ = writeln!(
                self.0,
                "dockpass_{name}_seconds{{{label}=\"{value}\",quantile=\"{quantile}\"}} {seconds}"
            );
        }
        let _ = writeln!(
            self.0,
            "dockpass_{name}_seconds_count{{{label}=\"{value}\"}} {}",
            latency.len()
        );
    }
}

/// Serves a page that is generated for each request.
pub(crate) fn serve(
    address: SocketAddr,
    tasks: &Spawner,
    clients: &Clients,
    write_page: impl Fn(&mut MetricsPage) + 'static,
) -> std::io::Result<()> {
    let listener = Async::<TcpListener>::bind(address)?;
    let page_clients = clients.clone();
    let write_page = Rc::new(move |page: &mut MetricsPage| {
        write_page(page);
        client_log::write_metrics(&page_clients, page);
    });
    let handler = move |request: Request<_>| {
        let write_page = write_page.clone();
        async move { respond(&request, &*write_page) }
    };
    tasks.spawn(net::serve(listener, tasks.clone(), clients.clone(), || LIMITS, handler));
    Ok(())
}

fn respond<B>(request: &Request<B>, write_page: &impl Fn(&mut MetricsPage)) -> Response<Body> {
    let mut page = MetricsPage::default();
    if request.uri().path() != "/metrics" {
        let mut response = Response::new(Body::from("see /metrics\n"));
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    write_page(&mut page);
    let mut response = Response::new(Body::from(page.0));
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
