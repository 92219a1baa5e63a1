//! Metrics of members, facts and configuration.

use super::gauge_value;
use super::label::{ConfigurationEvent, Fact, Member, MemberState};
use super::registrar::Registrar;
use monsoonring_configuration::id::Revision;
use monsoonring_decision::fact;
use monsoonring_decision::member::State;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;

/// Metrics of the control task.
#[derive(Debug, Default)]
pub struct Control {
    revision: Gauge,
    configuration: Family<ConfigurationEvent, Counter>,
    conflicts: Gauge,
    /// Failed reads and watches of the configuration service.
    pub service_failures: Counter,
    members: Family<Member, Gauge>,
    changes: Family<Member, Counter>,
    isolated: Gauge,
    ready: Gauge,
    /// Detected pauses of the process.
    pub pauses: Counter,
    facts: Family<Fact, Counter>,
}

impl Control {
    pub(super) fn register(registrar: &mut Registrar) -> Self {
        let control = Self::default();
        control.register_configuration(registrar);
        control.register_members(registrar);
        control
    }

    fn register_configuration(&self, registrar: &mut Registrar) {
        registrar.add(
            "configuration_revision",
            "Revision of the configuration in force",
            self.revision.clone(),
        );
        registrar.add(
            "configuration_events",
            "Documents decided on, by what was decided",
            self.configuration.clone(),
        );
        registrar.add(
            "configuration_conflicts",
            "Documents seen that share a revision with another one",
            self.conflicts.clone(),
        );
        registrar.add(
            "configuration_service_failures",
            "Reads and watches of the configuration service that failed",
            self.service_failures.clone(),
        );
    }

    fn register_members(&self, registrar: &mut Registrar) {
        registrar.add("members", "Known members, by state", self.members.clone());
        registrar.add(
            "member_changes",
            "Changes of members, by the state they came to",
            self.changes.clone(),
        );
        registrar.add(
            "isolated",
            "1 where so many members died at once that this daemon is probably cut off",
            self.isolated.clone(),
        );
        registrar.add(
            "ready",
            "1 where the daemon takes new work, as far as members and configuration go",
            self.ready.clone(),
        );
        registrar.add(
            "pauses",
            "Times that the process was paused",
            self.pauses.clone(),
        );
        registrar.add(
            "facts",
            "Facts that were new here, by kind and where they came from",
            self.facts.clone(),
        );
    }

    /// Sets the revision of the configuration in force.
    pub fn set_revision(&self, revision: Revision) {
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// Records what was decided on a configuration document.
    pub fn record_configuration_event(&self, event: &'static str) {
        let label = ConfigurationEvent { event };
        self.configuration.get_or_create(&label).inc();
    }

    /// Records a member's change to the given state.
    pub fn record_member_change(&self, state: State) {
        let state = member_state(state);
        self.changes.get_or_create(&Member { state }).inc();
    }

    /// Sets the number of members in each state.
    pub fn set_members(&self, states: impl Iterator<Item = State>) {
        let mut counts = [
            (MemberState::Alive, 0),
            (MemberState::Suspect, 0),
            (MemberState::Left, 0),
            (MemberState::Dead, 0),
        ];
        for state in states.map(member_state) {
            for (_, count) in counts.iter_mut().filter(|(counted, _)| *counted == state) {
                *count += 1;
            }
        }
        for (state, count) in counts {
            let gauge = self.members.get_or_create(&Member { state });
            gauge.set(gauge_value(count));
        }
    }

    /// Sets whether the daemon is ready and isolated, and the number of conflicting documents seen.
    pub fn set_readiness(&self, ready: bool, isolated: bool, conflicts: u64) {
        self.ready.set(i64::from(ready));
        self.isolated.set(i64::from(isolated));
        self.conflicts
            .set(i64::try_from(conflicts).unwrap_or(i64::MAX));
    }

    /// Records a new fact, `learned` by this daemon or `heard` from another.
    pub fn record_fact(&self, key: &fact::Key, source: &'static str) {
        let kind = match key {
            fact::Key::Leaving(_) => "leaving",
            fact::Key::Suspect(_) => "crashing_request",
            fact::Key::CrashEvidence(..) => "crash_evidence",
        };
        self.facts.get_or_create(&Fact { kind, source }).inc();
    }
}

fn member_state(state: State) -> MemberState {
    match state {
        State::Alive => MemberState::Alive,
        State::Suspect => MemberState::Suspect,
        State::Dead => MemberState::Dead,
        State::Left { .. } => MemberState::Left,
    }
}
