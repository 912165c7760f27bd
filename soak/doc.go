// Package soak runs the real programs as separate processes, injects overlapping faults drawn
// from a seed, and checks during the run the guarantees to callers, instances and operators,
// using only what these can observe.
//
// A run has four phases: the fleet starts, callers and an operator send requests while
// faults are injected and removed, all faults are removed, and the fleet must serve again.
// The seed determines the faults, their times and the requests. Scheduling on the machine is
// not determined by it, so a seed that failed need not fail again. Seeds that failed once are
// kept in testdata/seeds.txt with their cause.
//
// Not covered: clocks that jump and disks that stall or fill up, which need privileges to
// simulate for a process on this machine. The tests of clock and commitlog cover these
// within a process.
package soak
