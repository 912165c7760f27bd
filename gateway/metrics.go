package gateway

import (
	"strconv"
	"time"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/lease"
	"github.com/waxwingreel/waxwingreel/metrics"
	"github.com/waxwingreel/waxwingreel/quota"
)

func routeLabel(route string) metrics.Label {
	return metrics.Label{
		Name:  "route",
		Value: route,
	}
}

func causeLabel(cause Cause) metrics.Label {
	return metrics.Label{
		Name:  "cause",
		Value: string(cause),
	}
}

// countRequest counts a finished request and records its duration.
func (s *Server) countRequest(route string, status int, cause Cause, duration time.Duration) {
	s.cfg.Metrics.Count("requests", routeLabel(route), metrics.Label{
		Name:  "status",
		Value: strconv.Itoa(status),
	}, causeLabel(cause))
	s.cfg.Metrics.Observe("request", duration, routeLabel(route))
}

// countStreamEnd counts the end of an instance's stream, whether regular or not.
func (s *Server) countStreamEnd(framing backend.Framing, inEvent bool) {
	s.cfg.Metrics.Count("streams_ended", metrics.Label{
		Name:  "framing",
		Value: string(framing),
	}, metrics.Label{
		Name:  "in_event",
		Value: strconv.FormatBool(inEvent),
	})
}

// observeFirstByte records the time from a request's arrival to the first byte of its
// response.
func (s *Server) observeFirstByte(x *exchange) {
	s.room.observeFirstByte(x.route.Name, clock.SinceBoot()-x.letThrough)
	s.cfg.Metrics.Observe("first_byte", clock.SinceBoot()-x.arrived, routeLabel(string(x.route.Name)))
}

// reportGauges reports the current values of all gauges.
func (s *Server) reportGauges(gauge func(name string, value float64)) {
	opened, reused := backend.ConnCounts()
	gauge("connections_opened_total", float64(opened))
	gauge("connections_reused_total", float64(reused))
	s.dispatch.reportEvacuation(gauge)
	gauge("requests_in_flight", float64(s.InFlight()))
	gauge("requests_held_for_room", float64(s.room.waiting()))
	gauge("instance_list_age_seconds", s.ListAge().Seconds())
	parts, requests := s.quarantine.Suspended(clock.SinceBoot())
	gauge("prompt_parts_suspended", float64(parts))
	gauge("requests_suspended", float64(requests))
	gauge("entry_nodes", float64(s.entryNodeCount()))
	gauge("instances_cold", float64(s.dispatch.coldCount()))
	known, fastest, slowest := s.claims.speedRange()
	gauge("engine_speeds_known", float64(known))
	gauge("engine_slowness_least", float64(fastest))
	gauge("engine_slowness_greatest", float64(slowest))
	if view := s.view.Load(); view != nil {
		gauge("configuration_version", float64(view.Config.Version))
	}
	gauge("configuration_unconfirmed_seconds", s.cfg.Control.Unconfirmed().Seconds())
	gauge("control_group_in_reach", metrics.BoolValue(s.cfg.Control.ControlReachable()))
	if quotaManager := s.quotaManager.Load(); quotaManager != nil {
		sum := sumHoldings(quotaManager)
		gauge("leased_free_tokens", float64(sum.Free))
		gauge("leased_reserved_tokens", float64(sum.Reserved))
		gauge("leased_borrowed_tokens", float64(sum.Borrowed))
		gauge("overdrawn_tokens", float64(quotaManager.Overdrawn()))
	}
}

// sumHoldings returns the tokens of all leases.
func sumHoldings(quotaManager *quota.Manager) lease.Holding {
	sum := lease.Holding{}
	for _, h := range quotaManager.Holdings() {
		sum.Free += h.Free
		sum.Reserved += h.Reserved
		sum.Borrowed += h.Borrowed
	}
	return sum
}
