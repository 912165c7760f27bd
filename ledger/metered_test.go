package ledger

import (
	"fmt"
	"testing"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// newMetered returns a ledger with a metered budget of 1000 tokens and two holders.
func newMetered() (s *State, a, b fleet.Holder) {
	s = New()
	s.Advance(1_000_000)
	s.SetMeteredPrepaid("w", 1000)
	a = fleet.Holder{
		Node:        "a",
		Incarnation: 1,
	}
	b = fleet.Holder{
		Node:        "b",
		Incarnation: 1,
	}
	s.Join(a)
	s.Join(b)
	return s, a, b
}

// TestNeedGoesBeforeWishes has one holder give back what another needs, and ask for it
// again at once: the one that needs it gets it.
func TestNeedGoesBeforeWishes(t *testing.T) {
	s, a, b := newMetered()
	if got, _ := s.ChangeLease(LeaseChange{
		Holder:       a,
		Budget:       "w",
		Seq:          1,
		Want:         5000,
		HoldPerMille: 900,
	}); got.Granted != 900 {
		t.Fatalf("got %d granted, want 900", got.Granted)
	}
	need := LeaseChange{
		Holder:       b,
		Budget:       "w",
		Seq:          1,
		Need:         600,
		HoldPerMille: 900,
	}
	got, recalls := s.ChangeLease(need)
	if got.Granted != 0 || len(recalls) != 1 || !got.Recalling {
		t.Fatalf("got %+v and recalls %v, want a recall", got, recalls)
	}
	s.ChangeLease(LeaseChange{
		Holder:        a,
		Budget:        "w",
		Seq:           2,
		Returned:      900,
		AnswersRecall: true,
	})
	if got, _ := s.ChangeLease(LeaseChange{
		Holder:       a,
		Budget:       "w",
		Seq:          3,
		Want:         5000,
		HoldPerMille: 900,
	}); got.Granted != 0 {
		t.Errorf("got %d granted to a wish while a need waits, want 0", got.Granted)
	}
	need.Seq = 2
	if got, _ := s.ChangeLease(need); got.Granted != 600 {
		t.Errorf("got %d granted to the need, want 600", got.Granted)
	}
	s.Advance(1_000_000 + 2*fleet.UnixMillis(scarceTime.Milliseconds()))
	if got, _ := s.ChangeLease(LeaseChange{
		Holder:       a,
		Budget:       "w",
		Seq:          4,
		Want:         5000,
		HoldPerMille: 900,
	}); got.Granted != 400 {
		t.Errorf("got %d granted to a wish later, want 400", got.Granted)
	}
}

// TestHolderThatWasGrantedMoreIsRecalledAgain has a holder answer a recall, take quota
// again at once, and another need it: the pause between recalls must not make the budget
// look spent while the holder has plenty.
func TestHolderThatWasGrantedMoreIsRecalledAgain(t *testing.T) {
	s, a, b := newMetered()
	change := func(holder fleet.Holder, seq uint64, give, need fleet.Tokens) LeaseResult {
		result, _ := s.ChangeLease(LeaseChange{
			Holder:        holder,
			Budget:        "w",
			Seq:           seq,
			Returned:      give,
			Need:          need,
			HoldPerMille:  900,
			AnswersRecall: give > 0,
		})
		return result
	}
	change(a, 1, 0, 900)
	if got := change(b, 1, 0, 600); !got.Recalling {
		t.Fatalf("got %+v, want a recall", got)
	}
	change(a, 2, 900, 0)
	// The holder needs quota again before the other one asks.
	change(a, 3, 0, 800)
	if got := change(b, 2, 0, 600); got.Granted == 0 && !got.Recalling {
		t.Errorf("got %+v, want another recall: the holder has 800", got)
	}
	change(a, 4, 800, 0)
	if got := change(b, 3, 0, 600); got.Granted != 600 {
		t.Errorf("got %d granted, want 600", got.Granted)
	}
	// Now the holder has nothing to give and was granted nothing since.
	if got := change(b, 4, 0, 500); got.Granted != 0 || got.Recalling {
		t.Errorf("got %+v, want that nobody is left to ask", got)
	}
}

// TestRestartOfAllAsksNobody restarts all nodes of a large fleet at once, as a loss of power
// does. Their metered leases have ended with their lives, so that there is nothing to confirm.
func TestRestartOfAllAsksNobody(t *testing.T) {
	const nodes = 82
	s := New()
	s.Advance(1_000_000)
	s.SetMeteredPrepaid("w", 1_000_000)
	join := func(life uint64) {
		for i := range nodes {
			holder := fleet.Holder{Node: fleet.NodeID(fmt.Sprint(i))}
			holder.Incarnation, _ = s.AssignIncarnation(Join{
				Holder: holder,
				Nonce:  life,
			})
			s.ChangeLease(LeaseChange{
				Holder:       holder,
				Budget:       "w",
				Seq:          1,
				Want:         100,
				HoldPerMille: 10,
			})
		}
	}
	join(1)
	join(2)
	asked := 0
	for i := range nodes {
		asked += len(s.UnconfirmedBy(fleet.NodeID(fmt.Sprint(i))))
	}
	if asked != 0 {
		t.Errorf("got %d confirmations asked for, want none", asked)
	}
	if err := s.Check(); err != nil {
		t.Error(err)
	}
}
