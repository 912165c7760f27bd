package control

import (
	"context"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/origin"
	"github.com/waxwingreel/waxwingreel/wire"
)

// originsInterval is the time between two messages on streams to each other replica. A caller whose
// stream broke needs longer to come back.
const originsInterval = 100 * time.Millisecond

// handleOrigins registers the handlers of messages on streams.
func (r *Replica) handleOrigins(endpoint *wire.Endpoint) {
	endpoint.HandleMessage(MethodOrigins, func(_ fleet.NodeID, body []byte) {
		var records []origin.Record
		if wire.Decode(body, &records) == nil {
			r.do(func() { r.applyOrigins(records) })
		}
	})
	endpoint.HandleCall(MethodFindOrigin, func(_ context.Context, _ fleet.NodeID, body []byte) (any, error) {
		key := origin.Key{}
		if err := wire.Decode(body, &key); err != nil {
			return nil, err
		}
		response := OriginResponse{}
		r.do(func() {
			now := clock.SinceBoot()
			response.Record, response.Known = r.origins.Find(key, now)
			response.Versions = r.versions.Report(now)
		})
		return response, nil
	})
}

// applyOrigins stores records and returns those that were news. Nodes repeat what they know to each
// replica that they follow.
func (r *Replica) applyOrigins(records []origin.Record) []origin.Record {
	now := clock.SinceBoot()
	var news []origin.Record
	for _, record := range records {
		if r.origins.Add(record, now) {
			news = append(news, record)
		}
	}
	return news
}

// passOnOrigins sends the streams that entry nodes have reported since the last time to the other
// replicas, so that a stream is known after the loss of one of them.
func (r *Replica) passOnOrigins(now time.Duration) {
	if len(r.newOrigins) == 0 || now-r.originsPassedOn < originsInterval {
		return
	}
	for _, a := range r.peers {
		r.cfg.Endpoint.Send(a.Address, MethodOrigins, r.newOrigins)
	}
	r.newOrigins = nil
	r.originsPassedOn = now
}
