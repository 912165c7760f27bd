package routing

import (
	"hash/maphash"
	"slices"
	"strings"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// View is an index of one configuration. It is immutable and safe for concurrent use.
type View struct {
	Config Config
	Digest Digest
	// hosts holds the routes of each host, the longest prefix first.
	hosts    map[string][]*Route
	services map[fleet.ServiceID]*Service
	// workspaces is indexed by key.
	workspaces map[string]*Workspace
}

// NewView indexes a configuration that passed Check.
func NewView(c Config) *View {
	return newView(c, c.Digest())
}

// With returns the view of the configuration with a delta applied. It returns false if Config.With does.
func (v *View) With(d Delta) (*View, bool) {
	next, ok := v.Config.With(d)
	if !ok {
		return v, false
	}
	return newView(next, d.digestAfter(v.Config, v.Digest)), true
}

func newView(c Config, digest Digest) *View {
	v := &View{
		Config:     c,
		Digest:     digest,
		hosts:      map[string][]*Route{},
		services:   map[fleet.ServiceID]*Service{},
		workspaces: map[string]*Workspace{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		v.hosts[r.Host] = append(v.hosts[r.Host], r)
	}
	for _, routes := range v.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		v.services[c.Services[i].ID] = &c.Services[i]
	}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			v.workspaces[key] = &c.Workspaces[i]
		}
	}
	return v
}

// Match returns the host's route with the longest prefix of the path, or nil.
func (v *View) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range v.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by id, or nil.
func (v *View) Service(id fleet.ServiceID) *Service {
	return v.services[id]
}

// KeysNeeded reports whether routes that are not public require a key.
func (v *View) KeysNeeded() bool {
	return v.Config.KeysRequired || len(v.Config.Workspaces) > 0
}

// Workspace returns the workspace that holds a key, or nil.
func (v *View) Workspace(key string) *Workspace {
	return v.workspaces[key]
}

// splitSeed differs between processes. This is harmless, because the split is random and a
// request id must get the same service only within one process.
var splitSeed = maphash.MakeSeed()

// Choose picks one of the route's services by weight. Within one process, a request id
// always gets the same service.
func (r *Route) Choose(id RequestID) fleet.ServiceID {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	position := int(maphash.String(splitSeed, string(id)) % uint64(total))
	for _, t := range r.Targets {
		if position < t.Weight {
			return t.Service
		}
		position -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
