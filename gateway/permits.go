package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/metrics"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/ratelimit"
	"github.com/waxwingreel/waxwingreel/wire"
)

const (
	// MethodPermit asks the owner of a limited instance for a permit to send it one request. The
	// request is a PermitRequest, the response a PermitResponse.
	MethodPermit wire.Method = "permit"
	// MethodLimit tells the owner of an instance what a response said of its limit. The message is a
	// ratelimit.Report.
	MethodLimit wire.Method = "limit"
	// MethodPermitEnd tells the owner of a brittle instance that a request has ended. The message is a
	// PermitEnd.
	MethodPermitEnd wire.Method = "permitEnd"
)

const (
	// permitTimeout allows a round trip between the data centres of a region.
	permitTimeout = 100 * time.Millisecond
	// permitPatience limits the time in which a request is refused permits by one instance after the
	// other.
	permitPatience = 250 * time.Millisecond
	// maxLimitReports bounds the reports that wait for a heartbeat.
	maxLimitReports = 256
)

// PermitRequest asks for a permit.
type PermitRequest struct {
	Node       fleet.NodeID     `json:"node"`
	DataCentre fleet.DataCentre `json:"dataCentre,omitempty"`
	// Limit is what the node knows of the instance's limit, Load of the requests there.
	Limit ratelimit.Report `json:"limit"`
	Load  ratelimit.Load   `json:"load"`
}

// PermitEnd reports that a request for which a node had a permit has ended.
type PermitEnd struct {
	Node     fleet.NodeID          `json:"node"`
	Instance fleet.BackendServerID `json:"instance"`
	// TurnedAway is set if the instance had no room for it.
	TurnedAway bool `json:"turnedAway,omitempty"`
}

// PermitResponse is the response to a PermitRequest.
type PermitResponse struct {
	// Issues is false if the node that was asked issues no permits for the instance now.
	Issues   bool               `json:"issues"`
	Decision ratelimit.Decision `json:"decision"`
}

// permits issues permits for the limited instances that this node owns, and gets those for others
// from their owners. It is safe for concurrent use.
type permits struct {
	cfg    Config
	claims *claimRegistry

	mu     sync.Mutex
	issuer *ratelimit.Issuer
	share  *ratelimit.Share
	// reports are those that responses to this node gave, told those among them that wait for a
	// heartbeat.
	reports ratelimit.Table
	told    []timedReport
}

// timedReport is a report with the time to which its age refers.
type timedReport struct {
	report ratelimit.Report
	at     time.Duration
}

func newPermits(cfg Config, claims *claimRegistry) *permits {
	return &permits{
		cfg:    cfg,
		claims: claims,
		issuer: ratelimit.NewIssuer(rand.Uint64()),
		share:  ratelimit.NewShare(rand.Uint64()),
	}
}

// request asks for a permit. Without an owner in reach this node has a share of the limit, as one of a
// number of nodes.
func (p *permits) request(ctx context.Context, r PermitRequest, nodes int) ratelimit.Decision {
	if decision, ok := p.requestFromOwner(ctx, r); ok {
		p.count(decision, "owner")
		return decision
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	wait, granted := p.share.Take(r.Limit, nodes, clock.SinceBoot())
	decision := ratelimit.Decision{
		Granted:    granted,
		WaitMillis: wait.Milliseconds(),
		Latest:     r.Limit,
	}
	p.count(decision, "share")
	return decision
}

// requestFromOwner asks the owner for a permit. It returns false if there is none in reach that
// issues permits.
func (p *permits) requestFromOwner(ctx context.Context, r PermitRequest) (ratelimit.Decision, bool) {
	owner, address, ok := p.claims.owner(r.Limit.Instance, r.DataCentre)
	response := PermitResponse{}
	switch {
	case !ok:
		return ratelimit.Decision{}, false
	case owner == p.cfg.Node:
		response = p.issue(r)
	default:
		callCtx, cancel := context.WithTimeout(ctx, permitTimeout)
		defer cancel()
		if err := p.cfg.Peers.Call(callCtx, address, MethodPermit, r, &response); err != nil {
			if ctx.Err() == nil {
				p.claims.peers.markUnresponsive(owner, err)
			}
			return ratelimit.Decision{}, false
		}
	}
	if response.Issues {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.share.Reset(r.Limit.Instance)
	}
	return response.Decision, response.Issues
}

// issue decides on a request for a permit. A node that has lost the control group issues none: the
// group may have given the instance another owner.
func (p *permits) issue(r PermitRequest) PermitResponse {
	owner, _, _ := p.claims.owner(r.Limit.Instance, r.DataCentre)
	if owner != p.cfg.Node || !p.cfg.Control.ControlReachable() {
		return PermitResponse{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return PermitResponse{
		Issues:   true,
		Decision: p.issuer.Ask(r.Node, r.Limit, r.Load, clock.SinceBoot()),
	}
}

func (p *permits) count(d ratelimit.Decision, source string) {
	outcome := "refused"
	if d.Granted {
		outcome = "granted"
	}
	p.cfg.Metrics.Count("permits", metrics.Label{
		Name:  "outcome",
		Value: outcome,
	}, metrics.Label{
		Name:  "source",
		Value: source,
	})
}

// tell passes a report on: to the instance's owner at once, and with the next heartbeat to the
// control replicas.
func (p *permits) tell(r ratelimit.Report, dataCentre fleet.DataCentre) {
	now := clock.SinceBoot()
	p.mu.Lock()
	p.reports.Apply(r, now)
	if len(p.told) < maxLimitReports {
		p.told = append(p.told, timedReport{
			report: r,
			at:     now,
		})
	}
	p.mu.Unlock()
	p.cfg.Control.SendHeartbeat()
	owner, address, ok := p.claims.owner(r.Instance, dataCentre)
	switch {
	case !ok:
	case owner == p.cfg.Node:
		p.learn(r)
	default:
		p.cfg.Peers.Send(address, MethodLimit, r)
	}
}

// ended tells the owner of a brittle instance that a request has ended there.
func (p *permits) ended(end PermitEnd, dataCentre fleet.DataCentre) {
	owner, address, ok := p.claims.owner(end.Instance, dataCentre)
	switch {
	case !ok:
	case owner == p.cfg.Node:
		p.applyEnd(end)
	default:
		p.cfg.Peers.Send(address, MethodPermitEnd, end)
	}
}

func (p *permits) applyEnd(end PermitEnd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.issuer.Ended(end.Node, end.Instance, end.TurnedAway, clock.SinceBoot())
}

// learn records a report of another node for the permits that this one issues.
func (p *permits) learn(r ratelimit.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.issuer.Learn(r, clock.SinceBoot())
}

// takeReports returns the reports for the next heartbeat. The first heartbeat to a replica has all.
func (p *permits) takeReports(first bool, now time.Duration) []ratelimit.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	told := p.told
	p.told = nil
	p.reports.Advance(now)
	if first {
		return p.reports.Reports(now)
	}
	var reports []ratelimit.Report
	for _, t := range told {
		t.report.AgeMillis += (now - t.at).Milliseconds()
		reports = append(reports, t.report)
	}
	return reports
}

// HandlePermit handles MethodPermit.
func (s *Server) HandlePermit(_ context.Context, _ fleet.NodeID, body []byte) (any, error) {
	r := PermitRequest{}
	if err := wire.Decode(body, &r); err != nil {
		return nil, err
	}
	return s.permits.issue(r), nil
}

// HandleLimit handles MethodLimit.
func (s *Server) HandleLimit(from fleet.NodeID, body []byte) {
	r := ratelimit.Report{}
	if err := wire.Decode(body, &r); err != nil {
		s.cfg.Log.Warn(event.PeerLost).Str("from", string(from)).Err(err).Msg("cannot decode limit report")
		return
	}
	s.permits.learn(r)
}

// HandlePermitEnd handles MethodPermitEnd.
func (s *Server) HandlePermitEnd(from fleet.NodeID, body []byte) {
	end := PermitEnd{}
	if err := wire.Decode(body, &end); err != nil {
		s.cfg.Log.Warn(event.PeerLost).Str("from", string(from)).Err(err).Msg("cannot decode the end of a permit")
		return
	}
	s.permits.applyEnd(end)
}

// chooseInstance chooses an instance and gets a permit if it has a limit. If there is none, it
// chooses among the others.
func (x *exchange) chooseInstance(request placement.ForecastRequest) (placed *placement.Assignment, listAge time.Duration, ok bool) {
	x.permitted = false
	started := clock.SinceBoot()
	for {
		placed, listAge, ok = x.claimInstance(request)
		if !ok || placed.Limit == nil {
			return placed, listAge, ok
		}
		decision := x.s.permits.request(x.ctx, PermitRequest{
			Node:       x.s.cfg.Node,
			DataCentre: placed.Instance.DataCentre,
			Limit:      *placed.Limit,
			Load:       x.s.dispatch.load(placed),
		}, x.s.entryNodeCount())
		x.s.dispatch.applyLimit(decision.Latest)
		if decision.Granted {
			x.permitted = true
			return placed, listAge, true
		}
		x.permitsRefused++
		x.releaseClaim()
		x.s.dispatch.deferInstance(x.service.ID, placed, time.Duration(decision.WaitMillis)*time.Millisecond)
		if clock.SinceBoot()-started > permitPatience {
			return nil, listAge, false
		}
	}
}

// load returns what is known of the requests at the instance of p.
func (d *dispatcher) load(p *placement.Assignment) (load ratelimit.Load) {
	d.DoAndWait(func() { load = d.forecast(p.Instance.Service).Load(p, clock.SinceBoot()) })
	return load
}

// deferInstance undoes the choice p, for which there is no permit, and excludes its instance for a
// time.
func (d *dispatcher) deferInstance(service fleet.ServiceID, p *placement.Assignment, wait time.Duration) {
	d.DoAndWait(func() {
		now := clock.SinceBoot()
		f := d.forecast(service)
		f.Undo(p, now)
		f.Defer(p.Instance.ID, wait, now)
	})
}
