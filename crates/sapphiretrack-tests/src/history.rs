//! Histories of concurrent operations, and their check for linearizability by a library.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// Records calls and responses in the order in which they are seen; clones share the record.
///
/// Each operation counts as a process of its own, so that one whose outcome stays unknown does
/// not block the next of the same client.
#[derive(Clone, Debug)]
pub struct HistoryRecorder<Operation> {
    record: Arc<Mutex<Record<Operation>>>,
}

/// What was recorded so far.
#[derive(Debug)]
struct Record<Operation> {
    next_call: usize,
    actions: Vec<(usize, Action<Operation>)>,
    open: BTreeMap<usize, Operation>,
}

/// An operation under way; dropping it leaves its outcome unknown.
#[derive(Debug)]
#[must_use = "an operation that is not answered counts as unknown"]
pub struct OpenCall<Operation> {
    record: Arc<Mutex<Record<Operation>>>,
    call: usize,
}

impl<Operation> HistoryRecorder<Operation>
where
    Operation: Clone,
{
    /// An empty record.
    pub fn new() -> Self {
        let record = Record {
            next_call: 0,
            actions: Vec::new(),
            open: BTreeMap::new(),
        };
        Self {
            record: Arc::new(Mutex::new(record)),
        }
    }

    /// Notes that an operation is called now; its result is still open.
    pub fn call(&self, operation: Operation) -> OpenCall<Operation> {
        let mut record = lock(&self.record);
        let call = record.next_call;
        record.next_call += 1;
        record.actions.push((call, Action::Call(operation.clone())));
        record.open.insert(call, operation);
        OpenCall {
            record: self.record.clone(),
            call,
        }
    }

    /// Whether some order of the operations, each between its call and its response, explains all
    /// results.
    ///
    /// An operation without a response is taken to respond after all others with the operation as
    /// it was called: the specification has to accept that in every state, taking effect or not.
    pub fn is_linearizable<Spec>(&self) -> bool
    where
        Spec: Specification<Operation = Operation>,
    {
        let record = lock(&self.record);
        let mut actions = record.actions.clone();
        for (call, operation) in &record.open {
            actions.push((*call, Action::Response(operation.clone())));
        }
        drop(record);
        actions.is_empty() || WGLChecker::<Spec>::is_linearizable(History::from_actions(actions))
    }

    /// How many operations were called and not withdrawn.
    pub fn len(&self) -> usize {
        let record = lock(&self.record);
        let calls = record.actions.iter();
        calls
            .filter(|(_, action)| matches!(action, Action::Call(_)))
            .count()
    }

    /// Whether nothing was recorded.
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

impl<Operation> OpenCall<Operation> {
    /// Notes the operation with its result.
    pub fn respond(self, operation: Operation) {
        let mut record = lock(&self.record);
        record.open.remove(&self.call);
        record
            .actions
            .push((self.call, Action::Response(operation)));
    }

    /// Takes the operation out of the record: it certainly had no effect and no result.
    pub fn withdraw(self) {
        let mut record = lock(&self.record);
        record.open.remove(&self.call);
        record.actions.retain(|(call, _)| *call != self.call);
    }
}

fn lock<Operation>(record: &Mutex<Record<Operation>>) -> MutexGuard<'_, Record<Operation>> {
    record.lock().unwrap_or_else(PoisonError::into_inner)
}
