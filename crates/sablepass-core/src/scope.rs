// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The regions to which a request may be sent, as its route and its customer declare them.

use std::collections::BTreeSet;
use std::rc::Rc;

/// Set of regions to which a request may be sent. The default allows all regions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scope(Option<Rc<BTreeSet<String>>>);

impl Scope {
    /// Allows all regions.
    pub const ANY: Self = Self(None);

    /// Whether a target may get the request. `region` is that of the target's data hall; none if
    /// the region is unknown, which only [`Scope::ANY`] allows.
    pub fn allows(&self, region: Option<&str>) -> bool {
        self.0.as_ref().is_none_or(|it| region.is_some_and(|region| it.contains(region)))
    }
}
