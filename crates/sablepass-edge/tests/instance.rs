// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Lines of the instance list. Processes of all versions compare their texts, so a line of a target
//! that is not cold must not change.

use sablepass_edge::instance::Instance;

const LINE: &str = r#"{"role":"target","hall":"ba-1","addr":"10.1.0.7:8180","leaving":false,"serves":"orders","capacity":12,"born":7}"#;

#[test]
fn verify_only_the_line_of_a_cold_target_states_its_cold_time() {
    let line = Instance::parse(LINE).expect("a valid line");
    assert_eq!((line.cold, line.text().as_str()), (0, LINE));
    let cold = Instance { cold: 2_900, ..line };
    let text = LINE.replace(r#""born":7"#, r#""born":7,"cold":2900"#);
    assert_eq!(cold.text(), text);
    assert_eq!(Instance::parse(&text).expect("a valid line"), cold);
}
