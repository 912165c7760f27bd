package node

import (
	"context"
	"expvar"
	"runtime"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/intake"
	"github.com/waxwingreel/waxwingreel/metrics"
)

// maxHeaderBytes bounds the header of a request, except for a few kilobytes that the HTTP library
// allows beyond it.
const maxHeaderBytes = 32 << 10

// The groups of connections, one for each kind of listener.
const (
	groupCallers   intake.Group = "callers"
	groupReady     intake.Group = "ready"
	groupDirectory intake.Group = "directory"
	groupOperators intake.Group = "operators"
	groupMetrics   intake.Group = "metrics"
)

// The limits of the groups beside that of callers. The directory and operators get a part of the
// callers' connections, as a divisor.
const (
	directoryShare     = 3
	operatorShare      = 6
	readyConnections   = 64
	metricsConnections = 32
	// maxRequests is the number of requests on one connection of these groups. Clients that send very many
	// ahead have to connect again. The gateway has a limit of its own.
	maxRequests = 64
	// smallBytes is what one request may hold while there is little room: a usual head and a body of
	// some kilobytes.
	smallBytes = 64 << 10
)

// shedCount is for the operators of nodes that serve no metrics.
var shedCount = expvar.NewInt("waxwingreel.intake.shed")

// openGate creates the gate of all listeners.
func (n *Node) openGate() {
	s := n.cfg.Settings.Intake
	callers := int(s.Connections)
	connections := map[intake.Group]int{}
	if callers > 0 {
		connections = map[intake.Group]int{
			groupCallers:   callers,
			groupDirectory: max(callers/directoryShare, 1),
			groupOperators: max(callers/operatorShare, 1),
			groupReady:     readyConnections,
			groupMetrics:   metricsConnections,
		}
	}
	report := newShedReport(n.cfg.Log, n.metrics)
	n.gate = intake.NewGate(intake.Config{
		Limits: intake.Limits{
			Bytes:       s.Bytes,
			Small:       smallBytes,
			Rate:        s.BytesPerSecond,
			Grace:       time.Duration(s.GraceMillis) * time.Millisecond,
			Connections: connections,
		},
		MaxRequests: map[intake.Group]int{
			groupDirectory: maxRequests,
			groupMetrics:   maxRequests,
			groupReady:     maxRequests,
		},
		Observe: report.add,
	})
	n.metrics.AddGauges(func(gauge func(name string, value float64)) {
		usage := n.gate.Usage()
		gauge("clients_held_bytes", float64(usage.Bytes))
		gauge("clients_held_limit_bytes", float64(usage.Limit))
		gauge("clients_connections", float64(usage.Connections))
		gauge("goroutines", float64(runtime.NumGoroutine()))
	})
	n.background.Go(func() { report.run(n.ctx) })
}

// shedReport counts the connections that are closed or refused and reports them once a second.
type shedReport struct {
	log     *event.Log
	metrics *metrics.Set
	begun   chan struct{}

	mu     sync.Mutex
	counts map[shedKind]int
	last   intake.Shed
}

// shedKind is where and why a connection was closed or refused.
type shedKind struct {
	group  intake.Group
	reason intake.Reason
}

func newShedReport(log *event.Log, set *metrics.Set) *shedReport {
	return &shedReport{
		log:     log,
		metrics: set,
		begun:   make(chan struct{}, 1),
		counts:  map[shedKind]int{},
	}
}

// add counts a connection that was closed or refused.
func (r *shedReport) add(s intake.Shed) {
	shedCount.Add(1)
	r.metrics.Count("clients_shed", metrics.Label{
		Name:  "listener",
		Value: string(s.Group),
	}, metrics.Label{
		Name:  "reason",
		Value: string(s.Reason),
	})
	r.mu.Lock()
	r.counts[shedKind{
		group:  s.Group,
		reason: s.Reason,
	}]++
	r.last = s
	r.mu.Unlock()
	select {
	case r.begun <- struct{}{}:
	default:
	}
}

// run reports until ctx ends. It wakes up only while there is something to report.
func (r *shedReport) run(ctx context.Context) {
	surge := intake.Surge{}
	for {
		if surge.Quiet() {
			select {
			case <-ctx.Done():
				return
			case <-r.begun:
			}
		}
		if !sleep(ctx, intake.Interval) {
			return
		}
		r.second(&surge)
	}
}

// second reports what was counted in the last second.
func (r *shedReport) second(surge *intake.Surge) {
	r.mu.Lock()
	counts, last := r.counts, r.last
	r.counts = map[shedKind]int{}
	r.mu.Unlock()
	total := 0
	for kind, n := range counts {
		total += n
		id := event.ClientsShed
		if kind.reason == intake.ReasonFull {
			id = event.ConnectionsRefused
		}
		r.log.Warn(id).
			Str("listener", string(kind.group)).
			Str("reason", string(kind.reason)).
			Int("connections", n).
			Str("lastAddress", last.Address).
			Int64("heldBytes", last.Usage.Bytes).
			Int64("limitBytes", last.Usage.Limit).
			Int("open", last.Usage.Connections).
			Str("mostHeldBy", last.Usage.Address).
			Int64("mostHeldBytes", last.Usage.AddressBytes).
			Msg("connections of clients were closed or refused")
	}
	change := surge.Second(total)
	if change == intake.SurgeUnchanged {
		return
	}
	state := "begun"
	if change == intake.SurgeEnded {
		state = "ended"
	}
	r.log.Warn(event.ClientSurge).
		Str("state", state).
		Float64("perSecond", surge.PerSecond()).
		Str("mostHeldBy", last.Usage.Address).
		Msg("many connections of clients are closed or refused, or no longer")
}
