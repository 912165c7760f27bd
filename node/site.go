package node

import (
	"context"
	stdlog "log"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"runtime/debug"
	"slices"
	"time"

	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/discovery"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/gateway"
	"github.com/waxwingreel/waxwingreel/platform"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/settings"
)

// Times and sizes of a node at a site.
const (
	// directoryTTL is how long callers keep the list of entry nodes.
	directoryTTL = time.Second
	// listsKept is how many times longer some callers keep it.
	listsKept = 3
	// stopReserve is the part of a planned stop that is kept for giving leases
	// back and for closing. What runs is cut off before it, so it must stay below
	// the last sixth of the time, in which callers expect that.
	stopReserve = time.Second
	// heapPart is the part of the process's memory that the runtime may use
	// before it collects harder. The rest is for stacks, buffers of the kernel
	// and what is in flight.
	heapPart = 0.6
	// requestsPerMegabyte bounds the requests under way by the process's memory: a
	// request holds its body, some ten kilobytes, and two connections.
	requestsPerMegabyte = 4
)

// site is what a node has that serves routed requests or their configuration.
type site struct {
	gateway *gateway.Server
	readers []*discovery.Reader
	servers []*http.Server
	front   *http.Server
}

func (n *Node) openSite() error {
	s := n.cfg.Settings.Site
	if s.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMegabytes<<20) * heapPart))
	}
	n.site = &site{}
	lister := platform.NewInstances(s.InstanceList)
	if s.Listen.Callers.IsValid() {
		n.openGateway(lister)
	}
	if n.replica != nil {
		n.read(discovery.Config{
			Lister:  lister,
			Pause:   func() time.Duration { return discovery.Interval },
			Due:     n.HoldsLeaderLease,
			Deliver: n.replica.SetInstances,
		})
	}
	n.endpoint.Start()
	return n.serveSite()
}

// read starts a reader of the instance list.
func (n *Node) read(cfg discovery.Config) {
	cfg.Log = n.cfg.Log
	n.site.readers = append(n.site.readers, discovery.New(cfg))
}

func (n *Node) openGateway(lister discovery.Lister) {
	s := n.cfg.Settings.Site
	g := gateway.New(gateway.Config{
		Node:        n.cfg.Settings.Node,
		DataCentre:  n.cfg.Settings.DataCentre,
		Link:        n.link,
		Peers:       n.endpoint,
		Protocol:    platform.Protocol{},
		RetryRatio:  s.RetryRatio,
		RetrySlack:  s.RetrySlack,
		MaxInFlight: s.MemoryMegabytes * requestsPerMegabyte,
		Log:         n.cfg.Log,
		Metrics:     n.metrics,
	})
	n.site.gateway = g
	n.endpoint.HandleCall(gateway.MethodLend, g.HandleLend)
	n.endpoint.HandleCall(gateway.MethodClaim, g.HandleClaim)
	n.endpoint.HandleMessage(gateway.MethodClaimUpdate, g.HandleClaimUpdate)
	n.endpoint.HandleCall(gateway.MethodDraw, g.HandleDraw)
	n.endpoint.HandleMessage(gateway.MethodReturn, g.HandleReturn)
	n.link.SetHandler(g)
	n.link.SetWatcher(g)
	n.read(discovery.Config{
		Lister:  lister,
		Pause:   func() time.Duration { return discovery.FallbackPause(len(n.link.Roster()), s.InstanceListRate) },
		Due:     func() bool { return g.ListAge() > discovery.StaleAfter },
		Deliver: g.SetInstances,
	})
	n.wait.Go(func() {
		n.join()
		if n.joined.Load() {
			g.StartQuota()
			n.link.SendHeartbeat()
		}
	})
}

// serveSite opens the listeners that the settings name.
func (n *Node) serveSite() error {
	listen := n.cfg.Settings.Site.Listen
	handlers := []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{
			address: listen.Ready,
			handler: platform.ReadyHandler(n.siteReady),
		},
		{
			address: listen.Directory,
			handler: platform.DirectoryHandler(n.entries, directoryTTL),
		},
		{
			address: listen.Control,
			handler: platform.ControlHandler(configurator{node: n}),
		},
		{
			address: listen.Metrics,
			handler: http.HandlerFunc(n.writeMetrics),
		},
	}
	for _, h := range handlers {
		if !h.address.IsValid() {
			continue
		}
		server, err := n.listen(h.address, h.handler)
		if err != nil {
			return err
		}
		n.site.servers = append(n.site.servers, server)
	}
	if n.site.gateway == nil {
		return nil
	}
	front, err := n.listen(listen.Callers, n.site.gateway)
	n.site.front = front
	return err
}

// serverLog passes what the HTTP library has to say into the node's log.
func (n *Node) serverLog() *stdlog.Logger {
	return stdlog.New(noticeWriter{log: n.cfg.Log}, "", 0)
}

type noticeWriter struct {
	log *event.Log
}

// Write implements io.Writer.
func (w noticeWriter) Write(p []byte) (int, error) {
	w.log.Warn(event.ServerNotice).Str("notice", string(p)).Msg("HTTP server")
	return len(p), nil
}

func (n *Node) siteReady() bool {
	return n.state.Load().(roster.State) == roster.StateUp && n.site.gateway.Ready()
}

// entries lists the nodes that callers may use. A node that answers callers itself
// names itself also while the roster does not.
func (n *Node) entries() []netip.AddrPort {
	if n.site.gateway == nil {
		return nil
	}
	entries := n.site.gateway.Entries()
	own := n.cfg.Settings.Site.Listen.Callers
	if n.siteReady() && !slices.Contains(entries, own) {
		entries = append(entries, own)
	}
	if !n.siteReady() {
		entries = slices.DeleteFunc(entries, func(a netip.AddrPort) bool { return a == own })
	}
	// A caller reads only so many: each is told others.
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	return entries
}

func (n *Node) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	n.metrics.Write(w)
}

// Failed is closed when a node of a site must be started again, because its disk failed:
// what the disk holds can only be told by opening it anew. It is nil, which never
// happens, on other nodes.
func (n *Node) Failed() <-chan struct{} {
	if n.site == nil || n.replica == nil {
		return nil
	}
	return n.replica.Failed()
}

// configurator implements platform.Configurator by the control group.
type configurator struct {
	node *Node
}

// Replace implements platform.Configurator.
func (c configurator) Replace(ctx context.Context, config routing.Config, document []byte) error {
	result, err := c.node.link.Submit(ctx, control.Command{Configure: &control.Configuration{
		Config:   config,
		Document: document,
	}})
	c.node.cfg.Log.Info(event.ConfigReplaced).
		Uint64("version", uint64(config.Version)).
		Uint64("inForce", uint64(result.Configured)).
		AnErr("error", err).
		Msg("an operator sent a configuration")
	return err
}

// Current implements platform.Configurator.
func (c configurator) Current(ctx context.Context) ([]byte, error) {
	answer, err := c.node.link.Query(ctx, control.Query{Routing: true})
	if err != nil || !answer.Found {
		return nil, err
	}
	return answer.Document, nil
}

// stopSite ends a node that serves routed requests, within the time of the settings.
// The node leaves the directory at once and serves on until no caller can still hold
// a list with it; then it closes what is idle and ends what is under way.
func (n *Node) stopSite(ctx context.Context) {
	total := time.Duration(n.cfg.Settings.Site.StopMillis)*time.Millisecond - stopReserve
	limit, cancel := context.WithTimeout(ctx, total)
	defer cancel()
	if n.replica != nil {
		n.replica.TransferLeadership()
	}
	g := n.site.gateway
	if g == nil {
		return
	}
	g.StartDraining()
	pause(limit, listsKept*directoryTTL+directoryMargin)
	if err := n.site.front.Shutdown(limit); err != nil {
		n.cfg.Log.Error(event.NodeCut).Int64("requests", g.InFlight()).Err(err).Msg("the stop took too long: requests are cut off")
	}
	give, giveCancel := context.WithTimeout(context.WithoutCancel(ctx), stopReserve/2)
	defer giveCancel()
	if err := g.Close(give); err != nil {
		n.cfg.Log.Warn(event.NodeCut).Err(err).Msg("leases could not be given back; what they hold counts as spent")
	}
}

// closeSite closes what is open, for a stop or a crash.
func (n *Node) closeSite() {
	if n.site == nil {
		return
	}
	for _, server := range n.site.servers {
		_ = server.Close()
	}
	if n.site.front != nil {
		_ = n.site.front.Close()
	}
	for _, reader := range n.site.readers {
		reader.Close()
	}
	if n.site.gateway != nil {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_ = n.site.gateway.Close(ended)
	}
}

// siteReplicas orders the seeds so that nodes are spread over them, this node's own
// replica first.
func siteReplicas(s settings.Settings) []netip.AddrPort {
	seeds := s.Site.SeedAddresses()
	if s.Control != nil {
		own := s.Advertise.Wire
		seeds = slices.DeleteFunc(seeds, func(a netip.AddrPort) bool { return a == own })
		return append([]netip.AddrPort{own}, seeds...)
	}
	first := int(spread(s.Node) % uint64(len(seeds)))
	return append(slices.Clone(seeds[first:]), seeds[:first]...)
}

// Reload takes from new settings what can change while the node runs: the seeds, which
// name control VMs that may have come since.
func (n *Node) Reload(s settings.Settings) {
	if s.Site != nil && n.cfg.Settings.Site != nil {
		n.link.SetReplicas(siteReplicas(s))
	}
	n.cfg.Log.Info(event.NodeReloaded).Msg("settings read again; what cannot change in a running node waits for its next start")
}
