package control

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/evacuation"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

// stateMachine is the replicated state: the catalog, the ledger and the routing
// configuration. It changes only by applying commands of the log.
type stateMachine struct {
	catalog *catalog.State
	ledger  *ledger.State
	// routing is the routing configuration. Version 0 means none.
	routing Configuration
	// routingHistory has each configuration that was applied since the snapshot that was last read.
	routingHistory *routing.History
	evacuations    evacuation.State
	commands       uint64
}

func newStateMachine() *stateMachine {
	return &stateMachine{
		catalog:        catalog.New(),
		ledger:         ledger.New(),
		routingHistory: routing.NewHistory(routing.Config{}),
	}
}

// apply applies one command.
func (m *stateMachine) apply(c Command) (Result, effects) {
	result := Result{}
	effect := effects{}
	m.commands++
	m.ledger.Advance(c.At)
	if c.Ticket != nil {
		result.Outcome = m.applyTicket(*c.Ticket, c.At, &effect)
	}
	if c.Join != nil {
		m.join(*c.Join, &result)
		effect.nodes = true
	}
	for _, change := range c.Leases {
		leaseResult, recalls := m.ledger.ChangeLease(change)
		result.Leases = append(result.Leases, leaseResult)
		effect.recalls = append(effect.recalls, recalls...)
	}
	if c.Settle != nil {
		for _, settlement := range c.Settle.Settlements {
			result.Settled = append(result.Settled, m.ledger.Settle(settlement))
		}
	}
	if c.Begin != nil {
		begun := m.ledger.Begin(*c.Begin)
		result.Begun = &begun
	}
	if c.Finish != nil {
		finished := m.ledger.Finish(*c.Finish)
		result.Finished = &finished
	}
	if c.Confirm != nil {
		m.ledger.Confirm(*c.Confirm)
	}
	if c.Configure != nil {
		m.configure(*c.Configure, &result, &effect)
		result.Configured = m.routing.Config.Version
	}
	if c.Evacuate != nil {
		effect.evacuations = m.evacuations.Apply(*c.Evacuate)
		list := m.evacuations.List
		result.Evacuated = &list
	}
	return result, effect
}

func (m *stateMachine) join(join ledger.Join, result *Result) {
	if join.Nonce == 0 {
		result.Joined = m.ledger.Join(join.Holder)
		result.Incarnation = join.Holder.Incarnation
		return
	}
	result.Joined = true
	result.Incarnation, result.forfeit = m.ledger.AssignIncarnation(join)
}

// configure replaces the routing configuration unless the current one has the same or
// a higher version. The prepaid totals of its workspaces become metered budgets.
func (m *stateMachine) configure(c Configuration, result *Result, effect *effects) {
	if c.Config.Version <= m.routing.Config.Version {
		return
	}
	m.routing = c
	m.routingHistory.Advance(c.Config)
	effect.routing = true
	for _, w := range c.Config.Workspaces {
		if w.Prepaid == nil {
			continue
		}
		id := fleet.BudgetID(w.ID)
		if before, known := m.ledger.MeteredBudget(id); known && before.Prepaid != *w.Prepaid {
			result.totals = append(result.totals, totalChange{
				budget: id,
				before: before,
				total:  *w.Prepaid,
			})
		}
		effect.recalls = append(effect.recalls, m.ledger.SetMeteredPrepaid(id, *w.Prepaid)...)
	}
}

// totalChange is a change of a metered budget's prepaid total.
type totalChange struct {
	budget fleet.BudgetID
	before ledger.MeteredBudget
	total  fleet.Tokens
}

func (m *stateMachine) applyTicket(ticket catalog.Ticket, now fleet.UnixMillis, effect *effects) *catalog.Outcome {
	before := m.catalog.Version()
	outcome := m.catalog.Apply(ticket, now, m.checkBudgets)
	if m.catalog.Version() == before {
		return &outcome
	}
	effect.catalog = true
	for _, change := range ticket.Changes {
		if change.Budget != nil {
			m.ledger.SetPrepaid(change.Budget.ID, change.Budget.Prepaid)
		}
		if change.Node != nil && change.Node.Destroyed {
			m.ledger.Remove(change.Node.ID)
			effect.nodes = true
		}
	}
	return &outcome
}

// checkBudgets rejects a prepaid total below what is already settled or leased.
func (m *stateMachine) checkBudgets(changes []catalog.Change) []catalog.Problem {
	var problems []catalog.Problem
	for i, change := range changes {
		if change.Budget == nil || m.ledger.CanSetPrepaid(change.Budget.ID, change.Budget.Prepaid) {
			continue
		}
		view, _ := m.ledger.Budget(change.Budget.ID)
		problems = append(problems, catalog.Problem{
			Field:  fmt.Sprintf("changes[%d].budget.prepaid", i),
			Reason: fmt.Sprintf("%d is less than the %d settled and %d leased", change.Budget.Prepaid, view.Settled, view.Leased),
			Hint:   "prepaid is the whole amount paid so far, not an increment",
		})
	}
	return problems
}

// image is the encoded form of the state machine in a snapshot.
type image struct {
	Catalog  catalog.Image `json:"catalog"`
	Ledger   ledger.Image  `json:"ledger"`
	Commands uint64        `json:"commands"`
	Routing  Configuration `json:"routing,omitzero"`
	// Evacuations is absent from the snapshots of versions that know none.
	Evacuations evacuation.State `json:"evacuations,omitzero"`
}

func (m *stateMachine) snapshot() ([]byte, error) {
	data, err := cbor.Marshal(image{
		Catalog:     m.catalog.Image(),
		Ledger:      m.ledger.Image(),
		Commands:    m.commands,
		Routing:     m.routing,
		Evacuations: m.evacuations,
	})
	return data, eris.Wrap(err, "control: encode the state machine for a snapshot")
}

func stateMachineFromSnapshot(data []byte) (*stateMachine, error) {
	if len(data) == 0 {
		return newStateMachine(), nil
	}
	i := image{}
	if err := wire.Decode(data, &i); err != nil {
		return nil, eris.Wrap(err, "control: decode the state machine from a snapshot")
	}
	return &stateMachine{
		catalog:        catalog.FromImage(i.Catalog),
		ledger:         ledger.FromImage(i.Ledger),
		commands:       i.Commands,
		routing:        i.Routing,
		routingHistory: routing.NewHistory(i.Routing.Config),
		evacuations:    i.Evacuations,
	}, nil
}

// EncodeLedger encodes a ledger in the snapshot format. Only measurements use it.
func EncodeLedger(state *ledger.State) ([]byte, error) {
	m := &stateMachine{
		catalog: catalog.New(),
		ledger:  state,
	}
	return m.snapshot()
}
