//! Changes of deadlines and soft deadlines.

use super::effect::{Amount, Effect};
use crate::document::{Document, Route};

pub(super) fn effects(old: &Document, new: &Document) -> Vec<Effect> {
    new.routes
        .iter()
        .filter_map(|after| {
            let before = old.routes.iter().find(|before| before.name == after.name)?;
            Some(compare(before, after))
        })
        .flatten()
        .collect()
}

fn compare(before: &Route, after: &Route) -> Vec<Effect> {
    let mut effects = Vec::new();
    let deadline_ms = Amount::new(before.deadline_ms, after.deadline_ms);
    if deadline_ms.is_changed() {
        effects.push(Effect::Deadline {
            route: after.name.clone(),
            callers: after.callers.clone(),
            deadline_ms,
        });
    }
    if before.soft_deadline != after.soft_deadline {
        effects.push(Effect::PartialAnswers {
            route: after.name.clone(),
            callers: after.callers.clone(),
            before: before.soft_deadline,
            after: after.soft_deadline,
        });
    }
    effects
}
