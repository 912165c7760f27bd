package routing

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// drawDecisive returns a configuration of few hosts, prefixes, services and keys, so that a request meets most of them.
func drawDecisive(t *rapid.T) *View {
	c := Config{Services: []Service{{ID: "s0"}, {ID: "s1"}}}
	for _, prefix := range []string{"/", "/a/"} {
		if rapid.Bool().Draw(t, "absent") {
			continue
		}
		c.Routes = append(c.Routes, Route{
			Host:   "host",
			Prefix: prefix,
			Kind:   rapid.SampledFrom([]Kind{KindIdempotent, KindOnce, KindStream}).Draw(t, "kind"),
			Targets: []Target{{
				Service: "s0",
				Weight:  rapid.IntRange(0, 1).Draw(t, "weight"),
			}, {
				Service: "s1",
				Weight:  1,
			}},
			MaxAttempts: rapid.IntRange(1, 2).Draw(t, "attempts"),
			Public:      rapid.Bool().Draw(t, "public"),
			Resumable:   rapid.Bool().Draw(t, "resumable"),
		})
	}
	for i := range rapid.IntRange(0, 2).Draw(t, "workspaces") {
		c.Workspaces = append(c.Workspaces, Workspace{
			ID:   fleet.WorkspaceID(fmt.Sprint("w", i)),
			Keys: []string{fmt.Sprint("k", rapid.IntRange(0, 2).Draw(t, "key")+3*i)},
		})
	}
	c.KeysRequired = len(c.Workspaces) == 0 && rapid.Bool().Draw(t, "keysRequired")
	return NewView(c)
}

// TestEarlierRelayOpensRoutes guards against requests that nodes of earlier versions relay, without their key, where no key is
// valid any more.
func TestEarlierRelayOpensRoutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := drawDecisive(t)
		path := rapid.SampledFrom([]string{"/x", "/a/x"}).Draw(t, "path")
		want := false
		for _, key := range []string{"", "k0", "k1", "k2", "k3", "k4", "k5"} {
			d, ok := decide(v, path, key, "id")
			d.Service = "s1"
			want = want || ok && v.Allows(d)
		}
		if got := v.AllowsService("host", path, "s1"); got != want {
			t.Fatalf("got the service of %q allowed %t, want %t", path, got, want)
		}
	})
}

// decide decides a request as a node does. It returns false if the configuration has no such route or key.
func decide(v *View, path, key string, id RequestID) (d Decision, ok bool) {
	route := v.Match("host", path)
	if route == nil {
		return d, false
	}
	d = Decision{
		Host:       "host",
		Path:       path,
		Key:        key,
		Service:    route.Choose(id),
		Repeatable: route.Repeatable(),
		Attempt:    1,
	}
	if w := v.Workspace(key); w != nil {
		d.Workspace = w.ID
	}
	return d, d.Workspace != "" || route.Public || !v.KeysNeeded()
}

// TestOutdatedDecisionIsSent compares decisions with those of a newer configuration. Guards against requests that are sent
// to a service, for a workspace, or with a right to be repeated that a node would not give them now, and against refusals of
// what it would decide in the same way.
func TestOutdatedDecisionIsSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, now := drawDecisive(t), drawDecisive(t)
		path := rapid.SampledFrom([]string{"/x", "/a/x"}).Draw(t, "path")
		key := rapid.SampledFrom([]string{"", "k0", "k1", "k3", "k4"}).Draw(t, "sent")
		d, ok := decide(before, path, key, "id")
		if !ok {
			return
		}
		newer, allowed := decide(now, path, key, "id")
		route := now.Match("host", path)
		want := allowed && newer.Workspace == d.Workspace && (newer.Repeatable || !d.Repeatable)
		if want {
			want = false
			for _, target := range route.Targets {
				want = want || target.Service == d.Service && target.Weight > 0
			}
		}
		if got := now.Allows(d); got != want {
			t.Fatalf("got %+v allowed %t, want %t", d, got, want)
		}
		d.Attempt = 2
		if got, most := now.Allows(d), want && route.MaxAttempts > 1; got != most {
			t.Fatalf("got the second attempt of %+v allowed %t, want %t", d, got, most)
		}
	})
}
