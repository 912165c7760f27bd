// Package flood attacks real processes with clients that keep no rules, while ordinary callers
// use the same listeners. The attacks are the scripts in testdata.
package flood
