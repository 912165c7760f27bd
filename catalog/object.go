// Package catalog holds the fleet's configuration: the objects that tickets
// create and change, the rules a ticket must meet, and the versioned deltas by
// which entry nodes follow the changes.
//
// It is a pure state machine. It is driven by the replicated log and reads no
// clock, file or socket.
package catalog

import (
	"github.com/waxwingreel/waxwingreel/fleet"
)

// Kind tells what an object is.
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

// Workspace is one customer organisation.
type Workspace struct {
	ID   fleet.WorkspaceID `json:"id"`
	Keys []AccessKey       `json:"keys"`
	// Weight is the workspace's share of a contended class, 1 where absent.
	Weight int `json:"weight,omitempty"`
}

// AccessKey is one bearer key of a workspace, stored only as its SHA-256 sum.
type AccessKey struct {
	SHA256 string         `json:"sha256"`
	Tier   fleet.Tier     `json:"tier"`
	Budget fleet.BudgetID `json:"budget"`
}

// Budget is a prepaid budget or, with Tier trial, a trial allowance. Prepaid is
// the whole amount paid so far, never an increment.
type Budget struct {
	ID        fleet.BudgetID    `json:"id"`
	Workspace fleet.WorkspaceID `json:"workspace"`
	Tier      fleet.Tier        `json:"tier"`
	Prepaid   fleet.Tokens      `json:"prepaid"`
}

// Model is one model and its price. Prices are in budget tokens for each
// thousand tokens of prompt or output; absent prices mean 1000, one for one.
type Model struct {
	ID               fleet.ModelID `json:"id"`
	Version          string        `json:"version"`
	PromptPerMille   int64         `json:"promptPerMille,omitempty"`
	OutputPerMille   int64         `json:"outputPerMille,omitempty"`
	MaxOutput        fleet.Tokens  `json:"maxOutput"`
	MaxPrompt        fleet.Tokens  `json:"maxPrompt"`
	LongPromptTokens fleet.Tokens  `json:"longPromptTokens,omitempty"`
}

// Adapter is a fine-tuned variant of a model, asked for as "model:adapter".
type Adapter struct {
	ID      fleet.AdapterID `json:"id"`
	Model   fleet.ModelID   `json:"model"`
	Version string          `json:"version"`
}

// Service is a plain service with its calls.
type Service struct {
	ID    fleet.ServiceID `json:"id"`
	Calls []ServiceCall   `json:"calls"`
}

// ServiceCall is one call of a plain service. A call that is not idempotent runs
// at most once for one request id.
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
	// Slots is how many requests the server works on at once.
	Slots int `json:"slots"`
	// ChecksOrders tells whether the server refuses an order that carries an
	// old fencing number.
	ChecksOrders bool `json:"checksOrders"`
	// Draining servers get no new work.
	Draining bool `json:"leaving,omitempty"`
}

// Node states what operators know of a VM. Its addresses come from its own
// settings.
type Node struct {
	ID fleet.NodeID `json:"id"`
	// Control asks for a voting replica of the control state on this VM.
	Control bool `json:"control"`
	// Destroyed declares that the VM is destroyed and will never run again, so
	// that its leases may be taken back.
	Destroyed bool `json:"gone,omitempty"`
}

// Object is one object of the configuration: its key, the ticket and version
// that last changed it, and exactly one body, or none where it was removed.
type Object struct {
	Key     Key                `json:"key"`
	Ticket  fleet.TicketNumber `json:"ticket"`
	Version fleet.Version      `json:"version"`
	Body    Body               `json:"body"`
}

// Removed reports whether the object is a record of a removal.
func (o Object) Removed() bool {
	return o.Body == Body{}
}

// Body holds exactly one of the kinds.
type Body struct {
	Workspace     *Workspace     `json:"workspace,omitempty"`
	Budget        *Budget        `json:"budget,omitempty"`
	Model         *Model         `json:"model,omitempty"`
	Adapter       *Adapter       `json:"adapter,omitempty"`
	Service       *Service       `json:"service,omitempty"`
	BackendServer *BackendServer `json:"backendServer,omitempty"`
	Node          *Node          `json:"node,omitempty"`
}

// keys returns a key for each kind that the body holds.
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
