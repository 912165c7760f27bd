package control

import (
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/metrics"
)

// kind returns the command's label value in the metrics.
func (c Command) kind() string {
	switch {
	case c.Ticket != nil:
		return "ticket"
	case c.Configure != nil:
		return "configure"
	case c.Evacuate != nil:
		return "evacuate"
	case c.Join != nil:
		return "join"
	case len(c.Leases) > 0:
		return "leases"
	case c.Settle != nil:
		return "settle"
	case c.Begin != nil, c.Finish != nil:
		return "call"
	case c.Confirm != nil:
		return "confirm"
	}
	return "other"
}

// recordSubmit counts a command and records the latency of a committed one.
func (r *Replica) recordSubmit(command Command, response SubmitResponse, took time.Duration) {
	kind := metrics.Label{
		Name:  "kind",
		Value: command.kind(),
	}
	r.cfg.Metrics.Count("commands", kind, metrics.Label{
		Name:  "outcome",
		Value: string(response.Status),
	})
	if response.Status == SubmitDone {
		r.cfg.Metrics.Observe("commit", took, kind)
	}
}

// reportGauges reports the current values of the gauges.
func (r *Replica) reportGauges(gauge func(name string, value float64)) {
	r.do(func() {
		now := clock.SinceBoot()
		status := r.core.Status()
		gauge("control_leads", metrics.BoolValue(r.core.HoldsLease(now)))
		gauge("control_has_leader", metrics.BoolValue(r.core.UpToDate(now, leaderTimeout)))
		gauge("control_failed", metrics.BoolValue(r.failed != nil))
		gauge("control_disk_full", metrics.BoolValue(r.unsaved != nil))
		gauge("control_term", float64(status.Term))
		gauge("control_commit_index", float64(status.Commit))
		gauge("control_applied_index", float64(status.Applied))
		gauge("control_voters", float64(status.Members.Voters()))
		if r.selfForming() && r.core.IsLeader() {
			gauge("control_bears_failures", float64(r.group(now).Bears()))
		}
		gauge("control_log_bytes", float64(r.journal.LogBytes()))
		gauge("configuration_version", float64(r.machine.routing.Config.Version))
		gauge("data_centres_evacuated", float64(len(r.machine.evacuations.List.DataCentres)))
		leased, settled := r.machine.ledger.MeteredTotals()
		gauge("quota_leased_tokens", float64(leased))
		gauge("quota_settled_tokens", float64(settled))
		for _, bound := range ledger.Bounds {
			gauge("quota_forfeited_"+string(bound)+"_tokens", float64(r.quotaLog.forfeitedByBound[bound]))
		}
		if r.instancesNumber > 0 {
			gauge("instance_list_age_seconds", (now - r.instancesAt).Seconds())
		}
	})
	r.subscribersMu.Lock()
	defer r.subscribersMu.Unlock()
	gauge("control_subscribers", float64(len(r.subscribers)))
}
