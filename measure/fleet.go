package measure

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/entry"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/faultproxy"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/loopback"
	"github.com/waxwingreel/waxwingreel/node"
	"github.com/waxwingreel/waxwingreel/settings"
	"github.com/waxwingreel/waxwingreel/standin"
)

const (
	fleetSecret  = "a secret for measurements only"
	readyTimeout = 20 * time.Second
)

// fleetConfig is the configuration of a measured fleet.
type fleetConfig struct {
	nodes       int
	control     int
	engines     int
	slots       int
	delay       time.Duration
	policies    entry.Policies
	tokenTime   time.Duration
	promptTime  time.Duration
	cacheBlocks int
}

// testFleet is a fleet whose nodes and engines run in this process.
type testFleet struct {
	cfg      fleetConfig
	folder   string
	network  *faultproxy.Network
	nodes    []*node.Node
	settings []settings.Settings
	engines  []*standin.Engine
	closers  []func()
	changes  []catalog.Change
}

func sha256Hex(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

func startFleet(cfg fleetConfig) (*testFleet, error) {
	folder, err := os.MkdirTemp("", "waxwingreel-measure-")
	if err != nil {
		return nil, eris.Wrap(err, "measure: create a temporary folder")
	}
	f := &testFleet{
		cfg:     cfg,
		folder:  folder,
		network: faultproxy.NewNetwork(1),
	}
	f.network.SetDefaultFaults(faultproxy.Faults{Delay: cfg.delay})
	f.closers = append(f.closers, func() { _ = os.RemoveAll(folder) })
	if err := f.start(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *testFleet) start() error {
	for i := range f.cfg.nodes {
		if err := f.addSettings(i); err != nil {
			return err
		}
	}
	var controlNodes []settings.ControlNode
	for _, s := range f.settings[:f.cfg.control] {
		controlNodes = append(controlNodes, settings.ControlNode{
			Node: s.Node,
			Wire: s.Advertise.Wire,
		})
	}
	for i := range f.settings {
		f.settings[i].ControlNodes = controlNodes
		n, err := f.startNode(i)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	for i := range f.cfg.engines {
		if err := f.addEngine(i); err != nil {
			return err
		}
	}
	if f.cfg.engines == 0 {
		return nil
	}
	return f.configure()
}

func (f *testFleet) startNode(i int) (*node.Node, error) {
	return node.Start(node.Config{
		Settings: f.settings[i],
		Log:      event.New(io.Discard, string(f.settings[i].Node)),
		Policies: f.cfg.policies,
	})
}

func (f *testFleet) addSettings(i int) error {
	addresses := [4]netip.AddrPort{}
	for j, network := range []string{"udp", "udp", "tcp", "tcp"} {
		address, err := loopback.FreeAddress(network)
		if err != nil {
			return err
		}
		addresses[j] = address
	}
	s := settings.Settings{
		Node:       fleet.NodeID(fmt.Sprintf("n%d", i+1)),
		DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", i%3+1)),
		Listen: settings.Listen{
			Wire:      addresses[0],
			Callers:   addresses[2],
			Operators: addresses[3],
		},
		Advertise: settings.Advertise{
			Wire:    addresses[0],
			Callers: addresses[2],
		},
		FleetSecret:  fleetSecret,
		OperatorKeys: []string{sha256Hex("operator")},
		Entry: &settings.Entry{
			LeaseSharePerMille: 100,
			PartitionMinutes:   20,
			DirectorySeconds:   1,
			StopSeconds:        10,
			MaxBodyBytes:       4 << 20,
			MaxInFlight:        100_000,
			QueueLength:        100_000,
			DeadlineMillis: settings.DeadlineMillis{
				Lookup:      20_000,
				Interactive: 20_000,
				Long:        120_000,
			},
		},
	}
	if f.cfg.delay > 0 {
		if err := f.addFaultProxy(&s, addresses[1]); err != nil {
			return err
		}
	}
	if i < f.cfg.control {
		s.Control = &settings.Control{
			DataFolder:     filepath.Join(f.folder, string(s.Node)),
			Bootstrap:      i == 0,
			LoadsPerMinute: 600,
		}
	}
	f.settings = append(f.settings, s)
	return nil
}

func (f *testFleet) addFaultProxy(s *settings.Settings, advertised netip.AddrPort) error {
	s.Advertise.Wire = advertised
	f.network.SetEndpoint(s.Listen.Wire, string(s.Node))
	udp, err := faultproxy.NewUDP(f.network, string(s.Node), advertised, s.Listen.Wire)
	if err != nil {
		return err
	}
	f.closers = append(f.closers, udp.Close)
	return nil
}

func (f *testFleet) addEngine(i int) error {
	engine := standin.NewEngine(standin.EngineConfig{
		Name:            fmt.Sprintf("engine-%d", i+1),
		Slots:           f.cfg.slots,
		QueueLength:     1 << 20,
		TokenTime:       f.cfg.tokenTime,
		PromptTime:      f.cfg.promptTime,
		CacheBlocks:     f.cfg.cacheBlocks,
		LoadLag:         300 * time.Millisecond,
		ChecksOrders:    true,
		LoseCacheEvents: 10,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "measure: listen for an engine")
	}
	server := &http.Server{
		Handler:           engine,
		ReadHeaderTimeout: 5 * time.Second,
	}
	go func() { _ = server.Serve(listener) }()
	f.closers = append(f.closers, func() { _ = server.Close() })
	f.engines = append(f.engines, engine)
	f.changes = append(f.changes, catalog.Change{Body: catalog.Body{BackendServer: &catalog.BackendServer{
		ID:           fleet.BackendServerID(fmt.Sprintf("engine-%d", i+1)),
		Address:      listener.Addr().String(),
		DataCentre:   "dc1",
		Models:       []fleet.ModelID{"m"},
		Slots:        f.cfg.slots,
		ChecksOrders: true,
	}}})
	return nil
}

// workspaceChanges returns the changes that create a workspace with a paying and a trial
// budget.
func workspaceChanges(id fleet.WorkspaceID, key string) []catalog.Change {
	paying, trial := fleet.BudgetID("paying-"+id), fleet.BudgetID("trial-"+id)
	return []catalog.Change{
		{Body: catalog.Body{Workspace: &catalog.Workspace{
			ID: id,
			Keys: []catalog.AccessKey{
				{
					SHA256: sha256Hex(key),
					Tier:   fleet.TierPaying,
					Budget: paying,
				},
				{
					SHA256: sha256Hex("trial-" + key),
					Tier:   fleet.TierTrial,
					Budget: trial,
				},
			},
		}}},
		{Body: catalog.Body{Budget: &catalog.Budget{
			ID:        paying,
			Workspace: id,
			Tier:      fleet.TierPaying,
			Prepaid:   1 << 40,
		}}},
		{Body: catalog.Body{Budget: &catalog.Budget{
			ID:        trial,
			Workspace: id,
			Tier:      fleet.TierTrial,
			Prepaid:   1 << 40,
		}}},
	}
}

func (f *testFleet) configure() error {
	changes := workspaceChanges("w", "key")
	changes = append(changes, catalog.Change{Body: catalog.Body{Model: &catalog.Model{
		ID:        "m",
		Version:   "1",
		MaxOutput: 8192,
		MaxPrompt: 100_000,
	}}})
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := f.apply(ctx, 1, append(changes, f.changes...)); err != nil {
		return err
	}
	return f.awaitReady(ctx)
}

func (f *testFleet) apply(ctx context.Context, number fleet.TicketNumber, changes []catalog.Change) error {
	result, err := f.nodes[0].Submit(ctx, ticketCommand(number, changes))
	if err != nil {
		return err
	}
	if !result.Outcome.Accepted {
		return eris.Errorf("measure: ticket %d was rejected: %v", number, result.Outcome.Problems)
	}
	return nil
}

func (f *testFleet) awaitReady(ctx context.Context) error {
	for _, n := range f.nodes {
		for !n.Ready() {
			select {
			case <-ctx.Done():
				return eris.New("measure: nodes did not become ready in time")
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

func (f *testFleet) close() {
	for _, n := range f.nodes {
		n.Kill()
	}
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}

func (f *testFleet) seeds() []string {
	var seeds []string
	for _, s := range f.settings {
		seeds = append(seeds, s.Listen.Callers.String())
	}
	return seeds
}
