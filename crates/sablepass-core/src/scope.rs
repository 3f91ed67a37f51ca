// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The regions to which a request may be sent, as its route and its customer declare them.

use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

/// Set of regions to which a request may be sent. The default allows all regions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scope(Option<Rc<BTreeSet<String>>>);

impl Scope {
    /// Allows all regions.
    pub const ANY: Self = Self(None);

    /// Allows the regions that are in all of the lists. An empty list restricts nothing.
    pub fn intersection<'a>(lists: impl IntoIterator<Item = &'a [String]>) -> Self {
        let restricting = lists.into_iter().filter(|it| !it.is_empty());
        let sets = restricting.map(|it| it.iter().cloned().collect::<BTreeSet<String>>());
        Self(sets.reduce(|common, it| &common & &it).map(Rc::new))
    }

    /// Whether a target may get the request. `region` is that of the target's data hall; none if
    /// the region is unknown, which only [`Scope::ANY`] allows.
    pub fn allows(&self, region: Option<&str>) -> bool {
        self.0.as_ref().is_none_or(|it| region.is_some_and(|region| it.contains(region)))
    }

    /// Whether all regions are allowed.
    pub fn is_any(&self) -> bool {
        self.0.is_none()
    }

    /// Whether a target can be in both scopes.
    pub fn overlaps(&self, other: &Self) -> bool {
        match (&self.0, &other.0) {
            (Some(regions), Some(others)) => !regions.is_disjoint(others),
            _ => true,
        }
    }
}

/// The regions, separated by commas, for log lines.
impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(regions) = &self.0 else { return f.write_str("any") };
        if regions.is_empty() {
            return f.write_str("none");
        }
        let names: Vec<&str> = regions.iter().map(String::as_str).collect();
        f.write_str(&names.join(","))
    }
}
