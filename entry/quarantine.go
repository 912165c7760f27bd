package entry

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/burn"
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/quarantine"
	"github.com/waxwingreel/waxwingreel/routing"
)

// maxCrashes is the number of backend servers that may crash on one request. The request may be why.
const maxCrashes = 2

// quarantineService returns the service under which the requests of a pool are judged.
func (k poolKey) quarantineService() fleet.ServiceID {
	if k.model != "" {
		return fleet.ServiceID("model " + k.model)
	}
	return k.service
}

// identity returns what the request has in common with its repetitions.
func (x *exchange) identity() routing.PartID {
	if x.identityHash == "" {
		r := x.c.Request()
		x.identityHash = quarantine.Identity(string(x.access.Workspace), "", r.Method+" "+r.URL.RequestURI(), x.body)
	}
	return x.identityHash
}

// admitted returns a refusal if the request is suspended, for it has crashed backend servers before.
func (x *exchange) admitted(key poolKey) *Refusal {
	suspects := []routing.Part{{ID: x.identity()}}
	wait, _ := x.server.cfg.Quarantine.Admit(key.quarantineService(), suspects, clock.SinceBoot())
	if wait == 0 {
		return nil
	}
	return notRun(http.StatusServiceUnavailable, TypeSuspended, "backend servers crashed on the same request before").
		withHint("change the request, or retry it after the time in Retry-After").
		withRetry(wait).
		withCause(burn.CauseRefusedCapacity)
}

// attemptEnded records what the outcome of an attempt says of the request, and reports whether no
// other backend server may get it. An attempt that has begun to respond shows that the request itself
// is sound. A call that runs at most once goes on when its caller has left, and so does the check
// whether its server has crashed.
func (x *exchange) attemptEnded(key poolKey, server catalog.BackendServer, err error, begun bool) (stop bool) {
	q, service, now := x.server.cfg.Quarantine, key.quarantineService(), clock.SinceBoot()
	switch {
	case err == nil:
		q.Completed(service, nil, x.identity(), now)
		return false
	case begun || !eris.Is(err, backend.ErrCrashed):
		return x.crashes >= maxCrashes
	}
	x.crashes++
	address, parseErr := netip.ParseAddrPort(server.Address)
	q.Crashed(quarantine.Crash{
		Service:  service,
		Engine:   server.ID,
		Identity: x.identity(),
		Gone:     parseErr == nil && backend.Gone(context.WithoutCancel(x.ctx), address),
	}, now)
	return x.crashes >= maxCrashes || !q.MayRepeat(service, []routing.Part{{ID: x.identity()}})
}

// newLocalQuarantine returns a monitor that judges by the evidence of this node alone.
func newLocalQuarantine() *quarantine.Monitor {
	return quarantine.NewMonitor(quarantine.MonitorConfig{
		Trial:  func(routing.PartID) bool { return true },
		Notify: func() {},
	})
}
