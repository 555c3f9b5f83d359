//! Parsing of statements into requests: names become indices into the settings, and required fields are
//! checked.

use super::fault::Fault;
use crate::config::Names;
use crate::interface::{SessionId, Timestamp};
use crate::net::messages::{InvalidRequest, Request, Statement};
use crate::pgwire::{KvStatement, StatementError};
use bytes::Bytes;
use std::time::Duration;

/// The maximum timeout of a request. Longer timeouts are cut to it, since timers have an upper bound.
const MAX_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Parses a statement.
///
/// # Errors
/// Returns an error if the statement has an unsupported form, names an unknown class, writes although its
/// class reads or the other way round, or lacks a required field: a tenant if the settings have tenants, an
/// idempotency key if its class needs one.
pub(super) fn parse(text: Bytes, names: &Names) -> Result<Request, Fault> {
    let statement = std::str::from_utf8(&text).map_err(|_| Fault::Encoding)?;
    let KvStatement { is_write, key, value_range, comment } =
        KvStatement::parse(statement).map_err(Fault::Statement)?;
    let index = names.classes.iter().position(|class| class.is_configured && class.name == comment.class);
    let index = index.ok_or_else(|| Fault::Invalid(InvalidRequest::UnknownClass(comment.class.clone())))?;
    let class = &names.classes[index];
    if class.is_write != is_write {
        let verb = if class.is_write { "writes" } else { "reads" };
        return Err(Fault::Invalid(InvalidRequest::ClassMismatch { class: class.name.clone(), verb }));
    }
    if class.needs_key && comment.key.is_none() {
        return Err(Fault::Statement(StatementError::Missing("k")));
    }
    if comment.tenant.is_none() && names.has_tenants() {
        return Err(Fault::Statement(StatementError::Missing("t")));
    }
    // A tenant without an entry in the settings has no quota: the router gives it full weight.
    let tenant = comment.tenant.as_deref().and_then(|name| names.tenant(name));
    let last_write_at = comment.last_write_ms.filter(|ms| *ms > 0.0).map(|ms| Timestamp((ms * 1e3) as i64));
    let timeout = Duration::try_from_secs_f64(comment.timeout_ms / 1e3);
    Ok(Request {
        class: index,
        tenant: tenant.unwrap_or(names.tenants.len()),
        group: comment.group,
        is_write,
        session: Some(SessionId::of(key)),
        is_client_retry: comment.is_retry,
        last_write_at,
        timeout: timeout.map_or(MAX_TIMEOUT, |timeout| timeout.min(MAX_TIMEOUT)),
        client_request_id: comment.id,
        statement: Statement { timeout_range: comment.timeout_range, value_range, text },
    })
}
