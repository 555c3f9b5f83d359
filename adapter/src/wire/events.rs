//! Reads the simulator's messages about an instance as events for its router.

use super::error::WireError;
use super::fields::Fields;
use super::instance::Instance;
use super::ListEntry;
use base64::{engine::general_purpose::STANDARD, Engine};
use std::collections::BTreeMap;
use wheelpier_decisions::settings::micros_from_seconds;
use wheelpier_decisions::{
    AttemptResult, EndpointEntry, EndpointUpdate, Event, Outcome, Request, Role, SessionId, TimeDelta,
};

/// Number of microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1e3;

/// Reads the fields of a message as an event. Returns `None` if the message refers to a request that is no
/// longer known.
///
/// # Errors
/// Returns an error if a field is missing or invalid.
pub fn read(
    fields: &mut Fields,
    instance: &mut Instance,
    lists: &BTreeMap<u64, Vec<ListEntry>>,
) -> Result<Option<Event>, WireError> {
    match fields.message() {
        "roster_change" => endpoint_list(fields, instance, lists).map(Some),
        "arrival" => request_arrived(fields, instance).map(Some),
        "reply" => attempt_ended(fields, instance),
        "checked" => health_checked(fields, instance).map(Some),
        "client_left" => client_disconnected(fields, instance),
        "begun" => response_started(fields, instance),
        "ring" => Ok(Some(Event::Timer(fields.u64("handle")?))),
        _ => peer_message(fields).map(Some),
    }
}

fn endpoint_list(
    fields: &mut Fields,
    instance: &mut Instance,
    lists: &BTreeMap<u64, Vec<ListEntry>>,
) -> Result<Event, WireError> {
    let kind = match fields.text("form")? {
        "update" => EndpointUpdate::Delta,
        "replace" => EndpointUpdate::Snapshot,
        "restored" => EndpointUpdate::Cached,
        "unavailable" => EndpointUpdate::Unavailable,
        other => return Err(fields.invalid("form", format!("unknown form `{other}`"))),
    };
    let number = fields.optional_text("buffer")?;
    let _epoch = fields.optional_text("epoch")?;
    if kind == EndpointUpdate::Unavailable {
        return Ok(Event::EndpointList(kind, Vec::new()));
    }
    let list = number.and_then(|number| number.parse::<u64>().ok()).and_then(|number| lists.get(&number));
    let list = list.ok_or_else(|| fields.invalid("buffer", "there is no list with this number"))?;
    let with_host_id =
        |listed: &ListEntry| EndpointEntry { host: instance.host_id(&listed.host), ..listed.entry.clone() };
    Ok(Event::EndpointList(kind, list.iter().map(with_host_id).collect()))
}

fn request_arrived(fields: &mut Fields, instance: &mut Instance) -> Result<Event, WireError> {
    let name = fields.text("handle")?;
    let class = fields.u32("lane")? as usize;
    let millis_since_write = fields.optional_number("sinceWriteMs")?;
    let is_client_retry = fields.flag("againByClient")?;
    let tenant = fields.count("userGroup")? as usize;
    let group = fields.count("dbNo")?;
    let _write = fields.flag("write")?;
    let _cost = fields.optional_number("costGuess")?;
    let timeout = fields.seconds("ttl")?;
    let session = fields.optional_text("clientKey")?.map(SessionId::of);
    let id = instance.register_request(name).ok_or_else(|| fields.invalid("handle", "already in use"))?;
    let time_since_write = millis_since_write
        .filter(|millis| *millis > 0.0)
        .map(|millis| TimeDelta((millis * MICROS_PER_MILLI).floor() as i64));
    Ok(Event::RequestArrived(Request {
        id,
        class,
        group,
        tenant,
        time_since_write,
        is_client_retry,
        timeout,
        session,
    }))
}

fn attempt_ended(fields: &mut Fields, instance: &mut Instance) -> Result<Option<Event>, WireError> {
    let name = fields.text("handle")?;
    let attempt = fields.u32("copy")?;
    let host = fields.text("host")?;
    let outcome = outcome(fields)?;
    let latency = latency(fields)?;
    let request_closed = fields.flag("closed")?;
    let progress = fields.optional_number("progress")?.unwrap_or(0.0) as i64;
    let stats = fields.optional_text("serverStats")?;
    let report = instance.load_report(stats, fields)?;
    // The two lowest bits hold the role, the others the position in milliseconds.
    let role = match progress & 3 {
        1 => Some(Role::Primary),
        2 => Some(Role::Replica),
        _ => None,
    };
    let millis = Some(progress >> 2).filter(|millis| *millis > 0);
    let position = millis.map(|millis| instance.position_from_millis(millis));
    let Some(id) = instance.request_id(name) else { return Ok(None) };
    let host = instance.host_id(host);
    instance.attempt_ended(id);
    if request_closed {
        instance.request_finished(id);
    }
    // In the simulator a host reports its role only in answers that arrive.
    let answer_lost = false;
    let result = AttemptResult {
        id,
        attempt,
        host,
        outcome,
        latency,
        request_closed,
        position,
        role,
        answer_lost,
        report,
    };
    Ok(Some(Event::AttemptEnded(result)))
}

fn health_checked(fields: &mut Fields, instance: &mut Instance) -> Result<Event, WireError> {
    let host = fields.text("host")?;
    let outcome = outcome(fields)?;
    let latency = latency(fields)?;
    let stats = fields.optional_text("serverStats")?;
    let report = instance.load_report(stats, fields)?;
    Ok(Event::HealthChecked { host: instance.host_id(host), outcome, latency, report })
}

fn client_disconnected(fields: &mut Fields, instance: &mut Instance) -> Result<Option<Event>, WireError> {
    let name = fields.text("handle")?;
    let Some(id) = instance.request_id(name) else { return Ok(None) };
    instance.request_finished(id);
    Ok(Some(Event::ClientDisconnected(id)))
}

fn response_started(fields: &mut Fields, instance: &mut Instance) -> Result<Option<Event>, WireError> {
    let name = fields.text("handle")?;
    let attempt = fields.u32("copy")?;
    let _host = fields.text("host")?;
    let _latency = fields.optional_number("lag")?;
    Ok(instance.request_id(name).map(|id| Event::ResponseStarted { id, attempt }))
}

fn peer_message(fields: &mut Fields) -> Result<Event, WireError> {
    let from = fields.u32("who")?;
    let data = match fields.optional_text("payload")? {
        None => Vec::new(),
        Some(text) => STANDARD.decode(text).map_err(|error| fields.invalid("payload", error.to_string()))?,
    };
    Ok(Event::PeerMessage { from, data })
}

fn latency(fields: &mut Fields) -> Result<TimeDelta, WireError> {
    let seconds = fields.optional_number("lag")?.unwrap_or(0.0);
    Ok(TimeDelta(micros_from_seconds(seconds)))
}

fn outcome(fields: &mut Fields) -> Result<Outcome, WireError> {
    Ok(match fields.u64("outcome")? {
        1 => Outcome::Ok,
        0 => Outcome::Error,
        2 => Outcome::Overloaded,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        8 => Outcome::Misdirected,
        other => return Err(fields.invalid("outcome", format!("unknown outcome `{other}`"))),
    })
}
