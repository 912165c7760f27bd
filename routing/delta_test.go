package routing

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/rapidseed"
)

func TestMain(m *testing.M) {
	os.Exit(rapidseed.Main(m, 500))
}

// drawConfig returns a configuration of few possible parts, so that they are often removed, added again and
// changed back.
func drawConfig(t *rapid.T, version Version) Config {
	c := Config{
		Version: version,
		Limits:  Limits{HeaderBytes: rapid.IntRange(0, 2).Draw(t, "limit")},
	}
	for i := range 5 {
		weight := rapid.IntRange(0, 3).Draw(t, "weight")
		if weight == 0 {
			continue
		}
		c.Routes = append(c.Routes, Route{
			Host:    "host",
			Prefix:  fmt.Sprintf("/%d", i),
			Targets: []Target{{Weight: weight}},
		})
		c.Services = append(c.Services, Service{
			ID:             fleet.ServiceID(fmt.Sprint(i)),
			MaxConnections: weight,
		})
		c.Workspaces = append(c.Workspaces, Workspace{
			ID:   fleet.WorkspaceID(fmt.Sprint(i)),
			Keys: []string{fmt.Sprint(weight)},
		})
	}
	c.KeysRequired = len(c.Workspaces) == 0 && rapid.Bool().Draw(t, "keysRequired")
	return c
}

// sorted returns a configuration with its parts in the order of their keys.
func sorted(c Config) Config {
	c.Routes = append([]Route{}, c.Routes...)
	c.Services = append([]Service{}, c.Services...)
	c.Workspaces = append([]Workspace{}, c.Workspaces...)
	slices.SortFunc(c.Routes, func(a, b Route) int { return strings.Compare(a.Prefix, b.Prefix) })
	slices.SortFunc(c.Services, func(a, b Service) int { return strings.Compare(string(a.ID), string(b.ID)) })
	slices.SortFunc(c.Workspaces, func(a, b Workspace) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return c
}

// TestDeltaMissesChange follows configurations by deltas from the node's version or an earlier one, as after a change of
// replicas. Guards against a node that has a version without a part that belongs to it, or with one that was removed.
func TestDeltaMissesChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := drawConfig(t, 1)
		h := NewHistory(config)
		nodes := []Config{config, config, config}
		for version := Version(2); version < 12; version++ {
			config = drawConfig(t, version)
			h.Advance(config)
			for i, node := range nodes {
				if rapid.Bool().Draw(t, "late") {
					continue
				}
				from := Version(rapid.IntRange(1, int(node.Version)).Draw(t, "from"))
				d, ok := h.Since(from)
				if !ok {
					t.Fatalf("got no delta from version %d, want one", from)
				}
				next, ok := node.With(d)
				if got, want := sorted(next), sorted(config); !ok || !reflect.DeepEqual(got, want) {
					t.Fatalf("got %+v by the delta from version %d to a node with %d, want %+v", got, from, node.Version, want)
				}
				nodes[i] = next
			}
		}
	})
}

// TestDeltaIsRejected passes deltas to a configuration that they do not belong to.
func TestDeltaIsRejected(t *testing.T) {
	c := Config{Version: 5}
	for name, d := range map[string]Delta{
		"starts later":    {From: 6, To: 7},
		"leads to itself": {From: 4, To: 5},
		"leads back":      {From: 2, To: 3},
	} {
		if got, ok := c.With(d); ok || got.Version != c.Version {
			t.Errorf("%s: got version %d, %t, want %d, false", name, got.Version, ok, c.Version)
		}
	}
}

// TestHistoryIsBounded removes far more routes than a configuration has. Guards against a replica whose memory grows with
// each change; what is no longer known must not be sent as a delta.
func TestHistoryIsBounded(t *testing.T) {
	h := NewHistory(Config{Version: 1})
	for version := Version(2); version < 20; version++ {
		c := Config{Version: version}
		for i := range 1000 {
			c.Routes = append(c.Routes, Route{
				Host:   fmt.Sprint(version),
				Prefix: fmt.Sprintf("/%d", i),
			})
		}
		h.Advance(c)
	}
	if got, most := len(h.routes.changed), maxRemoved+3000; got > most {
		t.Errorf("got %d routes recorded, want %d or fewer", got, most)
	}
	if _, ok := h.Since(2); ok {
		t.Error("got a delta from version 2, which was forgotten")
	}
	if d, ok := h.Since(19); !ok || len(d.Routes.Changed)+len(d.Routes.Removed) > 0 {
		t.Errorf("got %d changed routes since the current version, %t, want 0, true", len(d.Routes.Changed), ok)
	}
}
