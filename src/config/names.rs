//! Names of request classes, tenants and zones.

use crate::interface::{Freshness, Idempotency, RequestClass};

/// The names that clients use, with the indices that the router knows them by.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// The request classes, in the order of [`Settings::classes`](crate::interface::Settings::classes).
    pub classes: Vec<ClassName>,
    /// The tenants, in the order of [`Settings::tenant_quotas`](crate::interface::Settings::tenant_quotas).
    pub tenants: Vec<TenantName>,
    /// The zones, by index.
    pub zones: Vec<String>,
}

/// The name of a request class, and what a statement of the class must look like.
#[derive(Clone, Debug, Default)]
pub struct ClassName {
    /// Its name.
    pub name: String,
    /// Whether its statements write.
    pub is_write: bool,
    /// Whether its statements must carry an idempotency key.
    pub needs_key: bool,
    /// Whether new requests may name it. A class that a reloaded configuration leaves out keeps its index for the
    /// requests in flight.
    pub is_configured: bool,
}

impl ClassName {
    /// Returns the name of a class of the settings.
    pub(super) fn new(name: String, class: &RequestClass) -> Self {
        Self {
            name,
            is_write: class.freshness == Freshness::Write,
            needs_key: matches!(class.idempotency, Idempotency::WithKey(_)),
            is_configured: true,
        }
    }
}

/// The name of a tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TenantName {
    /// Its name.
    pub name: String,
    /// Whether requests may name it. A tenant that a reloaded configuration leaves out keeps its index.
    pub is_configured: bool,
}

impl Names {
    /// Returns the index of a configured tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|tenant| tenant.is_configured && tenant.name == name)
    }

    /// Returns whether any tenant is configured: each statement must name one then.
    pub fn has_tenants(&self) -> bool {
        self.tenants.iter().any(|tenant| tenant.is_configured)
    }
}
