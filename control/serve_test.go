package control

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/routing"
)

// TestReplicaBehindItsSubscriberIsStale guards against a subscriber that has a later configuration
// than the replica to which it turns: whatever the replica knows of its leader, it is behind.
func TestReplicaBehindItsSubscriberIsStale(t *testing.T) {
	machine, err := stateMachineFromSnapshot(nil)
	if err != nil {
		t.Fatal(err)
	}
	machine.routing.Config.Version = 29
	// A single voter becomes the leader and is up to date.
	r := &Replica{
		machine: machine,
		core: consensus.New(consensus.Config{
			ID:                1,
			ElectionTimeout:   time.Second,
			HeartbeatInterval: 100 * time.Millisecond,
			Snapshot: consensus.Snapshot{
				Index:      1,
				Term:       1,
				Membership: consensus.Membership{Replicas: []consensus.Replica{{ID: 1, Voter: true}}},
			},
		}),
	}
	now := 10 * time.Second
	r.core.Tick(now)
	r.core.Output()
	r.core.Persisted()
	for version, want := range map[routing.Version]bool{
		28: false,
		29: false,
		43: true,
	} {
		if got := r.staleFor(&subscriber{routingVersion: version}, now); got != want {
			t.Errorf("got stale %t for a subscriber with configuration %d, want %t", got, version, want)
		}
	}
}

// TestRosterChangesAreSentTogether signals far more changes than a subscriber can take, as restarts
// of hundreds of nodes do. Updates must not follow each other faster than minUpdateInterval.
func TestRosterChangesAreSentTogether(t *testing.T) {
	const length = 300 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	r := &Replica{ctx: ctx}
	s := &subscriber{notify: make(chan struct{}, 1)}
	go func() {
		for ctx.Err() == nil {
			s.notify <- struct{}{}
		}
	}()
	updates := 0
	for r.awaitChange(ctx, s, nil) {
		updates++
	}
	if limit := int(length/minUpdateInterval) + 1; updates > limit || updates < limit/2 {
		t.Errorf("got %d updates in %s, want %d to %d", updates, length, limit/2, limit)
	}
	<-s.notify
}

// TestPanicInStateMachineIsContained applies a command that makes the state machine panic. It would do
// so on every replica at every start, so it must not end the process.
func TestPanicInStateMachineIsContained(t *testing.T) {
	out := &bytes.Buffer{}
	r := &Replica{
		cfg:     Config{Log: event.New(out, "c1")},
		machine: &stateMachine{},
	}
	r.applyCommand(Command{Join: &ledger.Join{}})
	if !strings.Contains(out.String(), "stateMachine") {
		t.Errorf("got log %q, want the panic in it", out)
	}
}

// TestPanicInReplicaStopsIt makes the control loop panic. The replica must stop as after a disk
// failure, so that the process is started again, and waiting callers must be released.
func TestPanicInReplicaStopsIt(t *testing.T) {
	r := &Replica{
		cfg:     Config{Log: event.New(io.Discard, "c1")},
		machine: &stateMachine{},
		core: consensus.New(consensus.Config{
			ID:              1,
			ElectionTimeout: time.Second,
		}),
		table:        roster.New(),
		work:         make(chan func(), 1),
		failedSignal: make(chan struct{}),
		ctx:          t.Context(),
	}
	ran := make(chan bool)
	go func() { ran <- r.do(func() { panic("unexpected") }) }()
	r.iterate(nil)
	<-ran
	select {
	case <-r.Failed():
	default:
		t.Error("got a replica that goes on after a panic in its loop, want it stopped")
	}
}
