// Package discovery reads the list of instances on behalf of many nodes.
//
// The list may be read only so often by all nodes together, and each reading has a
// price. So the control group's leader reads it for all and passes it on. A node that
// hears no list for a while reads it itself, as rarely as the number of nodes that may
// be doing the same demands.
package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/routing"
)

const (
	// Interval is the time between a leader's readings. With the list's own lag
	// it leaves most of the time that a leaving instance must be known in.
	Interval = 500 * time.Millisecond
	// StaleAfter is the age of the list from which on a node reads it itself.
	StaleAfter = 1500 * time.Millisecond
	// pollStale is how often a node looks at the list's age.
	pollStale = 500 * time.Millisecond
	// readTimeout bounds one reading.
	readTimeout = time.Second
	// rateShare is the part of the permitted calls that nodes use which read for
	// themselves. A reading takes a call for each page, and calls have a price.
	rateShare = 0.25
)

// Lister reads the list. Unreadable counts the entries that were left out.
type Lister interface {
	List(ctx context.Context) (instances []routing.Instance, unreadable int, err error)
}

// Config sets up a Reader.
type Config struct {
	Lister Lister
	// Pause returns the time until the next reading may be due.
	Pause func() time.Duration
	// Due reports whether this node is to read the list now.
	Due func() bool
	// Deliver takes in a reading.
	Deliver func(instances []routing.Instance)
	Log     *event.Log
}

// Reader reads the list while it is due.
type Reader struct {
	cfg      Config
	readable bool
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

// Close ends the reader.
func (r *Reader) Close() {
	r.cancel()
	r.wait.Wait()
}

func (r *Reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.cfg.Due() {
			r.read(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(r.cfg.Pause()):
		}
	}
}

func (r *Reader) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	instances, unreadable, err := r.cfg.Lister.List(ctx)
	switch {
	case err != nil && r.readable:
		r.cfg.Log.Warn(event.ListUnreadable).Err(err).Msg("the list of instances cannot be read; the last one stays in use")
	case err == nil && !r.readable:
		r.cfg.Log.Info(event.ListReadable).Int("instances", len(instances)).Int("unreadable", unreadable).Msg("the list of instances can be read again")
	}
	r.readable = err == nil
	if err == nil {
		r.cfg.Deliver(instances)
	}
}

// FallbackPause returns the time between the readings of a node that reads the list
// itself while others may do the same, at a rate that all share.
func FallbackPause(nodes int, ratePerSecond float64) time.Duration {
	pause := time.Duration(float64(nodes) / (ratePerSecond * rateShare) * float64(time.Second))
	pause = max(pause, pollStale)
	return pause + time.Duration(rand.Int64N(int64(pause/4)+1))
}
