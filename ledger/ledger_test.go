package ledger

import (
	"reflect"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

const testStart fleet.UnixMillis = 1_800_000_000_000

func testID(at fleet.UnixMillis, n byte) fleet.RequestID {
	id := fleet.RequestID{}
	for i := range 6 {
		id[i] = byte(uint64(at) >> (40 - 8*i))
	}
	id[15] = n
	return id
}

func testState() (*State, fleet.Holder) {
	s := New()
	s.Advance(testStart)
	holder := fleet.Holder{
		Node:        "n1",
		Incarnation: 1,
	}
	s.Join(holder)
	s.SetPrepaid("b", 1000)
	return s, holder
}

// restore returns a copy of the ledger restored from its image, as after a restart. It
// fails the test if the image changes in the round trip.
func restore(t *testing.T, s *State) *State {
	t.Helper()
	restored := FromImage(s.Image())
	if got, want := restored.Image(), s.Image(); !reflect.DeepEqual(got, want) {
		t.Fatalf("the image changed in the round trip:\ngot  %+v\nwant %+v", got, want)
	}
	return restored
}

// TestAtMostOnceCallAttempts runs one at-most-once call through several attempts, restarts
// and the end of its retention.
func TestAtMostOnceCallAttempts(t *testing.T) {
	s, holder := testState()
	begin := func(attempt uint64, body byte) BeginResult {
		return s.Begin(Begin{
			Key: RequestKey{
				Workspace: "w",
				Request:   testID(testStart, 1),
			},
			Budget:   "b",
			Holder:   holder,
			BodyHash: fleet.Digest{body},
			Attempt:  attempt,
		})
	}
	finish := func(attempt uint64, state CallState) SettleResult {
		return s.Finish(Finish{
			Key: RequestKey{
				Workspace: "w",
				Request:   testID(testStart, 1),
			},
			Attempt:  attempt,
			State:    state,
			Response: &Response{Status: 201},
			Tokens:   7,
		})
	}
	if got := begin(1, 1); !got.Run {
		t.Fatalf("first attempt: got %+v, want to run", got)
	}
	if got := begin(1, 1); !got.Run {
		t.Errorf("the same attempt again, after a lost response: got %+v, want to run", got)
	}
	if got := begin(2, 1); got.Run || got.State != CallOpen {
		t.Errorf("another attempt while the first is open: got %+v, want open", got)
	}
	if got := begin(3, 9); !got.OtherBody {
		t.Errorf("another body: got %+v, want otherBody", got)
	}
	finish(1, CallNotRun)
	s = restore(t, s)
	if got := begin(4, 1); !got.Run {
		t.Errorf("after notRun: got %+v, want to run", got)
	}
	if got := finish(1, CallDone); got.Billed != 0 {
		t.Errorf("the late outcome of an earlier attempt was billed: %+v", got)
	}
	first := finish(4, CallDone)
	if got, want := first.Billed, fleet.Tokens(7); got != want {
		t.Errorf("got %d billed, want %d", got, want)
	}
	s = restore(t, s)
	if got := finish(4, CallDone); got != first {
		t.Errorf("the outcome again: got %+v, want %+v", got, first)
	}
	if got := begin(5, 1); got.Run || got.Response == nil || got.Response.Status != 201 || got.Billed != 7 {
		t.Errorf("a retry: got %+v, want the stored response", got)
	}
	s.Advance(testStart.Add(CallRetention + time.Second))
	if got := begin(6, 1); !got.TooOld {
		t.Errorf("after the record has expired: got %+v, want tooOld", got)
	}
}

// TestRepeatedSettlements settles one request by several attempts: in total it must be
// billed once.
func TestRepeatedSettlements(t *testing.T) {
	s, holder := testState()
	settle := func(attempt uint64, tokens fleet.Tokens, partial bool, body byte) SettleResult {
		return s.Settle(Settlement{
			Key: RequestKey{
				Workspace: "w",
				Request:   testID(testStart, 1),
				Body:      BodySum{body},
			},
			Budget:  "b",
			Holder:  holder,
			Tokens:  tokens,
			Attempt: attempt,
			Partial: partial,
		})
	}
	expect := func(name string, got SettleResult, status SettleStatus, billed, charged, settled fleet.Tokens) {
		t.Helper()
		want := SettleResult{
			Status:  status,
			Billed:  billed,
			Charged: charged,
		}
		if got != want {
			t.Errorf("%s: got %+v, want %+v", name, got, want)
		}
		if view, _ := s.Budget("b"); view.Settled != settled {
			t.Errorf("%s: got %d settled, want %d", name, view.Settled, settled)
		}
	}
	expect("partial response", settle(1, 30, true, 1), SettledNow, 30, 30, 30)
	expect("partial response repeated", settle(1, 30, true, 1), SettledNow, 30, 30, 30)
	expect("shorter partial response", settle(2, 20, true, 1), SettledBefore, 30, 0, 30)
	expect("complete response", settle(3, 100, false, 1), SettledNow, 100, 70, 100)
	s = restore(t, s)
	expect("complete response repeated", settle(3, 100, false, 1), SettledNow, 100, 70, 100)
	expect("second run of the request", settle(4, 120, false, 1), SettledBefore, 100, 0, 100)
	expect("different body under the same id", settle(5, 50, false, 2), SettledNow, 50, 50, 150)
	expect("more than the budget has left", settle(6, 900, false, 3), SettleUnbacked, 0, 0, 150)
	s.Advance(testStart.Add(SettlementRetention + time.Second))
	expect("after the record has expired", settle(7, 10, false, 1), SettleTooOld, 0, 0, 150)
}

func TestPrepaidIsNotSetBelowSettledAndLeased(t *testing.T) {
	s, holder := testState()
	s.ChangeLease(LeaseChange{
		Holder: holder,
		Budget: "b",
		Seq:    1,
		Need:   400,
	})
	if s.SetPrepaid("b", 399) {
		t.Errorf("prepaid was lowered to 399 with 400 leased")
	}
	if !s.SetPrepaid("b", 400) {
		t.Errorf("prepaid was not lowered to 400 with 400 leased")
	}
}
