package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/faultproxy"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/process"
	"github.com/waxwingreel/waxwingreel/settings"
)

// Ports are the same on all VMs, which have different addresses.
const (
	wirePort      = 7340
	callersPort   = 8227
	readyPort     = 8220
	directoryPort = 8221
	controlPort   = 8222
	metricsPort   = 9180
	listPort      = 8223
	instancePort  = 8080
)

// Bounds that the fleet must keep, as its users state them.
const (
	// configBound is the time until an acknowledged configuration is in force on all VMs.
	configBound = 2 * time.Second
	// drainBound is the time until a draining instance receives no new requests.
	drainBound = 3 * time.Second
	// stopBound is the time that a planned stop may take.
	stopBound = 8 * time.Second
	// settleTime is how long a VM must have been without faults before a request for the
	// time limits to apply to it.
	settleTime = 3 * time.Second
	// lateBound is the tolerance on the deadlines of requests.
	lateBound = 500 * time.Millisecond
	// recoverBound is the time until the fleet serves again after the last fault.
	recoverBound = 12 * time.Second
	// All VMs together may make retryRatio retries for each request, and retrySlack beyond
	// that, within retryWindow.
	retryRatio  = 0.2
	retrySlack  = 52
	retryWindow = 10 * time.Second
	// listLag allows for the time until the nodes read a change of the instance list.
	listLag = 300 * time.Millisecond
)

// Durations and sizes of a run.
const (
	startLimit       = 20 * time.Second
	faultPhase       = 13 * time.Second
	hangDuration     = 3 * time.Second
	plainServiceTime = 5 * time.Millisecond
	engineCount      = 4
	plainCount       = 3
)

var binary string

func TestMain(m *testing.M) {
	os.Exit(process.BuildAndRun("../cmd/waxwingreel", func(built string) int {
		binary = built
		return m.Run()
	}))
}

// vm is a VM: a process behind fault proxies, with a data folder if it has a control replica.
type vm struct {
	*process.Process
	name         string
	settings     settings.Settings
	settingsPath string
	callerProxy  *faultproxy.TCP
}

func (v *vm) runsControl() bool { return v.settings.Control != nil }

// The second octet of a run's addresses. Concurrent runs, also those of other processes, have
// different ones: each run reserves its own with the listener of its instance list.
const (
	firstSubnet = 40
	subnetCount = 200
)

// harness is the fleet, the simulated instances and the checks of one run.
type harness struct {
	t         *testing.T
	seed      uint64
	subnet    byte
	folder    string
	startedAt time.Time
	network   *faultproxy.Network
	vms       []*vm
	audit     *audit
	faultLog  *faultLog
	nextID    atomic.Uint64

	instancesMu sync.Mutex
	instances   []*instance
	listMode    atomic.Int32
	// wiped is set once the data folder of a control VM was deleted.
	wiped    atomic.Bool
	operator *operator
	// builds is nil unless two builds run side by side.
	builds *builds

	// ended is closed when the callers and the operator are to stop.
	ended   chan struct{}
	workers sync.WaitGroup
}

// size is the size of a run's fleet.
type size struct {
	entries int
	control int
	callers int
}

func newHarness(t *testing.T, seed uint64, s size) *harness {
	h := &harness{
		t:         t,
		seed:      seed,
		folder:    t.TempDir(),
		startedAt: time.Now(),
		network:   faultproxy.NewNetwork(seed),
		instances: make([]*instance, engineCount+plainCount),
		ended:     make(chan struct{}),
	}
	h.audit = newAudit(h)
	h.faultLog = newFaultLog()
	h.operator = newOperator(h)
	h.serveList(h.reserveSubnet())
	for i := range s.control + s.entries {
		h.addVM(i, i < s.control, s.control)
	}
	for i := range h.instances {
		h.startInstance(serviceOf(i), i)
	}
	t.Cleanup(h.close)
	return h
}

func serviceOf(index int) string {
	if index < engineCount {
		return engineService
	}
	return plainService
}

func (h *harness) address(part byte, index int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, h.subnet, part, byte(index + 1)}), port)
}

// addVM configures a VM. It listens at 127.x.2.n; others reach it at 127.x.1.n, where the
// fault proxies listen.
func (h *harness) addVM(i int, control bool, controlVMs int) {
	v := &vm{name: fmt.Sprintf("entry-%d", i-controlVMs+1)}
	if control {
		v.name = fmt.Sprintf("control-%d", i+1)
	}
	v.settingsPath = filepath.Join(h.folder, v.name+".jsonc")
	v.settings = settings.Settings{
		Node:        fleet.NodeID(v.name),
		DataCentre:  fleet.DataCentre(fmt.Sprintf("dc%d", i%3+1)),
		Listen:      settings.Listen{Wire: h.address(2, i, wirePort)},
		Advertise:   settings.Advertise{Wire: h.address(1, i, wirePort)},
		FleetSecret: "a secret for tests only",
		Site: &settings.Site{
			SeedPort:         wirePort,
			MaxFailures:      (controlVMs - 1) / 2,
			MemoryMegabytes:  200,
			InstanceList:     h.address(9, 0, listPort),
			InstanceListRate: 44,
			RetryRatio:       retryRatio,
			RetrySlack:       retrySlack,
			StopMillis:       stopBound.Milliseconds(),
		},
	}
	site := v.settings.Site
	for k := range min(3, controlVMs) {
		site.Seeds = append(site.Seeds, h.address(1, k, controlPort))
	}
	site.Listen.Metrics = h.address(2, i, metricsPort)
	if control {
		site.Listen.Control = h.address(2, i, controlPort)
		v.settings.Control = &settings.Control{
			DataFolder: filepath.Join(h.folder, "data-"+v.name),
			Bootstrap:  true,
		}
	} else {
		site.Listen.Callers = h.address(2, i, callersPort)
		site.Listen.Ready = h.address(2, i, readyPort)
		site.Listen.Directory = h.address(2, i, directoryPort)
	}
	h.writeSettings(v)
	v.Process = process.New(process.Config{
		Binary:    binary,
		Arguments: []string{"serve", "--settings", v.settingsPath},
		Log:       h.logPath(v.name),
	})
	h.startProxies(v, i)
	h.vms = append(h.vms, v)
}

func (h *harness) startProxies(v *vm, i int) {
	h.network.SetEndpoint(v.settings.Listen.Wire, v.name)
	udp, err := faultproxy.NewUDP(h.network, v.name, v.settings.Advertise.Wire, v.settings.Listen.Wire)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(udp.Close)
	if v.runsControl() {
		return
	}
	v.callerProxy, err = faultproxy.NewTCP(h.network, faultproxy.Direction{
		From: "callers",
		To:   v.name,
	}, h.address(1, i, callersPort), v.settings.Site.Listen.Callers)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(v.callerProxy.Close)
}

func (h *harness) logPath(name string) string { return filepath.Join(h.folder, name+".log") }

func (h *harness) writeSettings(v *vm) {
	text, err := json.MarshalIndent(v.settings, "", "  ")
	if err != nil {
		h.t.Fatal(err)
	}
	if err := os.WriteFile(v.settingsPath, text, 0o600); err != nil {
		h.t.Fatal(err)
	}
}

func (h *harness) start(v *vm) {
	if err := v.Start(); err != nil {
		h.reportViolation("soak", "cannot start a VM: %v", err)
	}
}

// entries returns the VMs that serve callers.
func (h *harness) entries() []*vm {
	var entries []*vm
	for _, v := range h.vms {
		if !v.runsControl() {
			entries = append(entries, v)
		}
	}
	return entries
}

func (h *harness) controls() []*vm {
	return h.vms[:len(h.vms)-len(h.entries())]
}

// elapsed returns the time since the run began.
func (h *harness) elapsed() time.Duration { return time.Since(h.startedAt).Round(time.Millisecond) }

// reportViolation fails the test because a guarantee was violated. The guarantee "soak" denotes
// a failure of the test itself.
func (h *harness) reportViolation(guarantee, format string, arguments ...any) {
	h.t.Errorf("seed %d, %s: %s: %s", h.seed, h.elapsed(), guarantee, fmt.Sprintf(format, arguments...))
}

// reserveSubnet sets the subnet to one that no other run uses, and returns the listener that
// reserves it.
func (h *harness) reserveSubnet() net.Listener {
	for i := range subnetCount {
		h.subnet = byte(firstSubnet + (os.Getpid()+i)%subnetCount)
		listener, err := net.Listen("tcp", h.address(9, 0, listPort).String())
		if err == nil {
			return listener
		}
	}
	h.t.Fatal("no free subnet: all of them are in use by other runs")
	return nil
}

// serveList serves the instance list. In listMode 1 it responds 429, in listMode 2 only after
// hangDuration.
func (h *harness) serveList(listener net.Listener) {
	server := &http.Server{
		Handler: http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
			switch h.listMode.Load() {
			case 1:
				response.WriteHeader(http.StatusTooManyRequests)
				return
			case 2:
				time.Sleep(hangDuration)
			}
			response.Header().Set("Content-Type", "application/json")
			_, _ = response.Write(h.listText())
		}),
	}
	go func() { _ = server.Serve(listener) }()
	h.t.Cleanup(func() { _ = server.Close() })
}

func (h *harness) listText() []byte {
	type entry struct {
		ID      string `json:"id"`
		Service string `json:"service"`
		Address string `json:"address"`
		Zone    string `json:"zone"`
		Slots   int    `json:"slots"`
		State   string `json:"state"`
		Version string `json:"version"`
	}
	entries := []any{"not an entry"}
	h.instancesMu.Lock()
	defer h.instancesMu.Unlock()
	for _, in := range h.instances {
		if in == nil {
			continue
		}
		in.mu.Lock()
		state := "ready"
		if !in.drainingSince.IsZero() {
			state = "draining"
		}
		in.mu.Unlock()
		entries = append(entries, entry{
			ID:      in.id,
			Service: in.service,
			Address: h.instanceAddress(in.index, false).String(),
			Zone:    fmt.Sprintf("dc%d", in.index%3+1),
			Slots:   16,
			State:   state,
			Version: in.software,
		})
	}
	text, err := json.Marshal(map[string]any{
		"instances": entries,
		"next":      nil,
	})
	if err != nil {
		return nil
	}
	return text
}

// awaitReady waits until all entry VMs are ready for callers.
func (h *harness) awaitReady() {
	deadline := time.Now().Add(startLimit)
	client := http.Client{Timeout: time.Second}
	for _, v := range h.entries() {
		for {
			response, err := client.Get("http://" + v.settings.Site.Listen.Ready.String() + "/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				h.t.Fatalf("seed %d: %s was not ready after %s", h.seed, v.name, startLimit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// close ends all processes and instances, and keeps the logs of a run that failed if
// WAXWINGREEL_SOAK_LOGS names a folder for them.
func (h *harness) close() {
	for _, v := range h.vms {
		v.Signal(syscall.SIGCONT)
		v.Stop(syscall.SIGKILL, stopBound)
	}
	for _, in := range h.instances {
		if in != nil {
			in.stop()
		}
	}
	folder := os.Getenv("WAXWINGREEL_SOAK_LOGS")
	if !h.t.Failed() || folder == "" {
		return
	}
	kept := filepath.Join(folder, fmt.Sprintf("seed-%d", h.seed))
	if err := os.MkdirAll(kept, 0o700); err != nil {
		h.t.Log(err)
		return
	}
	for _, v := range h.vms {
		text, err := os.ReadFile(h.logPath(v.name))
		if err == nil {
			err = os.WriteFile(filepath.Join(kept, v.name+".log"), text, 0o600)
		}
		if err != nil {
			h.t.Log(err)
		}
	}
	h.t.Logf("seed %d: logs kept in %s", h.seed, kept)
}

func (h *harness) random(purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(h.seed, purpose))
}
