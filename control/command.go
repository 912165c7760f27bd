// Package control is one replica of the fleet's control state: it drives the
// consensus core, the journal and the state machine, and serves entry nodes and
// other replicas over the wire.
package control

import (
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/routing"
)

// Command is one entry of the replicated log. At is set by the leader; of the
// other fields any may be set, and they are carried out in the order in which
// they stand here.
//
// Every command is idempotent, so that an asker that lost the answer asks again.
type Command struct {
	At     fleet.UnixMillis     `json:"at"`
	Ticket *catalog.Ticket      `json:"ticket,omitempty"`
	Join   *ledger.Join         `json:"join,omitempty"`
	Leases []ledger.LeaseChange `json:"leases,omitempty"`
	// Sequence numbers a holder's commands of Leases.
	Sequence *Sequence               `json:"sequence,omitempty"`
	Settle   *ledger.Settle          `json:"settle,omitempty"`
	Begin    *ledger.Begin           `json:"begin,omitempty"`
	Finish   *ledger.Finish          `json:"finish,omitempty"`
	Confirm  *ledger.ConfirmNoneHeld `json:"confirm,omitempty"`
	// Configure replaces the configuration of routed requests, if its version
	// is higher than the one in force.
	Configure *Configuration `json:"configure,omitempty"`
}

// Sequence tells the leader which answers a holder had when it made a command.
type Sequence struct {
	Holder fleet.Holder `json:"holder"`
	// Number is the command's own, Acknowledged that of the latest command whose
	// answer the holder has, 0 for none.
	Number       uint64 `json:"number"`
	Acknowledged uint64 `json:"acknowledged,omitempty"`
}

// Configuration is a configuration of routed requests with the operator's text.
type Configuration struct {
	Config routing.Config `json:"config"`
	// Document is the operator's text, which is read back as it was sent.
	Document []byte `json:"document"`
}

// Result answers a Command, field by field.
type Result struct {
	Outcome  *catalog.Outcome      `json:"outcome,omitempty"`
	Joined   bool                  `json:"joined,omitempty"`
	Leases   []ledger.LeaseResult  `json:"leases,omitempty"`
	Settled  []ledger.SettleResult `json:"settled,omitempty"`
	Begun    *ledger.BeginResult   `json:"begun,omitempty"`
	Finished *ledger.SettleResult  `json:"finished,omitempty"`
	// Incarnation is the number of the life that joined.
	Incarnation fleet.Incarnation `json:"incarnation,omitempty"`
	// forfeit is for the leader's log.
	forfeit ledger.Forfeit
	// Configured is the version in force after a Configure.
	Configured routing.Version `json:"configured,omitempty"`
}

// effects is what subscribers must hear of after a command.
type effects struct {
	catalog bool
	routing bool
	nodes  bool
	recalls []ledger.Recall
}

func (e *effects) any() bool {
	return e.catalog || e.routing || e.nodes || len(e.recalls) > 0
}
