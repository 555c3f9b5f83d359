//! Names of the request classes, tenants and zones.

use crate::interface::{Freshness, Idempotency, RequestClass};

/// Names that clients use. Their positions are the indices that the router uses.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Request classes, in the order of [`Settings::classes`](crate::interface::Settings::classes).
    pub classes: Vec<ClassName>,
    /// Tenants, in the order of [`Settings::tenant_quotas`](crate::interface::Settings::tenant_quotas).
    pub tenants: Vec<TenantName>,
    /// Zones, by index.
    pub zones: Vec<String>,
}

/// Name of a request class, and the requirements on statements of the class.
#[derive(Clone, Debug, Default)]
pub struct ClassName {
    /// Name of the class.
    pub name: String,
    /// Whether statements of the class write.
    pub is_write: bool,
    /// Whether statements of the class must carry an idempotency key.
    pub needs_key: bool,
    /// Whether new requests may use the class. A class that a reload removes keeps its index for the requests
    /// in flight.
    pub is_configured: bool,
}

impl ClassName {
    /// Returns the entry for a class of the settings.
    pub(super) fn new(name: String, class: &RequestClass) -> Self {
        Self {
            name,
            is_write: class.freshness == Freshness::Write,
            needs_key: matches!(class.idempotency, Idempotency::WithKey(_)),
            is_configured: true,
        }
    }
}

/// Name of a tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TenantName {
    /// Name of the tenant.
    pub name: String,
    /// Whether requests may use the tenant. A tenant that a reload removes keeps its index.
    pub is_configured: bool,
}

impl Names {
    /// Returns the index of a configured tenant; `None` if there is none with this name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|tenant| tenant.is_configured && tenant.name == name)
    }

    /// Returns whether any tenant is configured. If so, every statement must name one.
    pub fn has_tenants(&self) -> bool {
        self.tenants.iter().any(|tenant| tenant.is_configured)
    }
}
