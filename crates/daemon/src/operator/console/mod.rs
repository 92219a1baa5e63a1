//! The console of forms, in which operators write the document.
//!
//! The daemon keeps nothing of it: the draft travels in the form, from page to page, and ends as a
//! file that the operator downloads and publishes. So any daemon can answer any step, a restart loses
//! no work, and no page can change what is in force. The fields, their units and bounds come from the
//! schema, and the faults from the check that the daemons run on a published document.
//!
//! Pages are plain HTML without scripts. Everything that isn't constant is escaped by the template
//! library.

mod draft;
mod edit;
mod editor;
mod field;
mod form;
mod overview;
mod page;
mod pointer;

use crate::service::Service;
use bytes::Bytes;
use draft::Draft;
use form::Form;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use monsoonring_configuration::{Document, limit};
use page::View;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Largest form taken, in bytes: a draft of twice the size of a document, with half of its characters
/// written as three.
const MAX_FORM_BYTES: usize = 4 * limit::VALUE_BYTES;

/// Pages made at the same time. A page of a large document takes some ten megabytes and up to a
/// second of a core, which the queries need more; further operators wait.
const PAGES: usize = 1;

/// Name of the file that is downloaded.
const DOWNLOAD: &str = "attachment; filename=\"monsoonring.json\"";

/// Nothing may be loaded or run, and forms go nowhere else: text in a draft that a template should
/// fail to escape can't act.
const POLICY: &str = "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; \
                      base-uri 'none'; frame-ancestors 'none'";

const HTML_TYPE: &str = "text/html; charset=utf-8";
const JSON_TYPE: &str = "application/json";
const TEXT_TYPE: &str = "text/plain; charset=utf-8";
const FORM_TYPE: &str = "application/x-www-form-urlencoded";

/// Path of the console.
pub(super) const PATH: &str = "/console";

/// Path under which the document is downloaded.
pub(super) const DOCUMENT_PATH: &str = "/console/document";

/// Why a form is not answered by a page.
type Refused = (StatusCode, &'static str);

/// What a page answers with.
enum Answer {
    Page(String),
    Document(String),
}

/// Answers the requests of the console.
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
            pages: Semaphore::new(PAGES),
        }
    }

    /// Answers a request for one of the paths.
    pub(super) async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let answer = self.answer(request).await;
        match answer {
            Ok(Answer::Page(text)) => respond(StatusCode::OK, HTML_TYPE, text),
            Ok(Answer::Document(text)) => {
                let mut response = respond(StatusCode::OK, JSON_TYPE, text);
                let value = HeaderValue::from_static(DOWNLOAD);
                response
                    .headers_mut()
                    .insert(header::CONTENT_DISPOSITION, value);
                response
            }
            Err((status, why)) => respond(status, TEXT_TYPE, why.to_owned()),
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Answer, Refused> {
        let is_download = request.uri().path() == DOCUMENT_PATH;
        let is_get = *request.method() == Method::GET;
        if is_get && is_download {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "the path takes POST"));
        }
        // Held while the body is read too: else as many operators as there may be connections could
        // fill the memory with forms.
        let waiting = tokio::time::timeout(self.body_timeout, self.pages.acquire());
        let Ok(Ok(_place)) = waiting.await else {
            return Err((
                StatusCode::SERVICE_UNAVAILABLE,
                "others use the console; try again",
            ));
        };
        let body = match is_get {
            true => None,
            false => Some(self.body(request).await?),
        };
        let base = self.base();
        let working =
            tokio::task::spawn_blocking(move || work(&base, body.as_deref(), is_download));
        let failed = (
            StatusCode::INTERNAL_SERVER_ERROR,
            "the page could not be made",
        );
        working.await.map_err(|_| failed)?
    }

    fn base(&self) -> Base {
        let configuration = self.service.configuration();
        Base {
            revision: configuration.as_ref().map(|found| found.revision()),
            document: configuration.map(|found| found.document().clone()),
            not_ready: self.service.ready().err(),
        }
    }

    async fn body(&self, request: Request<Incoming>) -> Result<Bytes, Refused> {
        check_origin(&request)?;
        let body = Limited::new(request.into_body(), MAX_FORM_BYTES).collect();
        match tokio::time::timeout(self.body_timeout, body).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(_)) => Err((
                StatusCode::PAYLOAD_TOO_LARGE,
                "the form is too large or broken",
            )),
            Err(_) => Err((StatusCode::REQUEST_TIMEOUT, "the form took too long")),
        }
    }
}

/// Refuses what no form of the console sends. A page of another site could otherwise make an
/// operator's browser show a draft that the operator never wrote, with the console's authority.
fn check_origin(request: &Request<Incoming>) -> Result<(), Refused> {
    let headers = request.headers();
    let site = headers.get("sec-fetch-site");
    if site.is_some_and(|site| site == "cross-site") {
        return Err((StatusCode::FORBIDDEN, "the form comes from another site"));
    }
    let kind = headers.get(header::CONTENT_TYPE).map(HeaderValue::as_bytes);
    if kind.is_some_and(|kind| kind.starts_with(FORM_TYPE.as_bytes())) {
        return Ok(());
    }
    Err((
        StatusCode::UNSUPPORTED_MEDIA_TYPE,
        "the path takes a form, application/x-www-form-urlencoded",
    ))
}

/// What is in force here.
struct Base {
    revision: Option<u64>,
    document: Option<Document>,
    not_ready: Option<&'static str>,
}

/// Makes the answer to a form, or the first page.
fn work(base: &Base, body: Option<&[u8]>, is_download: bool) -> Result<Answer, Refused> {
    let Some(body) = body else {
        let draft = Draft::of(base.document.as_ref());
        return Ok(Answer::Page(page::show(
            &View::new(base, &draft, base.revision),
            "",
        )));
    };
    let too_many = (
        StatusCode::PAYLOAD_TOO_LARGE,
        "the form has too many fields",
    );
    let form = Form::read(body).ok_or(too_many)?;
    let text = form.value("draft").unwrap_or_default();
    let mut draft = match Draft::read(text) {
        Ok(draft) => draft,
        Err(faults) => return Ok(Answer::Page(page::unreadable(base, text, &faults))),
    };
    let started = match form.value("revision") {
        Some(revision) => revision.parse().ok(),
        None => base.revision,
    };
    let place = edit::run(&mut draft, &form);
    let mut view = View::new(base, &draft, started);
    if form.value("do") == Some("load") {
        view.note_lost(draft::faults(text));
    }
    match (&view.checked, is_download) {
        (Ok(document), true) => Ok(Answer::Document(file(document))),
        _ => Ok(Answer::Page(page::show(&view, &place))),
    }
}

/// Writes the document as it is published: on many lines, as long as it fits.
fn file(document: &Document) -> String {
    let spaced = serde_json::to_string_pretty(document).unwrap_or_default();
    match spaced.len() <= limit::VALUE_BYTES {
        true => spaced,
        false => serde_json::to_string(document).unwrap_or_default(),
    }
}

fn respond(status: StatusCode, media_type: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let headers: [(HeaderName, &'static str); 5] = [
        (header::CONTENT_TYPE, media_type),
        (header::CACHE_CONTROL, "no-store"),
        (header::CONTENT_SECURITY_POLICY, POLICY),
        (header::X_CONTENT_TYPE_OPTIONS, "nosniff"),
        (header::REFERRER_POLICY, "no-referrer"),
    ];
    for (name, value) in headers {
        let value = HeaderValue::from_static(value);
        response.headers_mut().insert(name, value);
    }
    response
}
