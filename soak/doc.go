// Package soak runs the real programs as separate processes, lets faults chosen by a seed
// come over them in series that overlap, and checks meanwhile what callers, instances and
// operators were promised, from what they see.
//
// A run has four parts: the fleet starts, callers and an operator work while faults come
// and go, everything is mended, and the fleet must serve again. Its seed decides the
// faults, their times and what callers ask; the machine decides the rest, so a seed need
// not fail twice. Seeds that failed once are kept in testdata/seeds.txt with their cause.
//
// Not covered from outside: clocks that jump and disks that stall or fill up, which a
// process on this machine cannot be given without privileges. The tests of clock and
// commitlog cover these below the program.
package soak
