package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/metrics"
	"github.com/waxwingreel/waxwingreel/origin"
	"github.com/waxwingreel/waxwingreel/routing"
)

const (
	// originReportDelay collects the streams that begin within a moment into one heartbeat. A node
	// that is killed sooner takes them with it.
	originReportDelay = 20 * time.Millisecond
	// maxOriginsReported bounds the streams in one heartbeat.
	maxOriginsReported = 1024
	// versionsWaitFraction and maxVersionsWait bound the wait for a list that was read after a stream was
	// resumed, as a fraction of the remaining time and in all. Lists come every second.
	versionsWaitFraction = 0.4
	maxVersionsWait      = 2500 * time.Millisecond
	versionsPollInterval = 25 * time.Millisecond
)

// origins knows where streams began and which software versions services have had. It is safe for
// concurrent use.
type origins struct {
	cfg Config

	mu       sync.Mutex
	table    origin.Table
	versions origin.History
	// unreported are the streams that wait for a heartbeat.
	unreported []origin.Record
}

func newOrigins(cfg Config) *origins {
	return &origins{cfg: cfg}
}

// observe records the versions in a list that was read at a time.
func (o *origins) observe(list control.InstanceList, readAt time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if list.Versions != nil {
		o.versions.Merge(*list.Versions, clock.SinceBoot())
	}
	o.versions.Observe(list.Instances, readAt)
	o.versions.Prove(list.ProvenAt)
}

// report returns the versions that services have had, for another node.
func (o *origins) report() *origin.Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.versions.Report(clock.SinceBoot())
	return &r
}

// add records a stream, and reports it with a heartbeat that is sent soon.
func (o *origins) add(r origin.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Add(r, clock.SinceBoot())
	if len(o.unreported) >= maxOriginsReported {
		return
	}
	o.unreported = append(o.unreported, r)
	if len(o.unreported) == 1 {
		time.AfterFunc(originReportDelay, o.cfg.Control.SendHeartbeat)
	}
}

// take returns the streams for the next heartbeat. The first heartbeat to a replica has the latest
// that this node knows.
func (o *origins) take(first bool) ([]origin.Record, *origin.Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := clock.SinceBoot()
	unreported := o.unreported
	o.unreported = nil
	if !first {
		return unreported, nil
	}
	versions := o.versions.Report(now)
	return o.table.Latest(maxOriginsReported, now), &versions
}

// find returns the record of a stream.
func (o *origins) find(key origin.Key) (origin.Record, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Find(key, clock.SinceBoot())
}

// single returns the version of a service if it has had no other for a time. The node that began the
// stream may have read a newer list than this one, so it waits until the history has all lists that were
// read before the stream was resumed.
func (o *origins) single(ctx context.Context, service fleet.ServiceID, window, resumed, wait time.Duration) (routing.SoftwareVersion, bool) {
	for deadline := clock.SinceBoot() + wait; ; {
		o.mu.Lock()
		now := clock.SinceBoot()
		proven := o.versions.Proven(resumed)
		version, ok := o.versions.Single(service, window, now)
		o.mu.Unlock()
		if !ok || proven {
			return version, ok
		}
		if now >= deadline {
			return "", false
		}
		select {
		case <-ctx.Done():
			return "", false
		case <-time.After(versionsPollInterval):
		}
	}
}

// learn records what control replicas know of versions.
func (o *origins) learn(answer origin.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range answer.Versions {
		o.versions.Merge(r, clock.SinceBoot())
	}
	if len(answer.Versions) > 0 {
		o.versions.Prove(answer.ProvenAt)
	}
}

// TakeOrigins implements controlclient.Watcher.
func (s *Server) TakeOrigins(first bool) ([]origin.Record, *origin.Report) {
	return s.origins.take(first)
}

// findOrigin finds where the stream began that the caller resumes. It refuses the request and returns
// false if that is not known or no instance may continue it.
func (x *exchange) findOrigin() bool {
	if x.route.Kind != routing.KindStream || x.request.Resumes == "" && x.request.LastEventID == "" {
		return true
	}
	found, source := x.lookUpOrigin()
	x.s.cfg.Metrics.Count("streams_resumed", metrics.Label{
		Name:  "origin",
		Value: source,
	})
	x.s.cfg.Log.Info(event.StreamResumed).
		Str("request", string(x.request.ID)).
		Str("resumes", string(x.request.Resumes)).
		Str("afterEvent", x.request.LastEventID).
		Str("source", source).
		Str("service", string(found.Service)).
		Str("software", string(found.Software)).
		Msg("caller resumes a stream")
	if source == originUnknown {
		x.refuse(CauseOriginUnknown)
		return false
	}
	switch {
	case !x.s.hasList.Load():
		x.refuse(CauseNoInstance)
		return false
	case !x.targets(found.Service) || !x.s.dispatch.serves(found):
		x.refuse(CauseVersionGone)
		return false
	}
	x.service = x.view.Service(found.Service)
	x.origin = &found
	return true
}

// Values of the field source of the event StreamResumed: who knew the origin of a stream.
const (
	originLocal   = "node"
	originControl = "control"
	// originSingle means that there is no record, but the service has had a single version.
	originSingle  = "singleVersion"
	originUnknown = "unknown"
)

// lookUpOrigin returns where the stream began that the caller resumes, and how that is known.
func (x *exchange) lookUpOrigin() (found routing.Origin, source string) {
	key := x.originKey(x.request.Resumes)
	record, known := origin.Record{}, false
	source = originLocal
	if key.Request != "" {
		record, known = x.s.origins.find(key)
	}
	if !known && key.Request != "" {
		source = originControl
		answer, err := x.s.cfg.Control.FindOrigin(x.ctx, key)
		x.s.origins.learn(answer)
		if err == nil && answer.Record != nil {
			record, known = *answer.Record, true
		}
	}
	if known {
		if record.Ambiguous {
			return routing.Origin{}, originUnknown
		}
		return record.Origin, source
	}
	if len(x.route.Targets) > 1 {
		return routing.Origin{}, originUnknown
	}
	wait := min(time.Duration(float64(x.deadline-clock.SinceBoot())*versionsWaitFraction), maxVersionsWait)
	software, ok := x.s.origins.single(x.ctx, x.service.ID, origin.TTL(x.route.Timeout), x.arrived, wait)
	if !ok {
		return routing.Origin{}, originUnknown
	}
	return routing.Origin{
		Service:  x.service.ID,
		Software: software,
	}, originSingle
}

func (x *exchange) originKey(request routing.RequestID) origin.Key {
	return origin.Key{
		Caller:  x.caller(),
		Request: request,
	}
}

// targets reports whether the route leads to a service.
func (x *exchange) targets(service fleet.ServiceID) bool {
	for _, t := range x.route.Targets {
		if t.Service == service {
			return true
		}
	}
	return false
}

// recordOrigin records where the stream began, before its first event is delivered. A stream that the
// caller resumes is recorded again, so that it is known for as long as the caller may come back.
func (x *exchange) recordOrigin(instance routing.Instance) {
	if x.events > 0 || !x.route.Resumable {
		return
	}
	if x.origin == nil {
		began := instance.Origin()
		x.origin = &began
	}
	ids := []routing.RequestID{x.request.ID}
	if x.request.Resumes != "" && x.request.Resumes != x.request.ID {
		ids = append(ids, x.request.Resumes)
	}
	for _, id := range ids {
		x.s.origins.add(origin.Record{
			Key:       x.originKey(id),
			Origin:    *x.origin,
			TTLMillis: origin.TTL(x.route.Timeout).Milliseconds(),
		})
	}
}
