package ledger

import (
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Join registers a node's new life. The node's earlier lives have ended; their
// quota comes back once every other node has confirmed that it holds none of
// their settlements. It reports false for a life older than the registered one.
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
		s.end(fleet.Holder{
			Node:        holder.Node,
			Incarnation: last,
		})
	}
	return true
}

// AssignIncarnation registers a node's new life under a number of the ledger's choice, which
// it returns, with what became of the metered leases of the life before. A repeated
// command gets the same number.
func (s *State) AssignIncarnation(join Join) (fleet.Incarnation, Forfeit) {
	node := join.Holder.Node
	last, known := s.holders[node]
	before := s.lives[node]
	if known && before.id == join.Nonce {
		return last, Forfeit{}
	}
	forfeit := Forfeit{}
	if known {
		forfeit = s.forfeitLimits(fleet.Holder{
			Node:        node,
			Incarnation: last,
		}, s.endedBy(node, join, before.boot == join.Boot && join.Boot != ""))
	}
	s.lives[node] = life{
		id:   join.Nonce,
		boot: join.Boot,
	}
	holder := fleet.Holder{
		Node:        node,
		Incarnation: max(join.Holder.Incarnation, last+1),
	}
	if known {
		forfeit.Spent += s.forfeit(fleet.Holder{
			Node:        node,
			Incarnation: last,
		})
	}
	s.Join(holder)
	return holder.Incarnation, forfeit
}

// Forfeit tells what became of the metered leases of a life that ended without giving
// them back: what counts as spent, because it may have been, and what came back.
type Forfeit struct {
	Spent    fleet.Tokens
	Returned fleet.Tokens
}

// endedBy returns a time on the clock of a node's last life by which that life had
// ended, or 0 where none is known. The same run of the kernel tells it, and so does the
// leader, if it has led since before the life's latest change.
func (s *State) endedBy(node fleet.NodeID, join Join, sameBoot bool) time.Duration {
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
	ended := time.Duration(0)
	if sameBoot && join.Started >= latest {
		ended = join.Started
	}
	if join.SinceLastChange > 0 && (ended == 0 || latest+join.SinceLastChange < ended) {
		ended = latest + join.SinceLastChange
	}
	return ended
}

// forfeitLimits ends the metered leases of a life that is known to have ended by
// a time on the clock of its VM.
//
// A holder spends within the limit that it named with its latest change, which rises
// with time. So what the limit had risen to when the next life began is all that can
// have been spent, and the rest comes back. For example, a holder with 90,000 tokens
// names a limit of 5,000 at 41.2 s that rises by 3,000 a second, is killed, and starts
// again at 43.2 s: 11,000 count as spent and 79,000 come back. Without a limit all
// 90,000 would, since the last report of a killed process is always missing.
func (s *State) forfeitLimits(life fleet.Holder, ended time.Duration) Forfeit {
	f := Forfeit{}
	for _, a := range s.accounts {
		l, ok := a.leases[life]
		if !ok || !a.metered || ended < l.at {
			continue
		}
		risen := fleet.Tokens(float64(l.slope) * (ended - l.at).Seconds())
		spent := min(l.limit+risen, l.outstanding)
		a.spend(l, spent)
		f.Spent += spent
		f.Returned += l.outstanding
		a.leased -= l.outstanding
		delete(a.leases, life)
	}
	return f
}

// Remove takes note that a node is destroyed and will never run again.
func (s *State) Remove(node fleet.NodeID) {
	last, known := s.holders[node]
	if !known {
		return
	}
	delete(s.holders, node)
	delete(s.lives, node)
	for ended, waiting := range s.ending {
		delete(waiting, node)
		s.reclaimIfConfirmed(ended)
	}
	s.end(fleet.Holder{
		Node:        node,
		Incarnation: last,
	})
}

// Incarnation returns a node's registered life, 0 for none.
func (s *State) Incarnation(node fleet.NodeID) fleet.Incarnation {
	return s.holders[node]
}

// end ends a life. Where it leaves nothing on lease, there is nothing that could come back,
// and nobody is asked: when all of a fleet's nodes restart together, the word of each on
// the last life of each other one would be 6,724 commands for 82 nodes.
func (s *State) end(ended fleet.Holder) {
	s.forfeit(ended)
	if !s.holds(ended) {
		return
	}
	waiting := map[fleet.NodeID]bool{}
	for node := range s.holders {
		waiting[node] = true
	}
	s.ending[ended] = waiting
	s.reclaimIfConfirmed(ended)
}

// holds reports whether a holder has quota on lease.
func (s *State) holds(holder fleet.Holder) bool {
	for _, a := range s.accounts {
		if l, ok := a.leases[holder]; ok && l.outstanding > 0 {
			return true
		}
	}
	return false
}

// forfeit counts what an ended holder had of metered budgets as spent. It may have
// been: the holder's last report is lost.
func (s *State) forfeit(ended fleet.Holder) fleet.Tokens {
	spent := fleet.Tokens(0)
	for _, a := range s.accounts {
		l, ok := a.leases[ended]
		if !ok || !a.metered {
			continue
		}
		spent += l.outstanding
		a.spend(l, l.outstanding)
		delete(a.leases, ended)
	}
	return spent
}

// Confirm takes a node's word that it holds no settlement of an ended holder.
func (s *State) Confirm(c ConfirmNoneHeld) {
	if s.holders[c.By.Node] != c.By.Incarnation {
		return
	}
	waiting, ok := s.ending[c.Ended]
	if !ok {
		return
	}
	delete(waiting, c.By.Node)
	s.reclaimIfConfirmed(c.Ended)
}

func (s *State) reclaimIfConfirmed(ended fleet.Holder) {
	if len(s.ending[ended]) > 0 {
		return
	}
	delete(s.ending, ended)
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
	for holder, waiting := range s.ending {
		if waiting[node] {
			ended = append(ended, holder)
		}
	}
	sort.Slice(ended, func(i, j int) bool { return lessHolder(ended[i], ended[j]) })
	return ended
}

// BudgetView is one budget as operators see it.
type BudgetView struct {
	ID      fleet.BudgetID `json:"id"`
	Prepaid fleet.Tokens   `json:"prepaid"`
	Settled fleet.Tokens   `json:"settled"`
	Leased  fleet.Tokens   `json:"leased"`
	Free    fleet.Tokens   `json:"free"`
	Leases  []LeaseView    `json:"leases"`
}

// LeaseView is one lease as operators see it.
type LeaseView struct {
	Holder      fleet.Holder `json:"holder"`
	Outstanding fleet.Tokens `json:"outstanding"`
	Recalling   bool         `json:"recalling"`
	// Ended says that the holder's life has ended and that its quota waits
	// for other nodes' confirmation.
	Ended bool `json:"ended"`
}

// Budget returns one budget.
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
		_, ended := s.ending[holder]
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

// Stats counts the ledger's records.
type Stats struct {
	Budgets     int    `json:"budgets"`
	Settlements int    `json:"settlements"`
	Calls       int    `json:"calls"`
	Holders     int    `json:"holders"`
	Unbacked    uint64 `json:"unbacked"`
}

// Stats returns the present counts.
func (s *State) Stats() Stats {
	return Stats{
		Budgets:     len(s.accounts),
		Settlements: len(s.settlements),
		Calls:       len(s.calls),
		Holders:     len(s.holders),
		Unbacked:    s.unbacked,
	}
}

// Check verifies the invariant of every budget.
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
