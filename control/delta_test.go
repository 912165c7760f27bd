package control

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingreel/waxwingreel/routing"
)

// TestSmallChangeIsSentAlone adds routes one by one to a large configuration. Guards against changes that fill the links
// of hundreds of nodes with what they have already, and against a node that gets no whole configuration where it needs one.
func TestSmallChangeIsSentAlone(t *testing.T) {
	const maxBytes = 1000
	config := routing.Config{Version: 1}
	for i := range 1400 {
		config.Routes = append(config.Routes, routing.Route{
			Host:   "host",
			Prefix: fmt.Sprintf("/%d", i),
		})
	}
	r := &Replica{machine: newStateMachine()}
	r.machine.routingHistory = routing.NewHistory(config)
	for version := routing.Version(2); version < 5; version++ {
		config.Version = version
		config.Routes = append(config.Routes, routing.Route{
			Host:   "host",
			Prefix: fmt.Sprintf("/added/%d", version),
		})
		r.machine.routingHistory.Advance(config)
	}
	r.machine.routing.Config = config
	for _, test := range []struct {
		name        string
		s           *subscriber
		whole       bool
		wantChanged int
	}{
		{
			name: "one version behind",
			s: &subscriber{
				routingVersion: 3,
				routingDeltas:  true,
			},
			wantChanged: 1,
		},
		{
			name: "three versions behind",
			s: &subscriber{
				routingVersion: 1,
				routingDeltas:  true,
			},
			wantChanged: 3,
		},
		{
			name: "up to date",
			s: &subscriber{
				routingVersion: 4,
				routingDeltas:  true,
			},
		},
		{
			name:  "just started",
			s:     &subscriber{routingDeltas: true},
			whole: true,
		},
		{
			name:  "of the build before",
			s:     &subscriber{routingVersion: 3},
			whole: true,
		},
	} {
		whole, delta := r.newerRouting(test.s)
		if got := whole != nil; got != test.whole {
			t.Errorf("%s: got a whole configuration %t, want %t", test.name, got, test.whole)
		}
		changed := 0
		if delta != nil {
			changed = len(delta.Routes.Changed)
		}
		if changed != test.wantChanged {
			t.Errorf("%s: got %d changed routes, want %d", test.name, changed, test.wantChanged)
		}
		if body, err := cbor.Marshal(Update{RoutingDelta: delta}); err != nil || len(body) > maxBytes {
			t.Errorf("%s: got %d bytes (%v), want %d at the most", test.name, len(body), err, maxBytes)
		}
	}
	// A node that does not know KeysRequired must not take it for open routes.
	config.Version, config.KeysRequired = 5, true
	r.machine.routingHistory.Advance(config)
	r.machine.routing.Config = config
	old := &subscriber{
		routingVersion: 4,
		routingDeltas:  true,
	}
	if whole, _ := r.newerRouting(old); whole == nil || len(whole.Workspaces) == 0 {
		t.Errorf("got configuration %+v for a node of an earlier version, want one with a workspace that has no keys", whole)
	}
	// Nor must it lease a part of a total that is none.
	unlimited := routing.UnlimitedPrepaid
	config.Version, config.KeysRequired = 6, false
	config.Workspaces = []routing.Workspace{{
		ID:      "w",
		Prepaid: &unlimited,
	}}
	r.machine.routingHistory.Advance(config)
	r.machine.routing.Config = config
	old.routingVersion = 5
	if whole, _ := r.newerRouting(old); whole == nil || whole.Workspaces[0].Prepaid != nil {
		t.Errorf("got configuration %+v for a node of an earlier version, want one whose workspace has no total", whole)
	}
	if config.Workspaces[0].Prepaid == nil {
		t.Error("the replica's own configuration has changed")
	}
	// A change that the history has missed.
	r.machine.routing.Config.Version = 7
	if whole, delta := r.newerRouting(&subscriber{routingVersion: 6, routingDeltas: true, routingForm: RoutingForm}); whole == nil || delta != nil {
		t.Error("got no whole configuration from a replica that does not know the latest change")
	}
}
