package control

import (
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/orders"
)

// OrderState implements orders.Leadership.
func (r *Replica) OrderState() (holds bool, term uint64, targets []orders.Target) {
	r.do(func() {
		holds = r.failed == nil && r.core.HoldsLease(clock.SinceBoot())
		term = uint64(r.core.Term())
		if holds {
			targets = r.orderTargets()
		}
	})
	return holds, term, targets
}

// orderTargets returns the order targets. It recomputes them only when the configuration
// has changed.
func (r *Replica) orderTargets() []orders.Target {
	if version := r.machine.catalog.Version(); r.targets == nil || r.targetsVersion != version {
		r.targets = orders.Targets(r.machine.catalog)
		r.targetsVersion = version
	}
	return r.targets
}

// HoldsLease implements orders.Leadership.
func (r *Replica) HoldsLease(term uint64) bool {
	holds := false
	r.do(func() {
		holds = r.failed == nil && r.core.HoldsLease(clock.SinceBoot()) && uint64(r.core.Term()) == term
	})
	return holds
}
