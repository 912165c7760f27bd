package prove

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/faultproxy"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/loopback"
	"github.com/waxwingreel/waxwingreel/process"
	"github.com/waxwingreel/waxwingreel/settings"
	"github.com/waxwingreel/waxwingreel/standin"
)

const (
	operatorKey = "prove-operator-key"
	// workspaces is the number of workspaces that the load is spread over. The mixes in testdata
	// have the same number.
	workspaces = 4
)

var binary string

func TestMain(m *testing.M) {
	os.Exit(process.BuildAndRun("../cmd/waxwingreel", func(built string) int {
		binary = built
		return m.Run()
	}))
}

func sha256Hex(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// fleetConfig is the size and timing of a fleet.
type fleetConfig struct {
	nodes       int
	control     int
	dataCentres int
	engines     int
	slots       int
	services    int
	delay       time.Duration
	paying      fleet.Tokens
	trial       fleet.Tokens
	tokenTime   time.Duration
	work        time.Duration
	stopSeconds int64
	// spares is the number of nodes that can run a control replica but are not listed as
	// control nodes. Tickets may name them.
	spares int
}

// nodeProcess is the process of one node with its fault proxies.
type nodeProcess struct {
	*process.Process
	name         string
	settings     settings.Settings
	settingsPath string
	logPath      string
	// declaredDestroyed is true once a ticket has declared the VM destroyed.
	declaredDestroyed bool
	callerProxy       *faultproxy.TCP
}

// server is a simulated backend server behind its fault proxy.
type server struct {
	id      fleet.BackendServerID
	engine  *standin.Engine
	service *standin.Service
	proxy   *faultproxy.TCP
	address netip.AddrPort
	// checksOrders is true for an engine that checks the fences of its orders.
	checksOrders bool
}

// testFleet is a running fleet of processes.
type testFleet struct {
	t          *testing.T
	config     fleetConfig
	folder     string
	network    *faultproxy.Network
	nodes      []*nodeProcess
	servers    []*server
	lastTicket fleet.TicketNumber
	objects    catalog.Ticket
}

func freeAddress(t *testing.T, network string) netip.AddrPort {
	t.Helper()
	address, err := loopback.FreeAddress(network)
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func newFleet(t *testing.T, cfg fleetConfig, seed uint64) *testFleet {
	f := &testFleet{
		t:       t,
		config:  cfg,
		folder:  t.TempDir(),
		network: faultproxy.NewNetwork(seed),
	}
	f.network.SetDefaultFaults(faultproxy.Faults{Delay: cfg.delay})
	for i := range cfg.nodes {
		f.addNode(fmt.Sprintf("n%d", i+1), i)
	}
	var listed []settings.ControlNode
	for _, p := range f.nodes[:cfg.control] {
		listed = append(listed, settings.ControlNode{
			Node: p.settings.Node,
			Wire: p.settings.Advertise.Wire,
		})
	}
	for i, p := range f.nodes {
		p.settings.ControlNodes = listed
		if i < cfg.control+cfg.spares {
			p.settings.Control = &settings.Control{
				DataFolder: filepath.Join(f.folder, "data-"+p.name),
				Bootstrap:  i == 0,
			}
		}
		f.writeSettings(p)
	}
	for i := range cfg.engines {
		f.addServer(fleet.BackendServerID(fmt.Sprintf("engine-%d", i+1)), true)
	}
	for i := range cfg.services {
		f.addServer(fleet.BackendServerID(fmt.Sprintf("service-%d", i+1)), false)
	}
	t.Cleanup(f.close)
	for _, p := range f.nodes {
		f.start(p)
	}
	f.configure()
	f.awaitReady(20 * time.Second)
	return f
}

func (f *testFleet) addNode(name string, i int) {
	p := &nodeProcess{
		name:         name,
		settingsPath: filepath.Join(f.folder, name+".jsonc"),
		logPath:      filepath.Join(f.folder, name+".log"),
		settings: settings.Settings{
			Node:       fleet.NodeID(name),
			DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", i%f.config.dataCentres+1)),
			Listen: settings.Listen{
				Wire:      freeAddress(f.t, "udp"),
				Callers:   freeAddress(f.t, "tcp"),
				Operators: freeAddress(f.t, "tcp"),
			},
			Advertise: settings.Advertise{
				Wire:    freeAddress(f.t, "udp"),
				Callers: freeAddress(f.t, "tcp"),
			},
			FleetSecret:  "a secret for tests only",
			OperatorKeys: []string{sha256Hex(operatorKey)},
			Entry: &settings.Entry{
				DirectorySeconds: 1,
				StopSeconds:      f.config.stopSeconds,
			},
		},
	}
	p.Process = process.New(process.Config{
		Binary:    binary,
		Arguments: []string{"serve", "--settings", p.settingsPath},
		Log:       p.logPath,
	})
	f.network.SetEndpoint(p.settings.Listen.Wire, name)
	udp, err := faultproxy.NewUDP(f.network, name, p.settings.Advertise.Wire, p.settings.Listen.Wire)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(udp.Close)
	p.callerProxy, err = faultproxy.NewTCP(f.network, faultproxy.Direction{
		From: "callers",
		To:   name,
	}, p.settings.Advertise.Callers, p.settings.Listen.Callers)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(p.callerProxy.Close)
	f.nodes = append(f.nodes, p)
}

func (f *testFleet) writeSettings(p *nodeProcess) {
	text, err := json.MarshalIndent(p.settings, "", "  ")
	if err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(p.settingsPath, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *testFleet) addServer(id fleet.BackendServerID, engine bool) {
	s := &server{
		id:           id,
		checksOrders: len(f.servers)%2 == 0,
		address:      freeAddress(f.t, "tcp"),
	}
	handler := http.Handler(nil)
	if engine {
		s.engine = standin.NewEngine(standin.EngineConfig{
			Name:            string(id),
			Slots:           f.config.slots,
			QueueLength:     4 * f.config.slots,
			TokenTime:       f.config.tokenTime,
			PromptTime:      10 * time.Millisecond,
			CacheBlocks:     1024,
			LoadLag:         300 * time.Millisecond,
			ChecksOrders:    s.checksOrders,
			LoseCacheEvents: 7,
		})
		handler = s.engine
	} else {
		s.service = standin.NewService(standin.ServiceConfig{
			Name: string(id),
			Work: f.config.work,
		})
		handler = s.service
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	httpServer := &http.Server{Handler: handler}
	go func() { _ = httpServer.Serve(listener) }()
	f.t.Cleanup(func() { _ = httpServer.Close() })
	s.proxy, err = faultproxy.NewTCP(f.network, faultproxy.Direction{
		From: "nodes",
		To:   string(id),
	}, s.address, listener.Addr().(*net.TCPAddr).AddrPort())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(s.proxy.Close)
	f.servers = append(f.servers, s)
}

func (f *testFleet) findNode(name string) *nodeProcess {
	for _, p := range f.nodes {
		if p.name == name {
			return p
		}
	}
	f.t.Fatalf("no node %s", name)
	return nil
}

func (f *testFleet) findServer(id string) *server {
	for _, s := range f.servers {
		if string(s.id) == id {
			return s
		}
	}
	f.t.Fatalf("no backend server %s", id)
	return nil
}

// start starts a node's process, which appends to its log file.
func (f *testFleet) start(p *nodeProcess) {
	if err := p.Start(); err != nil {
		f.t.Fatal(err)
	}
}

// stopProcess sends a signal that ends the process and waits until it has ended. It returns
// the exit code, -1 if a signal ended the process.
func (f *testFleet) stopProcess(p *nodeProcess, s syscall.Signal, limit time.Duration) int {
	code, inTime := p.Stop(s, limit)
	if !inTime {
		f.t.Errorf("node %s did not end within %s", p.name, limit)
	}
	return code
}

func (f *testFleet) close() {
	for _, p := range f.nodes {
		p.Signal(syscall.SIGCONT)
		f.stopProcess(p, syscall.SIGKILL, 5*time.Second)
	}
	if !f.t.Failed() {
		return
	}
	for _, p := range f.nodes {
		text, err := os.ReadFile(p.logPath)
		if err == nil {
			f.t.Logf("log of %s:\n%s", p.name, tail(text, 6000))
		}
	}
}

func tail(text []byte, n int) []byte {
	return text[max(0, len(text)-n):]
}

// configure applies the ticket that configures the fleet.
func (f *testFleet) configure() {
	add := func(body catalog.Body) {
		f.objects.Changes = append(f.objects.Changes, catalog.Change{Body: body})
	}
	for w := 1; w <= workspaces; w++ {
		f.addWorkspace(w, add)
	}
	add(catalog.Body{Model: modelObject("1")})
	add(catalog.Body{Service: &catalog.Service{
		ID: "registry",
		Calls: []catalog.ServiceCall{
			{
				Method: http.MethodPost,
				Path:   "/changes",
				Class:  fleet.ClassInteractive,
				Price:  callPrice,
			},
			{
				Method:     http.MethodPost,
				Path:       "/lookups",
				Idempotent: true,
				Class:      fleet.ClassLookup,
				Price:      callPrice,
			},
		},
	}})
	for _, s := range f.servers {
		add(catalog.Body{BackendServer: f.serverObject(s)})
	}
	f.mustApply(f.objects.Changes)
}

func modelObject(version string) *catalog.Model {
	return &catalog.Model{
		ID:               "m",
		Version:          version,
		MaxOutput:        4096,
		MaxPrompt:        100_000,
		LongPromptTokens: 4000,
	}
}

const callPrice fleet.Tokens = 5

// addWorkspace adds workspace w1, w2, ... with a paying and a trial budget.
func (f *testFleet) addWorkspace(n int, add func(catalog.Body)) {
	id := fleet.WorkspaceID(fmt.Sprintf("w%d", n))
	workspace := &catalog.Workspace{ID: id}
	for _, b := range f.budgets(n) {
		workspace.Keys = append(workspace.Keys, catalog.AccessKey{
			SHA256: sha256Hex(budgetKey(b.ID)),
			Tier:   b.Tier,
			Budget: b.ID,
		})
		add(catalog.Body{Budget: &b})
	}
	add(catalog.Body{Workspace: workspace})
}

func (f *testFleet) budgets(n int) []catalog.Budget {
	return []catalog.Budget{
		{
			ID:        fleet.BudgetID(fmt.Sprintf("paying-%d", n)),
			Workspace: fleet.WorkspaceID(fmt.Sprintf("w%d", n)),
			Tier:      fleet.TierPaying,
			Prepaid:   f.config.paying,
		},
		{
			ID:        fleet.BudgetID(fmt.Sprintf("trial-%d", n)),
			Workspace: fleet.WorkspaceID(fmt.Sprintf("w%d", n)),
			Tier:      fleet.TierTrial,
			Prepaid:   f.config.trial,
		},
	}
}

// budgetKey returns the access key of a budget's callers.
func budgetKey(id fleet.BudgetID) string {
	return strings.Replace(string(id), "-", "-key-", 1)
}

func (f *testFleet) serverObject(s *server) *catalog.BackendServer {
	object := &catalog.BackendServer{
		ID:           s.id,
		Address:      s.address.String(),
		DataCentre:   "dc1",
		Slots:        f.config.slots,
		ChecksOrders: s.checksOrders,
	}
	if s.engine != nil {
		object.Models = []fleet.ModelID{"m"}
	} else {
		object.Service = "registry"
	}
	return object
}
