// Package prove holds the integration tests: real processes behind a
// fault-injecting relay, with load on, and an audit from outside after each case.
// The cases are the scripts in testdata; docs/PROOF.md says what each proves.
package prove
