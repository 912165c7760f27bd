package routing

import "github.com/waxwingreel/waxwingreel/fleet"

// Decision is what a configuration says of one request, with what it was decided by. Work that was decided earlier, or by
// another node, is compared by it with a newer configuration.
type Decision struct {
	Host string
	Path string
	Key  string
	// Service is where the request goes, Workspace the one that it counts for.
	Service   fleet.ServiceID
	Workspace fleet.WorkspaceID
	// Repeatable is set if the request may be sent again when its outcome is not known.
	Repeatable bool
	// Attempt is the number of servers that get the request, with the one that is next.
	Attempt int
}

// Allows reports whether a request may be sent as decided.
func (v *View) Allows(d Decision) bool {
	route := v.Match(d.Host, d.Path)
	if route == nil || !route.leadsTo(d.Service) || v.Service(d.Service) == nil {
		return false
	}
	if d.Repeatable && !route.Repeatable() || d.Attempt > max(route.MaxAttempts, 1) {
		return false
	}
	workspace := fleet.WorkspaceID("")
	if w := v.Workspace(d.Key); d.Key != "" && w != nil {
		workspace = w.ID
	}
	return workspace == d.Workspace && (workspace != "" || route.Public || !v.KeysNeeded())
}

// AllowsService reports whether a path of a host leads to a service for any key, or without one.
func (v *View) AllowsService(host, path string, service fleet.ServiceID) bool {
	route := v.Match(host, path)
	return route != nil && route.leadsTo(service) && (route.Public || !v.KeysNeeded() || len(v.workspaces) > 0)
}

// leadsTo reports whether the route sends requests to a service.
func (r *Route) leadsTo(service fleet.ServiceID) bool {
	for _, t := range r.Targets {
		if t.Service == service && t.Weight > 0 {
			return true
		}
	}
	return false
}
