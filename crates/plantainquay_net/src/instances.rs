//! The most recently read list of the platform's instances.

use std::fmt;
use std::sync::Arc;

use parking_lot::RwLock;
use plantainquay_schema::Instance;

/// Called with each list that is read.
type OnUpdate = Box<dyn Fn(&[Instance]) + Send + Sync>;

/// The list of instances; empty until the first successful read.
pub struct InstanceView {
    instances: RwLock<Arc<Vec<Instance>>>,
    on_update: OnUpdate,
}

impl InstanceView {
    /// Creates an empty view; `on_update` is called with each list that is read.
    pub fn new(on_update: impl Fn(&[Instance]) + Send + Sync + 'static) -> Self {
        Self {
            instances: RwLock::default(),
            on_update: Box::new(on_update),
        }
    }

    /// Returns the most recently read list.
    #[must_use]
    pub fn get(&self) -> Arc<Vec<Instance>> {
        Arc::clone(&self.instances.read())
    }

    /// Replaces the list.
    pub(crate) fn set(&self, instances: Vec<Instance>) {
        (self.on_update)(&instances);
        *self.instances.write() = Arc::new(instances);
    }
}

impl fmt::Debug for InstanceView {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("InstanceView")
            .field("instances", &self.instances)
            .finish_non_exhaustive()
    }
}
