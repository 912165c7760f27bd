// Package catalog holds the fleet's configuration: the objects that change tickets
// create, replace and remove, the validation of tickets, and the versioned deltas by
// which entry nodes follow the changes.
//
// It is a deterministic state machine that applies the entries of the replicated log.
// It reads no clock, file or socket.
package catalog

import (
	"github.com/waxwingreel/waxwingreel/fleet"
)

// Kind is the type of an object.
type Kind string

// The kinds of object.
const (
	KindWorkspace     Kind = "workspace"
	KindBudget        Kind = "budget"
	KindModel         Kind = "model"
	KindAdapter       Kind = "adapter"
	KindService       Kind = "service"
	KindBackendServer Kind = "backendServer"
	KindNode          Kind = "node"
)

// Key identifies an object.
type Key struct {
	Kind Kind   `json:"kind"`
	ID   string `json:"id"`
}

// Workspace belongs to one customer organisation.
type Workspace struct {
	ID   fleet.WorkspaceID `json:"id"`
	Keys []AccessKey       `json:"keys"`
	// Weight is the workspace's relative share of a class under contention. If
	// absent, it is 1.
	Weight int `json:"weight,omitempty"`
}

// AccessKey is one bearer key of a workspace. Only its SHA-256 sum is stored.
type AccessKey struct {
	SHA256 string         `json:"sha256"`
	Tier   fleet.Tier     `json:"tier"`
	Budget fleet.BudgetID `json:"budget"`
}

// Budget is a prepaid budget or, with Tier trial, a trial allowance. Prepaid is the
// total paid so far, not an increment.
type Budget struct {
	ID        fleet.BudgetID    `json:"id"`
	Workspace fleet.WorkspaceID `json:"workspace"`
	Tier      fleet.Tier        `json:"tier"`
	Prepaid   fleet.Tokens      `json:"prepaid"`
}

// Model is one model and its prices. A price is in budget tokens per thousand tokens
// of prompt or output. If absent, it is 1000, which is one budget token per token.
type Model struct {
	ID               fleet.ModelID `json:"id"`
	Version          string        `json:"version"`
	PromptPerMille   int64         `json:"promptPerMille,omitempty"`
	OutputPerMille   int64         `json:"outputPerMille,omitempty"`
	MaxOutput        fleet.Tokens  `json:"maxOutput"`
	MaxPrompt        fleet.Tokens  `json:"maxPrompt"`
	LongPromptTokens fleet.Tokens  `json:"longPromptTokens,omitempty"`
}

// Adapter is a fine-tuned variant of a model, requested as "model:adapter".
type Adapter struct {
	ID      fleet.AdapterID `json:"id"`
	Model   fleet.ModelID   `json:"model"`
	Version string          `json:"version"`
}

// Service is a plain service, which is any service but a model engine, and its calls.
type Service struct {
	ID    fleet.ServiceID `json:"id"`
	Calls []ServiceCall   `json:"calls"`
}

// ServiceCall is one call of a plain service. A call that is not idempotent runs at
// most once per request id.
type ServiceCall struct {
	Method     string       `json:"method"`
	Path       string       `json:"path"`
	Idempotent bool         `json:"idempotent"`
	Class      fleet.Class  `json:"class"`
	Price      fleet.Tokens `json:"price"`
}

// BackendServer is one model engine or one server of a plain service.
type BackendServer struct {
	ID         fleet.BackendServerID `json:"id"`
	Address    string                `json:"address"`
	DataCentre fleet.DataCentre      `json:"dataCentre"`
	Models     []fleet.ModelID       `json:"models,omitempty"`
	Service    fleet.ServiceID       `json:"service,omitempty"`
	// Slots is how many requests the server processes concurrently.
	Slots int `json:"slots"`
	// ChecksOrders is set if the server refuses an order whose fencing token is
	// outdated.
	ChecksOrders bool `json:"checksOrders"`
	// Draining is set if the server gets no new work.
	Draining bool `json:"leaving,omitempty"`
}

// Node is the part of a VM's configuration that operators set by ticket. The VM's
// addresses are in its own settings.
type Node struct {
	ID fleet.NodeID `json:"id"`
	// Control requests a voting replica of the control state on this VM.
	Control bool `json:"control"`
	// Destroyed declares that the VM is destroyed and will never run again, so that
	// its leases may be reclaimed.
	Destroyed bool `json:"gone,omitempty"`
}

// Object is one object of the configuration: its key, the ticket and version that last
// changed it, and its body, which is empty if the object was removed.
type Object struct {
	Key     Key                `json:"key"`
	Ticket  fleet.TicketNumber `json:"ticket"`
	Version fleet.Version      `json:"version"`
	Body    Body               `json:"body"`
}

// Removed reports whether the object is a tombstone: it was removed and has no body.
func (o Object) Removed() bool {
	return o.Body == Body{}
}

// Body holds an object of exactly one kind; the other fields are nil.
type Body struct {
	Workspace     *Workspace     `json:"workspace,omitempty"`
	Budget        *Budget        `json:"budget,omitempty"`
	Model         *Model         `json:"model,omitempty"`
	Adapter       *Adapter       `json:"adapter,omitempty"`
	Service       *Service       `json:"service,omitempty"`
	BackendServer *BackendServer `json:"backendServer,omitempty"`
	Node          *Node          `json:"node,omitempty"`
}

// keys returns the key of each object that the body holds. A valid body holds one.
func (b Body) keys() []Key {
	var keys []Key
	add := func(present bool, kind Kind, id func() string) {
		if present {
			keys = append(keys, Key{
				Kind: kind,
				ID:   id(),
			})
		}
	}
	add(b.Workspace != nil, KindWorkspace, func() string { return string(b.Workspace.ID) })
	add(b.Budget != nil, KindBudget, func() string { return string(b.Budget.ID) })
	add(b.Model != nil, KindModel, func() string { return string(b.Model.ID) })
	add(b.Adapter != nil, KindAdapter, func() string { return string(b.Adapter.ID) })
	add(b.Service != nil, KindService, func() string { return string(b.Service.ID) })
	add(b.BackendServer != nil, KindBackendServer, func() string { return string(b.BackendServer.ID) })
	add(b.Node != nil, KindNode, func() string { return string(b.Node.ID) })
	return keys
}
