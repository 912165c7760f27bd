package control

import (
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// TestPresenceCountsFromWhatTheHolderHadAcknowledged plays the example of the doc
// comment, and the cases in which the leader must not say anything.
func TestPresenceCountsFromWhatTheHolderHadAcknowledged(t *testing.T) {
	holder := fleet.Holder{
		Node:        "n1",
		Incarnation: 4,
	}
	second := time.Second
	p := presence{}
	since := func(at time.Duration) time.Duration {
		join := ledger.Join{
			Holder:          fleet.Holder{Node: "n1"},
			SinceLastChange: time.Hour,
		}
		p.complete(&join, at)
		return join.SinceLastChange
	}
	if got, want := since(49*second), time.Duration(0); got != want {
		t.Errorf("got %v for a holder that was never seen, want %v", got, want)
	}
	p.applied(Sequence{
		Holder:       holder,
		Number:       7,
		Acknowledged: 6,
	}, 50*second)
	if got, want := since(51*second), time.Duration(0); got != want {
		t.Errorf("got %v though command 6 was another leader's, want %v", got, want)
	}
	p.applied(Sequence{
		Holder:       holder,
		Number:       8,
		Acknowledged: 7,
	}, 50*second+300*time.Millisecond)
	if got, want := since(52*second+100*time.Millisecond), 2100*time.Millisecond; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	// A command that was made without the answer to the one before it counts from
	// the last answer that the holder had.
	p.applied(Sequence{
		Holder:       holder,
		Number:       9,
		Acknowledged: 7,
	}, 55*second)
	if got, want := since(56*second), 6*second; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	// An earlier command that arrives again changes nothing.
	p.applied(Sequence{
		Holder:       holder,
		Number:       8,
		Acknowledged: 7,
	}, 57*second)
	if got, want := since(58*second), 8*second; got != want {
		t.Errorf("got %v after a late copy, want %v", got, want)
	}
	next := fleet.Holder{
		Node:        "n1",
		Incarnation: 5,
	}
	p.applied(Sequence{
		Holder: next,
		Number: 1,
	}, 60*second)
	if got, want := since(61*second), time.Duration(0); got != want {
		t.Errorf("got %v for a life with one command, want %v", got, want)
	}
}
