// Package discovery reads the list of instances.
//
// The rate at which all nodes together may read the list is limited, and each call has a
// cost. The leader of the control group therefore reads the list and distributes it. While
// the group is out of reach, one entry node reads it for the others (package gateway). A
// node that gets it from nobody reads it itself, at an interval proportional to the number
// of nodes that may be doing the same.
package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/routing"
)

const (
	// minInterval and maxInterval bound the time between two reads by the leader.
	minInterval = 250 * time.Millisecond
	maxInterval = time.Second
	// leadCheckInterval is the time between two checks of a node that does not lead. After a
	// restart of all nodes none has a list until the new leader reads it.
	leadCheckInterval = 100 * time.Millisecond
	// StaleAfter is the age of the list above which a node looks for a newer one.
	StaleAfter = 1500 * time.Millisecond
	// staleCheckInterval is the minimum time between two checks of the list's age.
	staleCheckInterval = 500 * time.Millisecond
	// readTimeout is the timeout of one read.
	readTimeout = time.Second
	// fallbackRateShare is the share of the permitted call rate that nodes use
	// when they read the list themselves. It is well below 1 because a read takes
	// one call per page, and each call has a cost.
	fallbackRateShare = 0.25
)

// Lister reads the list of instances.
type Lister interface {
	// List returns the instances, and the number of entries that could not be
	// parsed and were left out.
	List(ctx context.Context) (instances []routing.Instance, unreadable int, err error)
}

// Config configures a Reader.
type Config struct {
	Lister Lister
	// Delay is the time until Due is called for the first time. All nodes of a fleet may start
	// at once, and most get the list from the control group soon after.
	Delay time.Duration
	// Interval returns the time until Due is called again. It is called after each
	// check.
	Interval func() time.Duration
	// Due reports whether this node should read the list now.
	Due func() bool
	// Deliver is called with each list that was read, and the time since boot at which the read began.
	Deliver func(instances []routing.Instance, readAt time.Duration)
	Log     *event.Log
}

// Reader reads the list whenever it is due.
type Reader struct {
	cfg Config
	// readable is whether the last read succeeded, skipped the number of entries of the last list
	// that name no server.
	readable bool
	skipped  int
	cancel   context.CancelFunc
	wait     sync.WaitGroup
}

// New starts a reader.
func New(cfg Config) *Reader {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reader{
		cfg:      cfg,
		readable: true,
		cancel:   cancel,
	}
	r.wait.Go(func() { r.run(ctx) })
	return r
}

// Close stops the reader and waits for it.
func (r *Reader) Close() {
	r.cancel()
	r.wait.Wait()
}

func (r *Reader) run(ctx context.Context) {
	for wait := Jittered(r.cfg.Delay); ; wait = r.cfg.Interval() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if r.cfg.Due() {
			r.read(ctx)
		}
	}
}

func (r *Reader) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	readAt := clock.SinceBoot()
	instances, unreadable, err := r.cfg.Lister.List(ctx)
	switch {
	case err != nil && r.readable:
		r.cfg.Log.Warn(event.ListUnreadable).Err(err).Msg("list of instances cannot be read; the last list remains in use")
	case err == nil && !r.readable:
		r.cfg.Log.Info(event.ListReadable).Int("instances", len(instances)).Int("unreadable", unreadable).Msg("list of instances can be read again")
	}
	r.readable = err == nil
	if err == nil && unreadable != r.skipped {
		r.skipped = unreadable
		r.cfg.Log.Warn(event.EntriesSkipped).Int("skipped", unreadable).Int("instances", len(instances)).Msg("entries of the list of instances name no server that can exist; the others are used")
	}
	if err == nil {
		r.cfg.Deliver(instances, readAt)
	}
}

// Interval returns the time between two reads by the leader. With the lag of the list itself and the
// way to the nodes, it takes less than half of the time within which a node must send nothing more
// to an instance that the list shows as draining.
func Interval(drain time.Duration) time.Duration {
	return min(max(drain/4, minInterval), maxInterval)
}

// LeaderInterval returns the time until a control node checks again whether to read the list: that
// of Interval if it leads the control group, and a short one otherwise.
func LeaderInterval(leads bool, drain time.Duration) time.Duration {
	if leads {
		return Interval(drain)
	}
	return leadCheckInterval
}

// FallbackInterval returns the interval between two reads of a node that reads
// the list itself. It is long enough for all nodes to do so within fallbackRateShare of the
// permitted rate.
func FallbackInterval(nodes int, ratePerSecond float64) time.Duration {
	interval := time.Duration(float64(nodes) / (ratePerSecond * fallbackRateShare) * float64(time.Second))
	return max(interval, staleCheckInterval)
}

// Jittered returns an interval that is up to a quarter longer, so that nodes do not act together.
func Jittered(interval time.Duration) time.Duration {
	return interval + time.Duration(rand.Int64N(int64(interval/4)+1))
}
