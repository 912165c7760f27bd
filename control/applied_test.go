package control

import (
	"fmt"
	"io"
	"os"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/rapidseed"
	"github.com/waxwingreel/waxwingreel/routing"
)

func TestMain(m *testing.M) {
	os.Exit(rapidseed.Main(m, 1000))
}

// weights returns the weight of each route.
func weights(c routing.Config) map[string]int {
	w := map[string]int{}
	for _, r := range c.Routes {
		w[r.Prefix] = r.Targets[0].Weight
	}
	return w
}

// appliedLog is a log of configurations that replicas apply in runs of any length.
type appliedLog struct {
	configs  []routing.Config
	replicas []*Replica
	nodes    []routing.Config
}

func newAppliedLog(t *testing.T) *appliedLog {
	l := &appliedLog{
		replicas: make([]*Replica, 3),
		nodes:    make([]routing.Config, 3),
	}
	for i := range l.replicas {
		l.replicas[i], _ = newLoneLeader(t)
		l.replicas[i].cfg.Log = event.New(io.Discard, "r")
	}
	return l
}

func (l *appliedLog) replica(t *rapid.T, label string) *Replica {
	return l.replicas[rapid.IntRange(0, len(l.replicas)-1).Draw(t, label)]
}

// change commits a configuration of few possible routes, so that they often come and go.
func (l *appliedLog) change(t *rapid.T) {
	c := routing.Config{Version: routing.Version(len(l.configs) + 1)}
	for i := range 4 {
		if weight := rapid.IntRange(0, 2).Draw(t, "weight"); weight > 0 {
			c.Routes = append(c.Routes, routing.Route{
				Host:    "host",
				Prefix:  fmt.Sprintf("/%d", i),
				Targets: []routing.Target{{Weight: weight}},
			})
		}
	}
	l.configs = append(l.configs, c)
}

// apply applies a run of entries to a replica, as after a restart or a pause.
func (l *appliedLog) apply(t *rapid.T) {
	r := l.replica(t, "replica")
	first := int(r.machine.routing.Config.Version)
	var entries []consensus.Entry
	for i, c := range l.configs[first:min(first+rapid.IntRange(1, 5).Draw(t, "run"), len(l.configs))] {
		data, err := cbor.Marshal(Command{Configure: &Configuration{Config: c}})
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, consensus.Entry{
			Index: consensus.Index(first + i + 1),
			Kind:  consensus.EntryCommand,
			Data:  data,
		})
	}
	r.apply(entries)
}

// install gives a replica the snapshot of another one.
func (l *appliedLog) install(t *rapid.T) {
	from, r := l.replica(t, "from"), l.replica(t, "to")
	if from.machine.routing.Config.Version <= r.machine.routing.Config.Version {
		return
	}
	data, err := from.machine.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if r.machine, err = stateMachineFromSnapshot(data); err != nil {
		t.Fatal(err)
	}
}

// update sends a node what a replica has newer.
func (l *appliedLog) update(t *rapid.T) {
	r := l.replica(t, "replica")
	node := rapid.IntRange(0, len(l.nodes)-1).Draw(t, "node")
	whole, delta := r.newerRouting(&subscriber{
		routingVersion: l.nodes[node].Version,
		routingDeltas:  true,
	})
	switch {
	case whole != nil:
		l.nodes[node] = *whole
	case delta != nil:
		next, ok := l.nodes[node].With(*delta)
		if !ok {
			t.Fatalf("got a delta from version %d to a node with %d", delta.From, l.nodes[node].Version)
		}
		l.nodes[node] = next
	}
}

// TestChangesAppliedTogetherAreLostToDeltas lets replicas apply configurations in runs of any length, install snapshots and
// send deltas to nodes that change replicas. Guards against a node that has a version without a change that belongs to it,
// since its replica recorded only the last of several versions that it applied together.
func TestChangesAppliedTogetherAreLostToDeltas(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newAppliedLog(t)
		rt.Repeat(map[string]func(*rapid.T){
			"change":  l.change,
			"apply":   l.apply,
			"install": l.install,
			"update":  l.update,
			"": func(t *rapid.T) {
				for _, node := range l.nodes {
					if node.Version == 0 {
						continue
					}
					if got, want := weights(node), weights(l.configs[node.Version-1]); !reflect.DeepEqual(got, want) {
						t.Fatalf("got routes %v at version %d, want %v", got, node.Version, want)
					}
				}
			},
		})
	})
}
