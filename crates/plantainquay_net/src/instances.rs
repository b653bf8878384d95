//! The platform's list of instances, as it was last read.

use std::sync::Arc;

use parking_lot::RwLock;
use plantainquay_schema::Instance;

/// The list of instances; empty until it was read once.
#[derive(Debug, Default)]
pub struct InstanceView {
    instances: RwLock<Arc<Vec<Instance>>>,
}

impl InstanceView {
    /// The list as it was last read.
    #[must_use]
    pub fn get(&self) -> Arc<Vec<Instance>> {
        Arc::clone(&self.instances.read())
    }

    /// Replaces the list.
    pub(crate) fn set(&self, instances: Vec<Instance>) {
        *self.instances.write() = Arc::new(instances);
    }
}
