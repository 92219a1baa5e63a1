//! Web console in which operators edit the configuration document.
//!
//! The console is stateless: each page carries the draft in a hidden form field, and the operator
//! downloads the result as a file and publishes it. Any daemon can therefore serve any step, a restart
//! loses no work, and no page changes the configuration in force. Fields, units and bounds come from
//! the schema; faults come from the same check that daemons run on a published document.
//!
//! Pages are plain HTML without scripts. The template library escapes all dynamic content.

mod draft;
mod edit;
mod editor;
mod field;
mod form;
mod overview;
mod page;
mod pointer;

use crate::server::Intake;
use crate::service::Service;
use bytes::Bytes;
use draft::Draft;
use form::Form;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use monsoonring_configuration::{Document, limit};
use page::View;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Maximum size of a form in bytes: a draft of up to twice the size of a document, half of whose
/// characters are percent-encoded as three bytes.
const MAX_FORM_BYTES: usize = 4 * limit::VALUE_BYTES;

/// Maximum number of pages built at a time, which bounds the CPU time and memory that the console
/// takes from queries. Further requests wait.
const MAX_CONCURRENT_PAGES: usize = 1;

/// `Content-Disposition` header with the file name of the downloaded document.
const CONTENT_DISPOSITION: &str = "attachment; filename=\"monsoonring.json\"";

/// `Content-Security-Policy` header. Forbids scripts, external resources and forms to other sites, in
/// case a template fails to escape text of a draft.
const SECURITY_POLICY: &str = "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; \
                      base-uri 'none'; frame-ancestors 'none'";

const HTML_TYPE: &str = "text/html; charset=utf-8";
const JSON_TYPE: &str = "application/json";
const TEXT_TYPE: &str = "text/plain; charset=utf-8";
const FORM_TYPE: &str = "application/x-www-form-urlencoded";

/// Path of the console.
pub(super) const PATH: &str = "/console";

/// Path of the document download.
pub(super) const DOCUMENT_PATH: &str = "/console/document";

/// Status and message of a rejected request.
type Rejection = (StatusCode, &'static str);

/// Rejects a form that is not read.
const UNREADABLE: Rejection = (
    StatusCode::PAYLOAD_TOO_LARGE,
    "the form is too large or could not be read",
);

/// Content of a successful response.
enum Answer {
    Page(String),
    Document(String),
}

/// Handles the requests of the console.
pub(super) struct Console {
    service: Arc<dyn Service>,
    body_timeout: Duration,
    pages: Semaphore,
}

impl Console {
    pub(super) fn new(service: Arc<dyn Service>, body_timeout: Duration) -> Self {
        Self {
            service,
            body_timeout,
            pages: Semaphore::new(MAX_CONCURRENT_PAGES),
        }
    }

    /// Handles a request for [`PATH`] or [`DOCUMENT_PATH`].
    pub(super) async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let answer = self.answer(request).await;
        match answer {
            Ok(Answer::Page(text)) => respond(StatusCode::OK, HTML_TYPE, text),
            Ok(Answer::Document(text)) => {
                let mut response = respond(StatusCode::OK, JSON_TYPE, text);
                let value = HeaderValue::from_static(CONTENT_DISPOSITION);
                response
                    .headers_mut()
                    .insert(header::CONTENT_DISPOSITION, value);
                response
            }
            Err((status, message)) => respond(status, TEXT_TYPE, message.to_owned()),
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Answer, Rejection> {
        let is_download = request.uri().path() == DOCUMENT_PATH;
        let is_get = *request.method() == Method::GET;
        if is_get && is_download {
            return Err((
                StatusCode::METHOD_NOT_ALLOWED,
                "only POST is allowed on this path",
            ));
        }
        // Acquired before the body is read, so that at most one form at a time is held in memory.
        let acquired = tokio::time::timeout(self.body_timeout, self.pages.acquire());
        let Ok(Ok(_permit)) = acquired.await else {
            return Err((
                StatusCode::SERVICE_UNAVAILABLE,
                "the console is busy; try again",
            ));
        };
        let body = match is_get {
            true => None,
            false => Some(self.body(request).await?),
        };
        let base = self.base();
        let task =
            tokio::task::spawn_blocking(move || build_answer(&base, body.as_deref(), is_download));
        let failed = (
            StatusCode::INTERNAL_SERVER_ERROR,
            "the page could not be built",
        );
        task.await.map_err(|_| failed)?
    }

    fn base(&self) -> Base {
        let configuration = self.service.configuration();
        Base {
            revision: configuration.as_ref().map(|found| found.revision()),
            document: configuration.map(|found| found.document().clone()),
            not_ready: self.service.check_ready().err(),
        }
    }

    async fn body(&self, request: Request<Incoming>) -> Result<Bytes, Rejection> {
        check_origin(&request)?;
        let (mut head, body) = request.into_parts();
        let intake = head.extensions.remove::<Intake>().ok_or(UNREADABLE)?;
        let read = intake.read(body, MAX_FORM_BYTES);
        let read = tokio::time::timeout(self.body_timeout, read).await;
        match read {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(_)) => Err(UNREADABLE),
            Err(_) => Err((StatusCode::REQUEST_TIMEOUT, "the form took too long")),
        }
    }
}

/// Rejects requests that don't come from a form of the console. Otherwise another site could make an
/// operator's browser show a draft that the operator did not write.
fn check_origin(request: &Request<Incoming>) -> Result<(), Rejection> {
    let headers = request.headers();
    let site = headers.get("sec-fetch-site");
    if site.is_some_and(|site| site == "cross-site") {
        return Err((StatusCode::FORBIDDEN, "the form was sent from another site"));
    }
    let kind = headers.get(header::CONTENT_TYPE).map(HeaderValue::as_bytes);
    if kind.is_some_and(|kind| kind.starts_with(FORM_TYPE.as_bytes())) {
        return Ok(());
    }
    Err((
        StatusCode::UNSUPPORTED_MEDIA_TYPE,
        "the body must be a form, application/x-www-form-urlencoded",
    ))
}

/// The configuration in force at this daemon, which drafts are compared with.
struct Base {
    revision: Option<u64>,
    document: Option<Document>,
    not_ready: Option<&'static str>,
}

/// Builds the response to a form, or the first page if there is no form.
fn build_answer(base: &Base, body: Option<&[u8]>, is_download: bool) -> Result<Answer, Rejection> {
    let Some(body) = body else {
        let draft = Draft::new(base.document.as_ref());
        return Ok(Answer::Page(page::show(
            &View::new(base, &draft, base.revision),
            "",
        )));
    };
    let too_many = (
        StatusCode::PAYLOAD_TOO_LARGE,
        "the form has too many fields",
    );
    let form = Form::parse(body).ok_or(too_many)?;
    let text = form.value("draft").unwrap_or_default();
    let mut draft = match Draft::parse(text) {
        Ok(draft) => draft,
        Err(faults) => return Ok(Answer::Page(page::invalid_text(base, text, &faults))),
    };
    let initial_revision = match form.value("revision") {
        Some(revision) => revision.parse().ok(),
        None => base.revision,
    };
    let pointer = edit::run(&mut draft, &form);
    let mut view = View::new(base, &draft, initial_revision);
    if form.value("do") == Some("load") {
        view.set_dropped_faults(draft::faults(text));
    }
    match (&view.checked, is_download) {
        (Ok(document), true) => Ok(Answer::Document(serialize(document))),
        _ => Ok(Answer::Page(page::show(&view, &pointer))),
    }
}

/// Serializes the document for publication: pretty-printed unless that exceeds the size limit.
fn serialize(document: &Document) -> String {
    let pretty = serde_json::to_string_pretty(document).unwrap_or_default();
    match pretty.len() <= limit::VALUE_BYTES {
        true => pretty,
        false => serde_json::to_string(document).unwrap_or_default(),
    }
}

fn respond(status: StatusCode, media_type: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let headers: [(HeaderName, &'static str); 5] = [
        (header::CONTENT_TYPE, media_type),
        (header::CACHE_CONTROL, "no-store"),
        (header::CONTENT_SECURITY_POLICY, SECURITY_POLICY),
        (header::X_CONTENT_TYPE_OPTIONS, "nosniff"),
        (header::REFERRER_POLICY, "no-referrer"),
    ];
    for (name, value) in headers {
        let value = HeaderValue::from_static(value);
        response.headers_mut().insert(name, value);
    }
    response
}
