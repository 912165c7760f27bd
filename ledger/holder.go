package ledger

import (
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Join registers a node's new incarnation. This proves that the node's earlier
// incarnations have ended; their quota is reclaimed once every registered node has
// confirmed that it holds none of their settlements. Join reports false for an
// incarnation older than the registered one.
func (s *State) Join(holder fleet.Holder) bool {
	last, known := s.holders[holder.Node]
	if known && holder.Incarnation < last {
		return false
	}
	if known && holder.Incarnation == last {
		return true
	}
	s.holders[holder.Node] = holder.Incarnation
	if known {
		s.endIncarnation(fleet.Holder{
			Node:        holder.Node,
			Incarnation: last,
		})
	}
	return true
}

// AssignIncarnation registers a node's new incarnation under a number that the ledger
// chooses. It returns the number and the forfeit of the previous incarnation. A repeated
// command gets the same number.
func (s *State) AssignIncarnation(join Join) (fleet.Incarnation, Forfeit) {
	node := join.Holder.Node
	last, known := s.holders[node]
	previous := s.registrations[node]
	if known && previous.nonce == join.Nonce {
		return last, Forfeit{}
	}
	forfeit := Forfeit{}
	if known {
		ended, bound := s.endTime(node, join, previous)
		forfeit = s.forfeitWithinLimits(fleet.Holder{
			Node:        node,
			Incarnation: last,
		}, ended, bound)
	}
	s.registrations[node] = registration{
		nonce:     join.Nonce,
		boot:      join.Boot,
		limitRise: join.LimitRise,
	}
	holder := fleet.Holder{
		Node:        node,
		Incarnation: max(join.Holder.Incarnation, last+1),
	}
	if known {
		if unbounded := s.forfeit(fleet.Holder{
			Node:        node,
			Incarnation: last,
		}); unbounded > 0 {
			forfeit.Spent += unbounded
			forfeit.Bound = BoundNone
		}
	}
	s.Join(holder)
	return holder.Incarnation, forfeit
}

// Forfeit is the outcome for the metered leases of an incarnation that ended without
// returning them: Spent counts as spent because it may have been, and Returned went back
// to the budgets.
type Forfeit struct {
	Spent    fleet.Tokens
	Returned fleet.Tokens
	// Bound says what bounded the spending.
	Bound Bound
	// ByBudget is Spent by budget, without those that forfeited nothing.
	ByBudget map[fleet.BudgetID]fleet.Tokens
}

// Bound is what bounds when an ended incarnation last spent from its leases.
type Bound string

// The bounds.
const (
	// BoundStart is the start of the next incarnation, by the clock of the VM.
	BoundStart Bound = "start"
	// BoundLeader is the time since its latest change, by the leader's clock.
	BoundLeader Bound = "leader"
	// BoundLimit is what its limits could rise to at any time.
	BoundLimit Bound = "limit"
	// BoundNone means that whole leases were forfeited.
	BoundNone Bound = "none"
)

// Bounds lists all bounds.
var Bounds = []Bound{BoundStart, BoundLeader, BoundLimit, BoundNone}

// BoundJoin sets SinceLastChange of a join to at most the time for which the limits of the node's
// registered incarnation rise: nothing was spent above what they had risen to then. The leader calls
// it with a state that has all earlier joins of the node. Replicas of a build without LimitRise
// forfeit the same.
func (s *State) BoundJoin(join *Join) {
	rise := s.registrations[join.Holder.Node].limitRise
	if rise > 0 && (join.SinceLastChange == 0 || join.SinceLastChange > rise) {
		join.SinceLastChange = rise
	}
}

// endTime returns an upper bound on when a node's registered incarnation last raised what it could
// spend, as the time since boot of its VM, or 0 if there is none. There is one if the new incarnation
// started under the same boot of the kernel, if the leader has led since before the old incarnation's
// latest change, or if its limits rise for a limited time; the leader has set Join.SinceLastChange in
// the last two cases.
func (s *State) endTime(node fleet.NodeID, join Join, previous registration) (time.Duration, Bound) {
	latest := time.Duration(0)
	holder := fleet.Holder{
		Node:        node,
		Incarnation: s.holders[node],
	}
	for _, a := range s.accounts {
		if l, ok := a.leases[holder]; ok && a.metered {
			latest = max(latest, l.at)
		}
	}
	ended, bound := time.Duration(0), BoundNone
	if previous.boot == join.Boot && join.Boot != "" && join.Started >= latest {
		ended, bound = join.Started, BoundStart
	}
	if join.SinceLastChange > 0 && (ended == 0 || latest+join.SinceLastChange < ended) {
		ended, bound = latest+join.SinceLastChange, BoundLeader
		if join.SinceLastChange == previous.limitRise {
			bound = BoundLimit
		}
	}
	return ended, bound
}

// forfeitWithinLimits ends the metered leases of an incarnation that is known to have
// ended by the given time since boot of its VM.
//
// A holder spends within the limit of its latest change, which rises with time. So at
// most what the limit had risen to when the next incarnation started was spent, and the
// rest is returned to the budget. For example, a holder with 90,000 tokens sets a limit
// of 5,000 at 41.2 s that rises by 3,000 per second, is killed, and starts again at
// 43.2 s: 11,000 count as spent and 79,000 are returned. Without a limit all 90,000 would
// count as spent, because the last report of a killed process is always missing.
func (s *State) forfeitWithinLimits(holder fleet.Holder, ended time.Duration, bound Bound) Forfeit {
	forfeit := Forfeit{
		Bound:    bound,
		ByBudget: map[fleet.BudgetID]fleet.Tokens{},
	}
	for id, a := range s.accounts {
		l, ok := a.leases[holder]
		if !ok || !a.metered || ended < l.at {
			continue
		}
		risen := fleet.Tokens(float64(l.slope) * (ended - l.at).Seconds())
		spent := min(l.limit+risen, l.outstanding)
		a.spend(l, spent)
		a.forfeited += spent
		forfeit.Spent += spent
		if spent > 0 {
			forfeit.ByBudget[id] = spent
		}
		forfeit.Returned += l.outstanding
		a.leased -= l.outstanding
		delete(a.leases, holder)
	}
	return forfeit
}

// Remove records that a node is destroyed and will never run again.
func (s *State) Remove(node fleet.NodeID) {
	last, known := s.holders[node]
	if !known {
		return
	}
	delete(s.holders, node)
	delete(s.registrations, node)
	for ended, waiting := range s.ended {
		delete(waiting, node)
		s.reclaimConfirmed(ended)
	}
	s.endIncarnation(fleet.Holder{
		Node:        node,
		Incarnation: last,
	})
}

// Incarnation returns a node's registered incarnation, or 0 if there is none.
func (s *State) Incarnation(node fleet.NodeID) fleet.Incarnation {
	return s.holders[node]
}

// endIncarnation ends an incarnation. If it leaves nothing on lease there is nothing to
// reclaim, and no confirmations are requested: when all nodes of a fleet restart together,
// each node confirming every ended incarnation would be 6,724 commands for 82 nodes.
func (s *State) endIncarnation(ended fleet.Holder) {
	s.forfeit(ended)
	if !s.hasLeases(ended) {
		return
	}
	waiting := map[fleet.NodeID]bool{}
	for node := range s.holders {
		waiting[node] = true
	}
	s.ended[ended] = waiting
	s.reclaimConfirmed(ended)
}

// hasLeases reports whether a holder has quota on lease.
func (s *State) hasLeases(holder fleet.Holder) bool {
	for _, a := range s.accounts {
		if l, ok := a.leases[holder]; ok && l.outstanding > 0 {
			return true
		}
	}
	return false
}

// forfeit counts an ended holder's metered leases as spent, because they may have been:
// the holder's last report is lost.
func (s *State) forfeit(ended fleet.Holder) fleet.Tokens {
	spent := fleet.Tokens(0)
	for _, a := range s.accounts {
		l, ok := a.leases[ended]
		if !ok || !a.metered {
			continue
		}
		spent += l.outstanding
		a.forfeited += l.outstanding
		a.spend(l, l.outstanding)
		delete(a.leases, ended)
	}
	return spent
}

// Confirm records that a node holds no settlement of an ended holder.
func (s *State) Confirm(c ConfirmNoneHeld) {
	if s.holders[c.By.Node] != c.By.Incarnation {
		return
	}
	waiting, ok := s.ended[c.Ended]
	if !ok {
		return
	}
	delete(waiting, c.By.Node)
	s.reclaimConfirmed(c.Ended)
}

func (s *State) reclaimConfirmed(ended fleet.Holder) {
	if len(s.ended[ended]) > 0 {
		return
	}
	delete(s.ended, ended)
	for _, a := range s.accounts {
		if l, ok := a.leases[ended]; ok {
			a.leased -= l.outstanding
			delete(a.leases, ended)
		}
	}
}

// UnconfirmedBy returns the ended holders that a node has not confirmed yet.
func (s *State) UnconfirmedBy(node fleet.NodeID) []fleet.Holder {
	var ended []fleet.Holder
	for holder, waiting := range s.ended {
		if waiting[node] {
			ended = append(ended, holder)
		}
	}
	sort.Slice(ended, func(i, j int) bool { return lessHolder(ended[i], ended[j]) })
	return ended
}

// BudgetView is the state of one budget, for operators.
type BudgetView struct {
	ID      fleet.BudgetID `json:"id"`
	Prepaid fleet.Tokens   `json:"prepaid"`
	Settled fleet.Tokens   `json:"settled"`
	Leased  fleet.Tokens   `json:"leased"`
	Free    fleet.Tokens   `json:"free"`
	Leases  []LeaseView    `json:"leases"`
}

// LeaseView is the state of one lease, for operators.
type LeaseView struct {
	Holder      fleet.Holder `json:"holder"`
	Outstanding fleet.Tokens `json:"outstanding"`
	Recalling   bool         `json:"recalling"`
	// Ended is true if the holder's incarnation has ended and its quota is to be
	// reclaimed once the other nodes have confirmed.
	Ended bool `json:"ended"`
}

// Budget returns the state of one budget, and false if it does not exist.
func (s *State) Budget(id fleet.BudgetID) (BudgetView, bool) {
	a, ok := s.accounts[id]
	if !ok {
		return BudgetView{}, false
	}
	view := BudgetView{
		ID:      id,
		Prepaid: a.prepaid,
		Settled: a.settled,
		Leased:  a.leased,
		Free:    a.free(),
	}
	for holder, l := range a.leases {
		_, ended := s.ended[holder]
		view.Leases = append(view.Leases, LeaseView{
			Holder:      holder,
			Outstanding: l.outstanding,
			Recalling:   l.recalling,
			Ended:       ended,
		})
	}
	sort.Slice(view.Leases, func(i, j int) bool {
		return lessHolder(view.Leases[i].Holder, view.Leases[j].Holder)
	})
	return view, true
}

// MeteredBudget has the totals of a metered budget.
type MeteredBudget struct {
	Prepaid fleet.Tokens
	Settled fleet.Tokens
	Leased  fleet.Tokens
	// Forfeited is the part of Settled that ended incarnations may have spent and did not report.
	Forfeited fleet.Tokens
}

// MeteredBudget returns the totals of a metered budget, and false if there is none of that id.
func (s *State) MeteredBudget(id fleet.BudgetID) (MeteredBudget, bool) {
	a, ok := s.accounts[id]
	if !ok || !a.metered {
		return MeteredBudget{}, false
	}
	return MeteredBudget{
		Prepaid:   a.prepaid,
		Settled:   a.settled,
		Leased:    a.leased,
		Forfeited: a.forfeited,
	}, true
}

// MeteredTotals returns how many tokens of all metered budgets are on lease and settled.
func (s *State) MeteredTotals() (leased, settled fleet.Tokens) {
	for _, a := range s.accounts {
		if a.metered {
			leased += a.leased
			settled += a.settled
		}
	}
	return leased, settled
}

// Stats counts the ledger's records.
type Stats struct {
	Budgets     int    `json:"budgets"`
	Settlements int    `json:"settlements"`
	Calls       int    `json:"calls"`
	Holders     int    `json:"holders"`
	Unbacked    uint64 `json:"unbacked"`
}

// Stats returns the current counts.
func (s *State) Stats() Stats {
	return Stats{
		Budgets:     len(s.accounts),
		Settlements: len(s.settlements),
		Calls:       len(s.calls),
		Holders:     len(s.holders),
		Unbacked:    s.unbacked,
	}
}

// Check verifies the invariant settled + leased <= prepaid of every budget.
func (s *State) Check() error {
	for id, a := range s.accounts {
		sum := fleet.Tokens(0)
		for holder, l := range a.leases {
			if l.outstanding < 0 {
				return eris.Errorf("budget %s: holder %v has a negative lease of %d", id, holder, l.outstanding)
			}
			sum += l.outstanding
		}
		if sum != a.leased {
			return eris.Errorf("budget %s: leases sum to %d, recorded %d", id, sum, a.leased)
		}
		if a.settled+a.leased > a.prepaid {
			return eris.Errorf("budget %s: settled %d + leased %d > prepaid %d", id, a.settled, a.leased, a.prepaid)
		}
	}
	return nil
}
