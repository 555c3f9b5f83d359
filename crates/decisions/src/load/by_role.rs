//! Values kept separately for each host role.

use crate::interface::Role;

/// One value for each role.
#[derive(Clone, Copy, Debug, Default)]
pub struct ByRole<T> {
    /// The value for the primary.
    pub primary: T,
    /// The value for the replicas.
    pub replica: T,
}

impl<T> ByRole<T> {
    /// Returns the value for `role`.
    pub fn get(&self, role: Role) -> &T {
        match role {
            Role::Primary => &self.primary,
            Role::Replica => &self.replica,
        }
    }

    /// Returns a mutable reference to the value for `role`.
    pub fn get_mut(&mut self, role: Role) -> &mut T {
        match role {
            Role::Primary => &mut self.primary,
            Role::Replica => &mut self.replica,
        }
    }
}
