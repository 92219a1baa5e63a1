//! Queued and running attempts by id, for cancellation.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio_util::sync::CancellationToken;

#[derive(Default)]
pub(crate) struct Table {
    tokens: Mutex<HashMap<String, CancellationToken>>,
}

/// An attempt's entry in the table; removed when dropped.
pub(crate) struct Entry {
    table: Arc<Table>,
    attempt: String,
    token: CancellationToken,
}

impl Table {
    pub(crate) fn enter(self: &Arc<Self>, attempt: &str) -> Entry {
        let token = CancellationToken::new();
        self.lock().insert(attempt.to_owned(), token.clone());
        Entry {
            table: self.clone(),
            attempt: attempt.to_owned(),
            token,
        }
    }

    /// Cancels an attempt; `false` if none with this id is queued or running.
    pub(crate) fn cancel(&self, attempt: &str) -> bool {
        let token = self.lock().get(attempt).cloned();
        token.inspect(CancellationToken::cancel).is_some()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, CancellationToken>> {
        self.tokens.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry {
    pub(crate) async fn cancelled(&self) {
        self.token.cancelled().await;
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.table.lock().remove(&self.attempt);
    }
}
