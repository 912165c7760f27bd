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

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/discovery"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/gateway"
	"github.com/waxwingreel/waxwingreel/intake"
	"github.com/waxwingreel/waxwingreel/platform"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/settings"
)

// Intervals and limits of a node at a site.
const (
	// directoryTTL is how long callers keep the list of entry nodes.
	directoryTTL = time.Second
	// maxTTLFactor is how many times directoryTTL some callers keep the list.
	maxTTLFactor = 3
	// stopReserve is the end of a planned stop, reserved for returning leases and
	// closing. Remaining requests are aborted when it begins. Callers expect that
	// only in the last sixth of the stop, so the reserve must be shorter.
	stopReserve = time.Second
	// answerTime is the time before that in which requests that still run are answered.
	answerTime = 150 * time.Millisecond
	// heapShare is the share of the process's memory that is set as the Go
	// runtime's soft memory limit. The rest is for stacks, kernel buffers and
	// requests in flight.
	heapShare = 0.6
	// requestsPerMegabyte limits the requests in flight by the process's memory. A
	// request holds its body, about ten kilobytes, and two connections.
	requestsPerMegabyte = 4
)

// site holds the parts of a node that serves routed requests or their configuration.
type site struct {
	gateway      *gateway.Server
	readers      []*discovery.Reader
	servers      []*http.Server
	callerServer *http.Server
}

// limitMemory sets the soft memory limit of a process that may use a number of megabytes, 0 for no limit.
func limitMemory(megabytes int64) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes<<20) * heapShare))
	}
}

func (n *Node) openSite() error {
	s := n.cfg.Settings.Site
	limitMemory(s.MemoryMegabytes)
	n.site = &site{}
	lister := platform.NewInstances(s.InstanceList)
	if s.Listen.Callers.IsValid() {
		n.openGateway(lister)
	}
	if n.replica != nil {
		drain := time.Duration(s.DrainMillis) * time.Millisecond
		n.startReader(discovery.Config{
			Lister:   lister,
			Interval: func() time.Duration { return discovery.LeaderInterval(n.HoldsLeaderLease(), drain) },
			Due:      n.HoldsLeaderLease,
			Deliver:  n.replica.SetInstancesRead,
		})
	}
	n.endpoint.Start()
	return n.serveSite()
}

// isolated reports whether the node is cut off from the backend servers. It is called once the node is
// registered.
func (n *Node) isolated() bool {
	return n.site.gateway != nil && n.site.gateway.Isolated()
}

// startReader starts a reader of the list of instances.
func (n *Node) startReader(cfg discovery.Config) {
	cfg.Log = n.cfg.Log
	n.site.readers = append(n.site.readers, discovery.New(cfg))
}

func (n *Node) openGateway(lister discovery.Lister) {
	s := n.cfg.Settings.Site
	link := 0.0
	if platform.ReadAgreements(s.Agreements).Contention {
		link = s.LinkMegabits * 1e6
	}
	g := gateway.New(gateway.Config{
		Node:        n.cfg.Settings.Node,
		DataCentre:  n.cfg.Settings.DataCentre,
		Control:     n.controlClient,
		Peers:       n.endpoint.Sparse(),
		Protocol:    platform.Protocol{},
		RetryRatio:  s.RetryRatio,
		RetrySlack:  s.RetrySlack,
		LearnSpeeds: s.LearnSpeeds,
		ListRate:    s.InstanceListRate,
		MaxInFlight: s.MemoryMegabytes * requestsPerMegabyte,
		Room:        n.gate,
		Limits:      backend.Limits(s.ResponseLimits),
		Log:         n.cfg.Log,
		Metrics:     n.metrics,

		LinkBitsPerSecond: link,
	})
	n.site.gateway = g
	n.endpoint.HandleCall(gateway.MethodLend, g.HandleLend)
	n.endpoint.HandleCall(gateway.MethodClaim, g.HandleClaim)
	n.endpoint.HandleMessage(gateway.MethodClaimUpdate, g.HandleClaimUpdate)
	n.endpoint.HandleCall(gateway.MethodPermit, g.HandlePermit)
	n.endpoint.HandleMessage(gateway.MethodLimit, g.HandleLimit)
	n.endpoint.HandleMessage(gateway.MethodPermitEnd, g.HandlePermitEnd)
	n.endpoint.HandleCall(gateway.MethodDraw, g.HandleDraw)
	n.endpoint.HandleCall(gateway.MethodList, g.HandleList)
	n.endpoint.HandleChannel(gateway.MethodRelay, g.HandleRelay)
	n.endpoint.HandleMessage(gateway.MethodReturn, g.HandleReturn)
	n.controlClient.SetHandler(g)
	n.controlClient.SetQuarantine(g.Quarantine())
	n.controlClient.SetWatcher(g)
	n.startReader(discovery.Config{
		Lister:   lister,
		Delay:    discovery.StaleAfter,
		Interval: g.ListInterval,
		Due:      g.ListDue,
		Deliver:  g.SetInstancesRead,
	})
	n.background.Go(func() {
		n.join()
		if n.registered.Load() {
			g.StartQuota()
			n.controlClient.SendHeartbeat()
		}
	})
}

// serveSite starts a server for each address in the settings.
func (n *Node) serveSite() error {
	listen := n.cfg.Settings.Site.Listen
	handlers := []struct {
		address netip.AddrPort
		group   intake.Group
		handler http.Handler
	}{
		{
			address: listen.Ready,
			group:   groupReady,
			handler: platform.ReadyHandler(n.siteReady),
		},
		{
			address: listen.Directory,
			group:   groupDirectory,
			handler: platform.DirectoryHandler(n.entries, directoryTTL),
		},
		{
			address: listen.Control,
			group:   groupOperators,
			handler: platform.ControlHandler(configStore{node: n}, evacuationStore{node: n}),
		},
		{
			address: listen.Metrics,
			group:   groupMetrics,
			handler: http.HandlerFunc(n.writeMetrics),
		},
	}
	for _, h := range handlers {
		if !h.address.IsValid() {
			continue
		}
		server, err := n.listen(h.address, h.group, h.handler)
		if err != nil {
			return err
		}
		n.site.servers = append(n.site.servers, server)
	}
	if n.site.gateway == nil {
		return nil
	}
	callerServer, err := n.listen(listen.Callers, groupCallers, n.site.gateway)
	n.site.callerServer = callerServer
	return err
}

// serverLog returns a logger that writes the HTTP library's messages to the node's log.
func (n *Node) serverLog() *stdlog.Logger {
	return stdlog.New(serverLogWriter{log: n.cfg.Log}, "", 0)
}

type serverLogWriter struct {
	log *event.Log
}

// Write implements io.Writer.
func (w serverLogWriter) Write(p []byte) (int, error) {
	w.log.Warn(event.ServerNotice).Str("notice", string(p)).Msg("message of the HTTP server")
	return len(p), nil
}

func (n *Node) siteReady() bool {
	return n.state.Load().(roster.State) == roster.StateUp && n.site.gateway.Ready()
}

// entries returns the addresses of the nodes that callers may use. It includes this node
// exactly while this node is ready, whatever the roster says.
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
	// Callers read only the first addresses of the list, so the order varies to spread them.
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	return entries
}

func (n *Node) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	n.metrics.Write(w)
}

// Failed returns a channel that is closed when the disk of the control replica has failed.
// The process must then restart, because only reopening the files shows what they
// contain. The channel is nil, and so never ready, on nodes without a replica or a site.
func (n *Node) Failed() <-chan struct{} {
	if n.site == nil || n.replica == nil {
		return nil
	}
	return n.replica.Failed()
}

// configStore implements platform.ConfigStore with the control group.
type configStore struct {
	node *Node
}

// Replace implements platform.ConfigStore.
func (c configStore) Replace(ctx context.Context, config routing.Config, document []byte) error {
	result, err := c.node.controlClient.Submit(ctx, control.Command{Configure: &control.Configuration{
		Config:   config,
		Document: document,
	}})
	c.node.cfg.Log.Info(event.ConfigReplaced).
		Uint64("version", uint64(config.Version)).
		Uint64("inForce", uint64(result.Configured)).
		AnErr("error", err).
		Msg("configuration received from an operator")
	return err
}

// Current implements platform.ConfigStore.
func (c configStore) Current(ctx context.Context) ([]byte, error) {
	response, err := c.node.controlClient.Query(ctx, control.Query{Routing: true})
	if err != nil || !response.Found {
		return nil, err
	}
	return response.Document, nil
}

// stopSite stops a node that serves routed requests, within the time set as stopMillis.
// The node leaves the directory at once, but continues to accept requests until every
// list that contains it has expired. Then it closes idle connections and waits for the
// requests in flight.
func (n *Node) stopSite(ctx context.Context) {
	total := time.Duration(n.cfg.Settings.Site.StopMillis)*time.Millisecond - stopReserve
	stopCtx, cancel := context.WithTimeout(ctx, total)
	defer cancel()
	if n.replica != nil {
		n.replica.Leave()
	}
	g := n.site.gateway
	if g == nil {
		return
	}
	g.StartDraining(maxTTLFactor*directoryTTL, total-answerTime)
	sleep(stopCtx, maxTTLFactor*directoryTTL+directoryMargin)
	if err := n.site.callerServer.Shutdown(stopCtx); err != nil {
		n.cfg.Log.Error(event.NodeCut).Int64("requests", g.InFlight()).Err(err).Msg("planned stop exceeded its time; the remaining requests are aborted")
	}
	// Those that this node sends for others count too.
	for g.InFlight() > 0 && sleep(stopCtx, stopPollInterval) {
		continue
	}
	returnCtx, returnCancel := context.WithTimeout(context.WithoutCancel(ctx), stopReserve/2)
	defer returnCancel()
	if err := g.Close(returnCtx); err != nil {
		n.cfg.Log.Warn(event.NodeCut).Err(err).Msg("leases could not be returned; their unused quota counts as spent")
	}
}

// closeSite closes everything that is open: at the end of a stop, for Kill, and when the
// start fails.
func (n *Node) closeSite() {
	if n.site == nil {
		return
	}
	for _, server := range n.site.servers {
		_ = server.Close()
	}
	if n.site.callerServer != nil {
		_ = n.site.callerServer.Close()
	}
	for _, reader := range n.site.readers {
		reader.Close()
	}
	if n.site.gateway != nil {
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		_ = n.site.gateway.Close(cancelled)
	}
}

// siteReplicas returns the addresses of the seeds in the order in which to try them, as
// replicaOrder does for the listed control nodes.
func siteReplicas(s settings.Settings) []netip.AddrPort {
	seeds := s.Site.SeedAddresses()
	if s.Control != nil {
		own := s.Advertise.Wire
		seeds = slices.DeleteFunc(seeds, func(a netip.AddrPort) bool { return a == own })
		return append([]netip.AddrPort{own}, seeds...)
	}
	first := int(nodeHash(s.Node) % uint64(len(seeds)))
	return append(slices.Clone(seeds[first:]), seeds[:first]...)
}

// Reload applies the settings that can change while the node runs. These are the seeds,
// which may name control VMs that have been added.
func (n *Node) Reload(s settings.Settings) {
	if s.Site != nil && n.cfg.Settings.Site != nil {
		n.controlClient.SetReplicas(siteReplicas(s))
	}
	n.cfg.Log.Info(event.NodeReloaded).Msg("settings reloaded; only the seeds of a site take effect before the next start")
}
