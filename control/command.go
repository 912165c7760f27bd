// Package control implements one replica of the control group. It drives the
// consensus core, the journal and the state machine, and serves entry nodes and other
// replicas over the wire.
package control

import (
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/evacuation"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/routing"
)

// Command is one entry of the replicated log. The leader sets At. Any of the other
// fields may be set; they are applied in the order in which they are declared.
//
// Every command is idempotent, so that a client that missed the response can retry.
type Command struct {
	At     fleet.UnixMillis     `json:"at"`
	Ticket *catalog.Ticket      `json:"ticket,omitempty"`
	Join   *ledger.Join         `json:"join,omitempty"`
	Leases []ledger.LeaseChange `json:"leases,omitempty"`
	// Sequence numbers a holder's commands that change leases.
	Sequence *Sequence               `json:"sequence,omitempty"`
	Settle   *ledger.Settle          `json:"settle,omitempty"`
	Begin    *ledger.Begin           `json:"begin,omitempty"`
	Finish   *ledger.Finish          `json:"finish,omitempty"`
	Confirm  *ledger.ConfirmNoneHeld `json:"confirm,omitempty"`
	// Configure replaces the routing configuration if its version is higher than
	// the current one.
	Configure *Configuration `json:"configure,omitempty"`
	// Evacuate starts or stops the evacuation of a data centre.
	Evacuate *evacuation.Order `json:"evacuate,omitempty"`
}

// Sequence numbers a holder's command and names the latest response that the holder had
// received when it issued the command.
type Sequence struct {
	Holder fleet.Holder `json:"holder"`
	// Number is the number of this command. Acknowledged is the number of the
	// latest command whose response the holder has received, 0 for none.
	Number       uint64 `json:"number"`
	Acknowledged uint64 `json:"acknowledged,omitempty"`
}

// Configuration is a routing configuration together with its source document.
type Configuration struct {
	Config routing.Config `json:"config"`
	// Document is the text that the operator uploaded. Queries return it unchanged.
	Document []byte `json:"document"`
}

// Result is the result of a Command. Each field is the result of one field of the command.
type Result struct {
	Outcome  *catalog.Outcome      `json:"outcome,omitempty"`
	Joined   bool                  `json:"joined,omitempty"`
	Leases   []ledger.LeaseResult  `json:"leases,omitempty"`
	Settled  []ledger.SettleResult `json:"settled,omitempty"`
	Begun    *ledger.BeginResult   `json:"begun,omitempty"`
	Finished *ledger.SettleResult  `json:"finished,omitempty"`
	// Incarnation is the number of the incarnation that joined.
	Incarnation fleet.Incarnation `json:"incarnation,omitempty"`
	// forfeit is how many tokens of the previous incarnation's metered leases were
	// forfeited and returned. It appears only in the leader's log messages and is
	// not sent.
	forfeit ledger.Forfeit
	// totals are the budgets whose totals a configuration has changed.
	totals []totalChange
	// Configured is the current routing version after a Configure.
	Configured routing.Version `json:"configured,omitempty"`
	// Evacuated has the evacuated data centres after an Evacuate. It is nil if the leader is of a version that
	// does not know that command, and so has not applied it.
	Evacuated *evacuation.List `json:"evacuated,omitempty"`
}

// effects lists which parts of the state changed, so that subscribers are notified.
type effects struct {
	catalog bool
	routing bool
	// evacuations is set when the set of evacuated data centres changed.
	evacuations bool
	// nodes is set when the roster, the leader or the ended holders changed.
	nodes   bool
	recalls []ledger.Recall
}

func (e *effects) any() bool {
	return e.catalog || e.routing || e.evacuations || e.nodes || len(e.recalls) > 0
}
