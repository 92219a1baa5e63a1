//! Test that the committed reference documentation is up to date.

use monsoonring_configuration::reference;

#[test]
fn markdown_is_the_committed_page() {
    let committed = include_str!("../../../docs/configuration.md");
    assert!(
        reference::markdown() == committed,
        "docs/configuration.md has drifted; run \
         `cargo run -p monsoonring-configuration --example reference`"
    );
}
