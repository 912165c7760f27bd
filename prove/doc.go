// Package prove holds the integration tests: real processes behind fault proxies, under
// load, with an audit after each case that uses only what is visible from outside.
// The cases are the scripts in testdata; docs/PROOF.md describes what each one shows.
package prove
