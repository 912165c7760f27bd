package controlclient

import (
	"slices"
	"testing"

	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/routing"
)

// TestNodeTakesDeltas passes whole configurations and deltas to a node in the order in which replicas can send them.
// Guards against a node that has a version without the parts that belong to it, and confirms it.
func TestNodeTakesDeltas(t *testing.T) {
	route := func(prefix string) routing.Route {
		return routing.Route{
			Host:   "host",
			Prefix: prefix,
		}
	}
	added := func(from, to routing.Version, prefix string) control.Update {
		return control.Update{RoutingDelta: &routing.Delta{
			From:   from,
			To:     to,
			Routes: routing.Changes[routing.Match, routing.Route]{Changed: []routing.Route{route(prefix)}},
		}}
	}
	c := newTestClient(t, serveSilent(t, "silent", nil, nil))
	for _, step := range []struct {
		name   string
		update control.Update
		want   []string
	}{
		{
			name:   "a delta before any configuration",
			update: added(3, 4, "/c"),
		},
		{
			name: "whole",
			update: control.Update{Routing: &routing.Config{
				Version: 4,
				Routes:  []routing.Route{route("/a")},
			}},
			want: []string{"/a"},
		},
		{
			name:   "a delta from an earlier version",
			update: added(3, 5, "/b"),
			want:   []string{"/a", "/b"},
		},
		{
			name:   "the same delta again",
			update: added(3, 5, "/b"),
			want:   []string{"/a", "/b"},
		},
		{
			name:   "a delta from a later version",
			update: added(6, 7, "/c"),
			want:   []string{"/a", "/b"},
		},
	} {
		c.applyUpdate(c.Replicas()[0], step.update, nil)
		var got []string
		if view := c.knowledge.Load().routing; view != nil {
			for _, r := range view.Config.Routes {
				got = append(got, r.Prefix)
			}
		}
		if !slices.Equal(got, step.want) {
			t.Errorf("%s: got routes %q, want %q", step.name, got, step.want)
		}
	}
}
