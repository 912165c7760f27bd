package intake

import "time"

const (
	// surgeRate is the number of connections a second, closed or refused on average over surgeSpan, from
	// which on an operator is to be told.
	surgeRate = 20
	surgeSpan = 10
)

// SurgeChange is what a second has changed.
type SurgeChange int8

// The changes.
const (
	SurgeUnchanged SurgeChange = iota
	SurgeBegun
	SurgeEnded
)

// Surge tells when so many connections are closed or refused that an operator should look.
type Surge struct {
	seconds [surgeSpan]int
	next    int
	sum     int
	lasting bool
}

// Second records how many connections were closed or refused in a second.
func (s *Surge) Second(connections int) SurgeChange {
	s.sum += connections - s.seconds[s.next]
	s.seconds[s.next] = connections
	s.next = (s.next + 1) % surgeSpan
	switch {
	case !s.lasting && s.sum >= surgeRate*surgeSpan:
		s.lasting = true
		return SurgeBegun
	case s.lasting && s.sum == 0:
		s.lasting = false
		return SurgeEnded
	}
	return SurgeUnchanged
}

// PerSecond returns the average of the last seconds.
func (s *Surge) PerSecond() float64 {
	return float64(s.sum) / surgeSpan
}

// Quiet reports whether nothing was closed or refused in the last seconds.
func (s *Surge) Quiet() bool {
	return s.sum == 0 && !s.lasting
}

// Interval is the time between two calls of Second.
const Interval = time.Second
