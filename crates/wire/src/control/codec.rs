//! Messages of members to and from Cap'n Proto.

use super::control_capnp::{address, change, fact as wire_fact, message, version};
use monsoonring_decision::configuration::Version;
use monsoonring_decision::fact;
use monsoonring_decision::member::{
    Attachment, Change, Digest, Incarnation, MemberId, Message, State,
};
use snafu::{ResultExt, Snafu};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

/// Why a message could not be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The bytes are not a message.
    #[snafu(display("reading a control message: {source}"))]
    Malformed {
        /// What the library said.
        source: capnp::Error,
    },
    /// The message has something that only a later version knows.
    #[snafu(display("reading a control message: {source}"))]
    Newer {
        /// What the library said.
        source: capnp::NotInSchema,
    },
    /// A text is not UTF-8.
    #[snafu(display("reading a control message: {source}"))]
    Text {
        /// What the library said.
        source: std::str::Utf8Error,
    },
}

/// Result of reading a message.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Writes a message.
pub fn write(message: &Message, mut to: message::Builder<'_>) {
    write_address(message.from, to.reborrow().init_from());
    to.set_start(message.incarnation.start);
    to.set_refutation(message.incarnation.refutation);
    to.set_bucket(message.digest.bucket);
    to.set_hash(message.digest.hash);
    to.set_data_centre(&*message.data_centre);
    let mut changes = to.reborrow().init_changes(count(message.changes.len()));
    for (index, change) in (0..).zip(&message.changes) {
        write_change(change, changes.reborrow().get(index));
    }
    if let Some(version) = message.attachment.configuration {
        write_version(version, to.reborrow().init_configuration());
    }
    let mut facts = to.init_facts(count(message.attachment.facts.len()));
    for (index, fact) in (0..).zip(&message.attachment.facts) {
        write_fact(fact, facts.reborrow().get(index));
    }
}

/// Reads a message.
///
/// # Errors
///
/// Fails where the bytes are no message of this version of the protocol.
pub fn read(from: message::Reader<'_>) -> Result<Message> {
    let changes = from.get_changes().context(MalformedSnafu)?;
    let facts = from.get_facts().context(MalformedSnafu)?;
    let configuration = match from.has_configuration() {
        true => Some(read_version(
            from.get_configuration().context(MalformedSnafu)?,
        )),
        false => None,
    };
    Ok(Message {
        from: read_address(from.get_from().context(MalformedSnafu)?)?,
        incarnation: Incarnation {
            start: from.get_start(),
            refutation: from.get_refutation(),
        },
        data_centre: text(from.get_data_centre())?.into(),
        digest: Digest {
            bucket: from.get_bucket(),
            hash: from.get_hash(),
        },
        changes: changes.iter().map(read_change).collect::<Result<_>>()?,
        attachment: Attachment {
            configuration,
            facts: facts.iter().map(read_fact).collect::<Result<_>>()?,
        },
    })
}

fn write_address(address: SocketAddr, mut to: address::Builder<'_>) {
    to.set_port(address.port());
    match address.ip() {
        IpAddr::V4(ip) => to.set_v4(ip.to_bits()),
        IpAddr::V6(ip) => {
            let (high, low) = halves(ip.to_bits());
            let mut v6 = to.init_v6();
            v6.set_high(high);
            v6.set_low(low);
        }
    }
}

fn read_address(from: address::Reader<'_>) -> Result<MemberId> {
    let ip = match from.which().context(NewerSnafu)? {
        address::V4(bits) => IpAddr::V4(Ipv4Addr::from_bits(bits)),
        address::V6(v6) => IpAddr::V6(Ipv6Addr::from_bits(join(v6.get_high(), v6.get_low()))),
    };
    Ok(SocketAddr::new(ip, from.get_port()))
}

fn write_change(change: &Change, mut to: change::Builder<'_>) {
    write_address(change.id, to.reborrow().init_id());
    to.set_start(change.incarnation.start);
    to.set_refutation(change.incarnation.refutation);
    to.set_data_centre(&*change.data_centre);
    let mut state = to.init_state();
    match change.state {
        State::Alive => state.set_alive(()),
        State::Suspect => state.set_suspect(()),
        State::Dead => state.set_dead(()),
        State::Left { successor: None } => state.set_left(()),
        State::Left {
            successor: Some(successor),
        } => {
            write_address(successor, state.init_left_to());
        }
    }
}

fn read_change(from: change::Reader<'_>) -> Result<Change> {
    let state = match from.get_state().which().context(NewerSnafu)? {
        change::state::Alive(()) => State::Alive,
        change::state::Suspect(()) => State::Suspect,
        change::state::Dead(()) => State::Dead,
        change::state::Left(()) => State::Left { successor: None },
        change::state::LeftTo(successor) => {
            let successor = Some(read_address(successor.context(MalformedSnafu)?)?);
            State::Left { successor }
        }
    };
    Ok(Change {
        id: read_address(from.get_id().context(MalformedSnafu)?)?,
        incarnation: Incarnation {
            start: from.get_start(),
            refutation: from.get_refutation(),
        },
        state,
        data_centre: text(from.get_data_centre())?.into(),
    })
}

fn write_version(version: Version, mut to: version::Builder<'_>) {
    let (high, low) = halves(version.digest);
    to.set_revision(version.revision);
    to.set_digest_high(high);
    to.set_digest_low(low);
}

fn read_version(from: version::Reader<'_>) -> Version {
    let digest = join(from.get_digest_high(), from.get_digest_low());
    Version {
        revision: from.get_revision(),
        digest,
    }
}

fn write_fact(fact: &fact::Entry, mut to: wire_fact::Builder<'_>) {
    to.set_version(fact.stamp.version);
    to.set_renewal(fact.stamp.renewal);
    to.set_life_ms(u32::try_from(fact.life.as_millis()).unwrap_or(u32::MAX));
    let mut key = to.init_key();
    match &fact.key {
        fact::Key::Leaving(server) => write_address(*server, key.init_leaving()),
        fact::Key::Suspect(fingerprint) => key.set_suspect(*fingerprint),
        fact::Key::IndexVersion(route) => key.set_index_version(&**route),
    }
}

fn read_fact(from: wire_fact::Reader<'_>) -> Result<fact::Entry> {
    let key = match from.get_key().which().context(NewerSnafu)? {
        wire_fact::key::Leaving(server) => {
            fact::Key::Leaving(read_address(server.context(MalformedSnafu)?)?)
        }
        wire_fact::key::Suspect(fingerprint) => fact::Key::Suspect(fingerprint),
        wire_fact::key::IndexVersion(route) => fact::Key::IndexVersion(text(route)?.into()),
    };
    Ok(fact::Entry {
        key,
        stamp: fact::Stamp {
            version: from.get_version(),
            renewal: from.get_renewal(),
        },
        life: Duration::from_millis(from.get_life_ms().into()),
    })
}

fn text(from: capnp::Result<capnp::text::Reader<'_>>) -> Result<&str> {
    from.context(MalformedSnafu)?.to_str().context(TextSnafu)
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "the halves are cut off on purpose"
)]
fn halves(bits: u128) -> (u64, u64) {
    ((bits >> u64::BITS) as u64, bits as u64)
}

fn join(high: u64, low: u64) -> u128 {
    u128::from(high) << u64::BITS | u128::from(low)
}

/// Lists on a message are bounded by its size in bytes, far below the limit of a list.
fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
