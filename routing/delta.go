package routing

import (
	"maps"
	"reflect"
	"slices"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// maxRemoved bounds the removed parts that a History keeps, beside as many as there are present ones.
const maxRemoved = 4096

// Match identifies a route: no two routes have the same host and prefix.
type Match struct {
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
}

// Delta leads from any configuration of the versions From to To to the one of version To.
type Delta struct {
	From       Version                               `json:"from"`
	To         Version                               `json:"to"`
	Routes     Changes[Match, Route]                 `json:"routes,omitzero"`
	Services   Changes[fleet.ServiceID, Service]     `json:"services,omitzero"`
	Workspaces Changes[fleet.WorkspaceID, Workspace] `json:"workspaces,omitzero"`
	// KeysRequired and Limits are those of the version To.
	KeysRequired bool   `json:"keysRequired,omitempty"`
	Limits       Limits `json:"limits"`
}

// Changes has the parts that were added or changed, whole, and the keys of those that were removed.
type Changes[K comparable, T any] struct {
	Changed []T `json:"changed,omitempty"`
	Removed []K `json:"removed,omitempty"`
}

func (r Route) match() Match {
	return Match{
		Host:   r.Host,
		Prefix: r.Prefix,
	}
}

func (s Service) id() fleet.ServiceID { return s.ID }

func (w Workspace) id() fleet.WorkspaceID { return w.ID }

// With returns the configuration with a delta applied. It returns false if the delta starts after the
// configuration or leads to none that is later. Parts that stay keep their order; added ones follow.
func (c Config) With(d Delta) (Config, bool) {
	if d.From > c.Version || d.To <= c.Version {
		return c, false
	}
	return Config{
		Version:    d.To,
		Routes:     d.Routes.apply(c.Routes, Route.match),
		Services:   d.Services.apply(c.Services, Service.id),
		Workspaces: d.Workspaces.apply(c.Workspaces, Workspace.id),

		KeysRequired: d.KeysRequired,
		Limits:       d.Limits,
	}, true
}

// apply returns the parts with the changes, without touching parts itself.
func (c Changes[K, T]) apply(parts []T, key func(T) K) []T {
	if len(c.Changed) == 0 && len(c.Removed) == 0 {
		return parts
	}
	changed := map[K]T{}
	for _, part := range c.Changed {
		changed[key(part)] = part
	}
	removed := map[K]bool{}
	for _, k := range c.Removed {
		removed[k] = true
	}
	next := make([]T, 0, len(parts)+len(c.Changed))
	for _, part := range parts {
		k := key(part)
		if newer, ok := changed[k]; ok {
			part = newer
			delete(changed, k)
		}
		if !removed[k] {
			next = append(next, part)
		}
	}
	for _, part := range c.Changed {
		if _, added := changed[key(part)]; added {
			next = append(next, part)
		}
	}
	return next
}

// maxVersions bounds the versions that a History keeps.
const maxVersions = 4096

// History knows at which version each part of the current configuration last changed, so that what changed since an
// earlier version can be sent alone. It has to be told of each configuration: what came and went between two that it knows
// is in neither. It is not safe for concurrent use.
type History struct {
	current Config
	digest  Digest
	// versions are those since which the changes are known, in ascending order.
	versions   []Version
	routes     changeTimes[Match, Route]
	services   changeTimes[fleet.ServiceID, Service]
	workspaces changeTimes[fleet.WorkspaceID, Workspace]
	// deltas has those of the current version that were asked for.
	deltas map[Version]Delta
}

// NewHistory returns a history that begins with a configuration.
func NewHistory(c Config) *History {
	return &History{
		current:    c,
		digest:     c.Digest(),
		versions:   []Version{c.Version},
		routes:     newChangeTimes(Route.match),
		services:   newChangeTimes(Service.id),
		workspaces: newChangeTimes(Workspace.id),
		deltas:     map[Version]Delta{},
	}
}

// Digest returns the digest of the current configuration.
func (h *History) Digest() Digest { return h.digest }

// Advance records the next configuration.
func (h *History) Advance(next Config) {
	h.digest += next.statementDigest() - h.current.statementDigest() +
		h.routes.advance(h.current.Routes, next.Routes, next.Version) +
		h.services.advance(h.current.Services, next.Services, next.Version) +
		h.workspaces.advance(h.current.Workspaces, next.Workspaces, next.Version)
	h.current = next
	h.versions = append(h.versions, next.Version)
	if len(h.versions) > maxVersions {
		h.versions = slices.Delete(h.versions, 0, maxVersions/2)
	}
	clear(h.deltas)
	recorded := len(h.routes.changed) + len(h.services.changed) + len(h.workspaces.changed)
	if present := len(next.Routes) + len(next.Services) + len(next.Workspaces); recorded > 2*present+maxRemoved {
		*h = *NewHistory(next)
	}
}

// Since returns what changed after a version. It returns false if that is not known, as after a version that it was never
// told of.
func (h *History) Since(version Version) (Delta, bool) {
	if _, known := slices.BinarySearch(h.versions, version); !known || version == 0 {
		return Delta{}, false
	}
	if d, ok := h.deltas[version]; ok {
		return d, true
	}
	d := Delta{
		From:       version,
		To:         h.current.Version,
		Routes:     h.routes.since(h.current.Routes, version),
		Services:   h.services.since(h.current.Services, version),
		Workspaces: h.workspaces.since(h.current.Workspaces, version),

		KeysRequired: h.current.KeysRequired,
		Limits:       h.current.Limits,
	}
	h.deltas[version] = d
	return d, true
}

// changeTimes has the versions at which parts last changed or were removed. Parts that have not changed are
// absent.
type changeTimes[K comparable, T any] struct {
	key     func(T) K
	changed map[K]Version
}

func newChangeTimes[K comparable, T any](key func(T) K) changeTimes[K, T] {
	return changeTimes[K, T]{
		key:     key,
		changed: map[K]Version{},
	}
}

// advance records which parts have changed and returns what that adds to the digest.
func (t *changeTimes[K, T]) advance(before, after []T, version Version) (change Digest) {
	old := make(map[K]*T, len(before))
	for i := range before {
		old[t.key(before[i])] = &before[i]
	}
	for i := range after {
		k := t.key(after[i])
		part, known := old[k]
		if !known || !reflect.DeepEqual(*part, after[i]) {
			t.changed[k] = version
			change += digestOf(after[i])
			if known {
				change -= digestOf(*part)
			}
		}
		delete(old, k)
	}
	for k, part := range old {
		t.changed[k] = version
		change -= digestOf(*part)
	}
	return change
}

func (t *changeTimes[K, T]) since(parts []T, version Version) Changes[K, T] {
	c := Changes[K, T]{}
	later := maps.Clone(t.changed)
	maps.DeleteFunc(later, func(_ K, at Version) bool { return at <= version })
	for i := range parts {
		k := t.key(parts[i])
		if _, ok := later[k]; ok {
			c.Changed = append(c.Changed, parts[i])
			delete(later, k)
		}
	}
	c.Removed = slices.Collect(maps.Keys(later))
	return c
}
