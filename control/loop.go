package control

import (
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/consensus"
)

// do runs f on the goroutine that owns the replica's state and reports whether f ran.
func (r *Replica) do(f func()) bool {
	done := make(chan struct{})
	select {
	case r.work <- func() {
		defer close(done)
		f()
	}:
	case <-r.ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// loop processes messages, proposals and timers. Its goroutine owns the replica's state.
func (r *Replica) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for r.ctx.Err() == nil {
		r.iterate(ticker.C)
	}
}

// iterate processes what is queued and what is due. After a panic the replica's state is unknown,
// as after a failed write, so the replica stops; the process ends, and the next one reads the
// journal. On a VM that serves callers too, those are served meanwhile.
func (r *Replica) iterate(tick <-chan time.Time) {
	defer func() {
		if value := recover(); value != nil {
			r.cfg.Log.Panicked("replica")(value, debug.Stack())
			r.fail(eris.Errorf("control: panic in the replica: %v", value))
		}
	}()
	select {
	case <-r.ctx.Done():
		return
	case <-tick:
	case m := <-r.messages:
		r.step(m)
	case p := <-r.proposals:
		r.propose(p)
	case f := <-r.work:
		f()
	}
	r.drain()
	now := clock.SinceBoot()
	r.hearing.Observe(r.core.Members(), now)
	if r.failed == nil && r.canWrite(now) {
		r.core.Tick(now)
		r.manageGroup()
		r.flush()
	}
	r.checkLeadership()
	r.checkFreshness(now)
	r.sendAnnouncements(now)
}

// drain processes what else is queued, so that one disk sync covers many commands.
func (r *Replica) drain() {
	for range maxBatch {
		select {
		case m := <-r.messages:
			r.step(m)
		case p := <-r.proposals:
			r.propose(p)
		case f := <-r.work:
			f()
		default:
			return
		}
	}
}

func (r *Replica) step(m consensus.Message) {
	if r.failed != nil {
		return
	}
	now := clock.SinceBoot()
	r.hearing.Heard(m.From, now)
	if r.unsaved == nil {
		r.core.Step(m, now)
	}
}

// checkFreshness tells the subscribers at once when this replica has become stale, or up to date.
func (r *Replica) checkFreshness(now time.Duration) {
	if upToDate := r.core.UpToDate(now, leaderTimeout); upToDate != r.wasUpToDate {
		r.wasUpToDate = upToDate
		r.notify(effects{nodes: true})
	}
}
