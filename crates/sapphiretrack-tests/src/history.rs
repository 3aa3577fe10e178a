//! Records histories of concurrent operations and checks them for linearizability.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// Records calls and responses in the order in which they happen; clones share the record.
///
/// Each operation counts as a separate process, so that an operation whose outcome stays unknown
/// does not block later operations of the same client.
#[derive(Clone, Debug)]
pub struct HistoryRecorder<Operation> {
    record: Arc<Mutex<Record<Operation>>>,
}

/// The calls and responses so far, and the operations without a response.
#[derive(Debug)]
struct Record<Operation> {
    next_call: usize,
    actions: Vec<(usize, Action<Operation>)>,
    pending: BTreeMap<usize, Operation>,
}

/// An operation without a response yet; dropping it leaves its outcome unknown.
#[derive(Debug)]
#[must_use = "an operation without a response has an unknown outcome"]
pub struct PendingCall<Operation> {
    record: Arc<Mutex<Record<Operation>>>,
    call: usize,
}

impl<Operation> HistoryRecorder<Operation>
where
    Operation: Clone,
{
    /// Creates an empty record.
    pub fn new() -> Self {
        let record = Record {
            next_call: 0,
            actions: Vec::new(),
            pending: BTreeMap::new(),
        };
        Self {
            record: Arc::new(Mutex::new(record)),
        }
    }

    /// Records the call of an operation whose result is not known yet.
    pub fn call(&self, operation: Operation) -> PendingCall<Operation> {
        let mut record = lock(&self.record);
        let call = record.next_call;
        record.next_call += 1;
        record.actions.push((call, Action::Call(operation.clone())));
        record.pending.insert(call, operation);
        PendingCall {
            record: self.record.clone(),
            call,
        }
    }

    /// Whether the history is linearizable: some order of the operations, each placed between its
    /// call and its response, explains all results.
    ///
    /// An operation without a response is assumed to respond after all others, with the operation
    /// as it was called. The specification must accept that in every state, whether the operation
    /// took effect or not.
    pub fn is_linearizable<Spec>(&self) -> bool
    where
        Spec: Specification<Operation = Operation>,
    {
        let record = lock(&self.record);
        let mut actions = record.actions.clone();
        for (call, operation) in &record.pending {
            actions.push((*call, Action::Response(operation.clone())));
        }
        drop(record);
        actions.is_empty() || WGLChecker::<Spec>::is_linearizable(History::from_actions(actions))
    }

    /// The number of operations that were called and not withdrawn.
    pub fn len(&self) -> usize {
        let record = lock(&self.record);
        let calls = record.actions.iter();
        calls
            .filter(|(_, action)| matches!(action, Action::Call(_)))
            .count()
    }

    /// Whether no operation was recorded, or all were withdrawn.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl<Operation> Default for HistoryRecorder<Operation>
where
    Operation: Clone,
{
    fn default() -> Self {
        Self::new()
    }
}

impl<Operation> PendingCall<Operation> {
    /// Records the response: the operation with its result.
    pub fn respond(self, operation: Operation) {
        let mut record = lock(&self.record);
        record.pending.remove(&self.call);
        record
            .actions
            .push((self.call, Action::Response(operation)));
    }

    /// Removes the operation from the record, as it certainly had no effect and no result.
    pub fn withdraw(self) {
        let mut record = lock(&self.record);
        record.pending.remove(&self.call);
        record.actions.retain(|(call, _)| *call != self.call);
    }
}

fn lock<Operation>(record: &Mutex<Record<Operation>>) -> MutexGuard<'_, Record<Operation>> {
    record.lock().unwrap_or_else(PoisonError::into_inner)
}
