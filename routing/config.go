// Package routing holds the configuration of routed requests: which service a host and
// path are routed to, which requests may be retried, who may call, and the prepaid budget
// of each workspace.
//
// A configuration is one object with an increasing version. This package has only plain
// data and pure functions; the control group stores the configuration and the gateway reads
// it.
package routing

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Version is the version of a configuration. The operator chooses it, and the highest one
// is in effect.
type Version uint64

// RouteName is the name of a route.
type RouteName string

// Kind determines whether a request may be executed more than once.
type Kind string

const (
	// KindIdempotent requests may be executed any number of times.
	KindIdempotent Kind = "idempotent"
	// KindOnce requests are executed at most once.
	KindOnce Kind = "once"
	// KindStream requests get a stream of events as response and are executed at most
	// once, unless their route is resumable.
	KindStream Kind = "stream"
)

// Config is a complete configuration.
type Config struct {
	Version    Version     `json:"version"`
	Routes     []Route     `json:"routes"`
	Services   []Service   `json:"services"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	// KeysRequired is set if routes that are not public require a key although there is no workspace, so that no key
	// is valid. It is not set beside workspaces, which say the same. Configurations of earlier versions never have it.
	KeysRequired bool   `json:"keysRequired,omitempty"`
	Limits       Limits `json:"limits"`
}

// ForEarlierVersions returns the configuration in a form that means the same to nodes of earlier versions, and whether it had to
// be changed for that. A workspace without keys takes the place of KeysRequired. Workspaces without a total have no Prepaid:
// such nodes would lease and, if they are killed, forfeit a part of UnlimitedPrepaid.
func (c Config) ForEarlierVersions() (Config, bool) {
	if c.KeysRequired {
		c.Workspaces = []Workspace{{ID: "none"}}
		return c, true
	}
	if !slices.ContainsFunc(c.Workspaces, Workspace.Unlimited) {
		return c, false
	}
	c.Workspaces = slices.Clone(c.Workspaces)
	for i := range c.Workspaces {
		if c.Workspaces[i].Unlimited() {
			c.Workspaces[i].Prepaid = nil
		}
	}
	return c, true
}

// Route routes the requests to one host whose path begins with Prefix to services.
type Route struct {
	Name   RouteName `json:"name"`
	Host   string    `json:"host"`
	Prefix string    `json:"prefix"`
	Kind   Kind      `json:"kind"`
	// Timeout is the maximum time that a request may wait for its response.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency objective for a response or the first event of a stream.
	Objective time.Duration `json:"objective"`
	// GapObjective is the objective for the longest gap between events.
	GapObjective time.Duration `json:"gapObjective,omitempty"`
	// Priority is the route's priority; 0 is the highest.
	Priority int      `json:"priority"`
	Targets  []Target `json:"targets"`
	// MaxAttempts bounds the number of backend servers that one request is sent to.
	MaxAttempts int `json:"maxAttempts"`
	// Public routes require no key.
	Public bool `json:"public,omitempty"`
	// Resumable streams may continue on another backend server after the last
	// delivered event.
	Resumable bool `json:"resumable,omitempty"`
}

// Repeatable reports whether a request that may have been executed may be sent again.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Target is a service of a route with its share of the traffic.
type Target struct {
	Service fleet.ServiceID `json:"service"`
	Weight  int             `json:"weight"`
}

// Service is a pool of backend servers.
type Service struct {
	ID fleet.ServiceID `json:"id"`
	// MaxConnections bounds the connections of all callers to one backend server.
	MaxConnections int `json:"maxConnections,omitempty"`
	// Engine is set if the backend servers are model engines.
	Engine *Engine `json:"engine,omitempty"`
	// ColdStart is set if the backend servers bear little for some time after a start.
	ColdStart *ColdStart `json:"coldStart,omitempty"`
}

// ColdStart describes what a backend server bears while it is cold.
type ColdStart struct {
	// Rate is the requests a second from all nodes together.
	Rate Rate `json:"rate"`
	// Millis is how long a server is cold after a start.
	Millis int64 `json:"millis"`
}

// Duration returns how long a server is cold after a start.
func (c ColdStart) Duration() time.Duration {
	return time.Duration(c.Millis) * time.Millisecond
}

// Engine describes the model engines of a service.
type Engine struct {
	// EventTokens is the number of output tokens in one event of a stream.
	EventTokens fleet.Tokens `json:"eventTokens"`
}

// Workspace is one customer organisation with its keys.
type Workspace struct {
	ID   fleet.WorkspaceID `json:"id"`
	Keys []string          `json:"keys"`
	// Priority overrides the route's priority if set.
	Priority *int `json:"priority,omitempty"`
	// Prepaid is the total amount that may be consumed, UnlimitedPrepaid if there is none: what is consumed is recorded all the
	// same, as it counts against a total that comes later. It is nil in configurations of earlier versions that have no total, by
	// which nothing is recorded.
	Prepaid *fleet.Tokens `json:"prepaid,omitempty"`
}

// UnlimitedPrepaid is the total of a workspace that has none. No workspace consumes as much.
const UnlimitedPrepaid fleet.Tokens = 1 << 53

// Unlimited reports whether the workspace has a budget without a total.
func (w Workspace) Unlimited() bool {
	return w.Prepaid != nil && *w.Prepaid >= UnlimitedPrepaid
}

// Limits bounds the size of requests. A limit of 0 means no limit.
type Limits struct {
	HeaderBytes int   `json:"headerBytes,omitempty"`
	BodyBytes   int64 `json:"bodyBytes,omitempty"`
}

// Check returns an error for the first violated rule, or nil if the configuration is valid.
func (c Config) Check() error {
	if c.Version == 0 {
		return fmt.Errorf("version: is missing or 0, want at least 1")
	}
	services := map[fleet.ServiceID]bool{}
	for i, s := range c.Services {
		if s.ID == "" || services[s.ID] {
			return fmt.Errorf("services[%d]: name %q is empty or a duplicate", i, s.ID)
		}
		services[s.ID] = true
	}
	matches := map[[2]string]RouteName{}
	for i, r := range c.Routes {
		if err := r.check(services); err != nil {
			return fmt.Errorf("routes[%d] %q: %w", i, r.Name, err)
		}
		match := [2]string{r.Host, r.Prefix}
		if other, taken := matches[match]; taken {
			return fmt.Errorf("routes[%d] %q: has the host and prefix of %q", i, r.Name, other)
		}
		matches[match] = r.Name
	}
	return c.checkWorkspaces()
}

// maxWeight keeps the sum of a route's weights from overflowing.
const maxWeight = 1 << 32

// check returns an error for the first rule that the route violates.
func (r Route) check(services map[fleet.ServiceID]bool) error {
	switch r.Kind {
	case KindIdempotent, KindOnce, KindStream:
	default:
		return fmt.Errorf("kind %q is unknown or missing", r.Kind)
	}
	if r.Timeout <= 0 {
		return fmt.Errorf("the timeout is %v, want more than 0", r.Timeout)
	}
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") {
		return fmt.Errorf("host %q is empty or prefix %q does not begin with a slash", r.Host, r.Prefix)
	}
	total := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return fmt.Errorf("service %q is unknown: it is not in services", t.Service)
		}
		if t.Weight < 0 {
			return fmt.Errorf("the weight of service %q is %d, want 0 or more", t.Service, t.Weight)
		}
		if t.Weight > maxWeight {
			return fmt.Errorf("the weight of service %q is %d, want %d at the most", t.Service, t.Weight, int64(maxWeight))
		}
		total += t.Weight
	}
	if total == 0 {
		return fmt.Errorf("the weights add up to 0, want a target with a weight above 0")
	}
	return nil
}

// checkWorkspaces checks that workspace ids are unique and that no two workspaces share a key.
func (c Config) checkWorkspaces() error {
	workspaceOfKey := map[string]fleet.WorkspaceID{}
	seen := map[fleet.WorkspaceID]bool{}
	for i, w := range c.Workspaces {
		if w.ID == "" || seen[w.ID] {
			return fmt.Errorf("workspaces[%d]: name %q is empty or a duplicate", i, w.ID)
		}
		seen[w.ID] = true
		for _, key := range w.Keys {
			if other, taken := workspaceOfKey[key]; taken && other != w.ID {
				return fmt.Errorf("workspaces[%d] %q: shares a key with %q", i, w.ID, other)
			}
			workspaceOfKey[key] = w.ID
		}
	}
	return nil
}
