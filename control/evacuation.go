package control

import (
	"github.com/waxwingreel/waxwingreel/evacuation"
)

// evacuationProblem returns why an order cannot be committed now, empty if it can. A replica of an earlier version
// would drop the order, and its snapshots would lose the set.
func (r *Replica) evacuationProblem(order *evacuation.Order) string {
	if order == nil {
		return ""
	}
	if err := order.Check(); err != nil {
		return err.Error()
	}
	members := r.core.Members()
	for _, peer := range r.peers {
		if !peer.Evacuates && r.isMember(members, peer.Replica) {
			return "control node " + string(peer.Node) + " is of a version that knows no evacuations"
		}
	}
	return ""
}

// newerEvacuations returns the list of evacuated data centres if a subscriber has an older one.
func (r *Replica) newerEvacuations(s *subscriber) *evacuation.List {
	list := r.machine.evacuations.List
	if list.Number <= s.evacuations {
		return nil
	}
	return &list
}
