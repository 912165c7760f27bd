// Package routing holds the configuration of routed requests: which service a host
// and path lead to, what may be repeated, who may call and what each workspace has
// prepaid.
//
// A configuration is one object under a version that only rises. It is plain data
// and pure functions; the control group keeps it and the gateway reads it.
package routing

import (
	"fmt"
	"strings"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Version numbers configurations. The operator chooses it; the highest counts.
type Version uint64

// RouteName names one route.
type RouteName string

// Kind tells what may be done with a request more than once.
type Kind string

// The kinds.
const (
	// KindIdempotent requests may run any number of times.
	KindIdempotent Kind = "idempotent"
	// KindOnce requests run at most once.
	KindOnce Kind = "once"
	// KindStream requests are answered by a series of events and run at most
	// once, except where their route is resumable.
	KindStream Kind = "stream"
)

// Config is a whole configuration.
type Config struct {
	Version    Version     `json:"version"`
	Routes     []Route     `json:"routes"`
	Services   []Service   `json:"services"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Limits     Limits      `json:"limits"`
}

// Route leads the requests of one host whose path begins with Prefix to services.
type Route struct {
	Name   RouteName `json:"name"`
	Host   string    `json:"host"`
	Prefix string    `json:"prefix"`
	Kind   Kind      `json:"kind"`
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time within which an answer, or the first event of a
	// stream, is worth most; GapObjective the longest pause between events.
	Objective    time.Duration `json:"objective"`
	GapObjective time.Duration `json:"gapObjective,omitempty"`
	// Priority ranks the route, 0 first.
	Priority int      `json:"priority"`
	Targets  []Target `json:"targets"`
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int `json:"maxAttempts"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
	// Resumable streams may go on at another backend server behind the last
	// event that was delivered.
	Resumable bool `json:"resumable,omitempty"`
}

// Repeatable reports whether a request that may have run may be run again.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Target is one service of a route with its weight.
type Target struct {
	Service fleet.ServiceID `json:"service"`
	Weight  int             `json:"weight"`
}

// Service is a pool of backend servers.
type Service struct {
	ID fleet.ServiceID `json:"id"`
	// MaxConnections bounds the connections that one backend server takes from
	// all callers together.
	MaxConnections int `json:"maxConnections,omitempty"`
	// Engine is present where the backend servers are model engines.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	// EventTokens is how many output tokens one event of a stream holds.
	EventTokens fleet.Tokens `json:"eventTokens"`
}

// Workspace is one customer organisation with its keys.
type Workspace struct {
	ID   fleet.WorkspaceID `json:"id"`
	Keys []string          `json:"keys"`
	// Priority, where present, goes before the route's.
	Priority *int `json:"priority,omitempty"`
	// Prepaid is the whole amount that may be consumed, nil for no bound.
	Prepaid *fleet.Tokens `json:"prepaid,omitempty"`
}

// Limits bound what a caller may send. Zero fields set no bound.
type Limits struct {
	HeaderBytes int   `json:"headerBytes,omitempty"`
	BodyBytes   int64 `json:"bodyBytes,omitempty"`
}

// Check returns an error that names the first rule that the configuration breaks.
func (c Config) Check() error {
	if c.Version == 0 {
		return fmt.Errorf("version: is missing or 0")
	}
	services := map[fleet.ServiceID]bool{}
	for i, s := range c.Services {
		if s.ID == "" || services[s.ID] {
			return fmt.Errorf("services[%d]: name %q is empty or stands twice", i, s.ID)
		}
		services[s.ID] = true
	}
	places := map[[2]string]RouteName{}
	for i, r := range c.Routes {
		if err := r.check(services); err != nil {
			return fmt.Errorf("routes[%d] %q: %w", i, r.Name, err)
		}
		place := [2]string{r.Host, r.Prefix}
		if other, taken := places[place]; taken {
			return fmt.Errorf("routes[%d] %q: has the host and prefix of %q", i, r.Name, other)
		}
		places[place] = r.Name
	}
	return c.checkWorkspaces()
}

func (r Route) check(services map[fleet.ServiceID]bool) error {
	switch r.Kind {
	case KindIdempotent, KindOnce, KindStream:
	default:
		return fmt.Errorf("kind %q is unknown", r.Kind)
	}
	if r.Timeout <= 0 {
		return fmt.Errorf("the timeout is %v, want more than 0", r.Timeout)
	}
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") {
		return fmt.Errorf("host %q and prefix %q do not name a place", r.Host, r.Prefix)
	}
	total := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return fmt.Errorf("service %q is unknown", t.Service)
		}
		if t.Weight < 0 {
			return fmt.Errorf("the weight of service %q is %d", t.Service, t.Weight)
		}
		total += t.Weight
	}
	if total == 0 {
		return fmt.Errorf("the weights add up to 0")
	}
	return nil
}

func (c Config) checkWorkspaces() error {
	holders := map[string]fleet.WorkspaceID{}
	names := map[fleet.WorkspaceID]bool{}
	for i, w := range c.Workspaces {
		if w.ID == "" || names[w.ID] {
			return fmt.Errorf("workspaces[%d]: name %q is empty or stands twice", i, w.ID)
		}
		names[w.ID] = true
		for _, key := range w.Keys {
			if other, taken := holders[key]; taken && other != w.ID {
				return fmt.Errorf("workspaces[%d] %q: shares a key with %q", i, w.ID, other)
			}
			holders[key] = w.ID
		}
	}
	return nil
}
