package control

import (
	"strconv"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/quarantine"
	"github.com/waxwingreel/waxwingreel/roster"
)

func newQuarantineReplica(t *testing.T) *Replica {
	t.Helper()
	machine, err := stateMachineFromSnapshot(nil)
	if err != nil {
		t.Fatal(err)
	}
	return &Replica{
		machine: machine,
		table:   roster.New(),
		core: consensus.New(consensus.Config{
			ID:              1,
			ElectionTimeout: time.Second,
		}),
	}
}

// TestSuspensionReachesSubscribers reports crashes on a part. Every subscriber must be told of its
// suspension, once, and one that comes later too.
func TestSuspensionReachesSubscribers(t *testing.T) {
	r := newQuarantineReplica(t)
	early, late := &subscriber{}, &subscriber{}
	for i := range 3 {
		r.applyEvidence([]quarantine.Evidence{{
			Service: "s",
			Parts: []quarantine.Suspect{{
				Part:           "deadly",
				SoundAgeMillis: -1,
			}},
			Engine:    fleet.BackendServerID("e" + strconv.Itoa(i)),
			Begun:     true,
			AgeMillis: int64(3000 - 1000*i),
		}}, nil)
	}
	time.Sleep(300 * time.Millisecond)
	if !r.quarantine.Advance(clock.SinceBoot()) {
		t.Fatal("got no change, want a suspension")
	}
	for name, s := range map[string]*subscriber{
		"early": early,
		"late":  late,
	} {
		update := r.update(s)
		if update.Quarantine == nil || len(update.Quarantine.Notices) != 1 || update.Quarantine.Notices[0].State != quarantine.StateSuspended {
			t.Errorf("%s subscriber: got %+v, want the suspension", name, update.Quarantine)
		}
		if again := r.update(s).Quarantine; again != nil {
			t.Errorf("%s subscriber: got %+v again, want nothing", name, again)
		}
	}
}

// TestSuspensionSurvivesTheReplica starts a replica anew. The first heartbeat of an entry node must
// bring back the suspension, so that nodes that have started since learn of it.
func TestSuspensionSurvivesTheReplica(t *testing.T) {
	r := newQuarantineReplica(t)
	r.applyEvidence(nil, []quarantine.Notice{{
		Key: quarantine.Key{
			Service: "s",
			Part:    "deadly",
		},
		State:           quarantine.StateSuspended,
		RemainingMillis: 20000,
		PeriodMillis:    30000,
	}})
	list := r.update(&subscriber{}).Quarantine
	if list == nil || len(list.Notices) != 1 {
		t.Fatalf("got %+v, want the suspension", list)
	}
	if got, low := list.Notices[0].RemainingMillis, int64(19000); got < low || got > 20000 {
		t.Errorf("got %d ms left, want about 20000", got)
	}
}
