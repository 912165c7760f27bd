// Package prove holds the integration tests: real processes behind a relay that injects
// faults, under load, with an audit after each case that uses only what is visible from
// outside. The cases are the scripts in testdata; docs/PROOF.md says what each one shows.
package prove
