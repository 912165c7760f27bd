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

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/process"
	"github.com/waxwingreel/waxwingreel/relay"
	"github.com/waxwingreel/waxwingreel/settings"
)

// Ports, the same on each VM: VMs differ by address.
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

// The bounds that the fleet is to keep, as its users state them.
const (
	configBound  = 2 * time.Second
	drainBound   = 3 * time.Second
	stopBound    = 8 * time.Second
	calmBefore   = 3 * time.Second
	lateBound    = 500 * time.Millisecond
	recoverBound = 12 * time.Second
	retryRatio   = 0.2
	retrySlack   = 52
	retryWindow  = 10 * time.Second
	listLag      = 300 * time.Millisecond
)

// Figures of a run.
const (
	startLimit  = 20 * time.Second
	faultTime   = 13 * time.Second
	hangTime    = 3 * time.Second
	plainWork   = 5 * time.Millisecond
	engineCount = 4
	plainCount  = 3
)

var binary string

func TestMain(m *testing.M) {
	os.Exit(process.BuildAndRun("../cmd/waxwingreel", func(built string) int {
		binary = built
		return m.Run()
	}))
}

// vm is one VM: a process behind relays, and a data folder where it carries a control
// replica.
type vm struct {
	*process.Process
	name     string
	settings settings.Settings
	path     string
	callers  *relay.TCP
}

func (v *vm) control() bool { return v.settings.Control != nil }

// The second part of a run's addresses. Runs at the same time, also of other processes,
// have different ones: each claims its own by the listener of its list.
const (
	firstSlot = 40
	slotCount = 200
)

// world is one run.
type world struct {
	t       *testing.T
	seed    uint64
	slot    byte
	folder  string
	began   time.Time
	network *relay.Network
	vms     []*vm
	audit   *audit
	calm    *calm
	nextID  atomic.Uint64

	instancesMu sync.Mutex
	instances   []*instance
	listMode    atomic.Int32
	// wiped is set once a disk was emptied.
	wiped    atomic.Bool
	operator *operator

	// ended is closed when callers and operator are to stop.
	ended chan struct{}
	wait  sync.WaitGroup
}

// size is how large a run's fleet is.
type size struct {
	entries int
	control int
	callers int
}

func newWorld(t *testing.T, seed uint64, s size) *world {
	w := &world{
		t:         t,
		seed:      seed,
		folder:    t.TempDir(),
		began:     time.Now(),
		network:   relay.NewNetwork(seed),
		instances: make([]*instance, engineCount+plainCount),
		ended:     make(chan struct{}),
	}
	w.audit = newAudit(w)
	w.calm = newCalm()
	w.operator = newOperator(w)
	w.serveList(w.claimSlot())
	for i := range s.control + s.entries {
		w.addVM(i, i < s.control, s.control)
	}
	for i := range w.instances {
		w.startInstance(serviceOf(i), i)
	}
	t.Cleanup(w.close)
	return w
}

func serviceOf(index int) string {
	if index < engineCount {
		return engineService
	}
	return plainService
}

func (w *world) address(part byte, index int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, w.slot, part, byte(index + 1)}), port)
}

// addVM sets a VM up. Its own addresses are 127.x.2.n; others reach it at 127.x.1.n,
// where the relays are.
func (w *world) addVM(i int, control bool, controlVMs int) {
	v := &vm{name: fmt.Sprintf("entry-%d", i-controlVMs+1)}
	if control {
		v.name = fmt.Sprintf("control-%d", i+1)
	}
	v.path = filepath.Join(w.folder, v.name+".jsonc")
	v.settings = settings.Settings{
		Node:        fleet.NodeID(v.name),
		DataCentre:  fleet.DataCentre(fmt.Sprintf("dc%d", i%3+1)),
		Listen:      settings.Listen{Wire: w.address(2, i, wirePort)},
		Advertise:   settings.Advertise{Wire: w.address(1, i, wirePort)},
		FleetSecret: "a secret for tests only",
		Site: &settings.Site{
			SeedPort:         wirePort,
			MaxFailures:      (controlVMs - 1) / 2,
			MemoryMegabytes:  200,
			InstanceList:     w.address(9, 0, listPort),
			InstanceListRate: 44,
			RetryRatio:       retryRatio,
			RetrySlack:       retrySlack,
			StopMillis:       stopBound.Milliseconds(),
		},
	}
	site := v.settings.Site
	for k := range min(3, controlVMs) {
		site.Seeds = append(site.Seeds, w.address(1, k, controlPort))
	}
	site.Listen.Metrics = w.address(2, i, metricsPort)
	if control {
		site.Listen.Control = w.address(2, i, controlPort)
		v.settings.Control = &settings.Control{
			DataFolder: filepath.Join(w.folder, "data-"+v.name),
			Bootstrap:  true,
		}
	} else {
		site.Listen.Callers = w.address(2, i, callersPort)
		site.Listen.Ready = w.address(2, i, readyPort)
		site.Listen.Directory = w.address(2, i, directoryPort)
	}
	w.writeSettings(v)
	v.Process = process.New(process.Config{
		Binary:    binary,
		Arguments: []string{"serve", "--settings", v.path},
		Log:       w.logPath(v.name),
	})
	w.relays(v, i)
	w.vms = append(w.vms, v)
}

func (w *world) relays(v *vm, i int) {
	w.network.SetEndpoint(v.settings.Listen.Wire, v.name)
	udp, err := relay.NewUDP(w.network, v.name, v.settings.Advertise.Wire, v.settings.Listen.Wire)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(udp.Close)
	if v.control() {
		return
	}
	v.callers, err = relay.NewTCP(w.network, relay.Pair{
		From: "callers",
		To:   v.name,
	}, w.address(1, i, callersPort), v.settings.Site.Listen.Callers)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(v.callers.Close)
}

func (w *world) logPath(name string) string { return filepath.Join(w.folder, name+".log") }

func (w *world) writeSettings(v *vm) {
	text, err := json.MarshalIndent(v.settings, "", "  ")
	if err != nil {
		w.t.Fatal(err)
	}
	if err := os.WriteFile(v.path, text, 0o600); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) start(v *vm) {
	if err := v.Start(); err != nil {
		w.violate("soak", "%v", err)
	}
}

// entries are the VMs that answer callers.
func (w *world) entries() []*vm {
	var entries []*vm
	for _, v := range w.vms {
		if !v.control() {
			entries = append(entries, v)
		}
	}
	return entries
}

func (w *world) controls() []*vm {
	return w.vms[:len(w.vms)-len(w.entries())]
}

// now is the time since the run began.
func (w *world) now() time.Duration { return time.Since(w.began).Round(time.Millisecond) }

// violate reports a broken promise.
func (w *world) violate(promise, format string, arguments ...any) {
	w.t.Errorf("seed %d, %s: %s: %s", w.seed, w.now(), promise, fmt.Sprintf(format, arguments...))
}

// claimSlot finds addresses that no other run has.
func (w *world) claimSlot() net.Listener {
	for i := range slotCount {
		w.slot = byte(firstSlot + (os.Getpid()+i)%slotCount)
		listener, err := net.Listen("tcp", w.address(9, 0, listPort).String())
		if err == nil {
			return listener
		}
	}
	w.t.Fatal("all addresses are taken")
	return nil
}

// serveList serves the list of instances, as of a moment ago.
func (w *world) serveList(listener net.Listener) {
	server := &http.Server{
		Handler: http.HandlerFunc(func(answer http.ResponseWriter, _ *http.Request) {
			switch w.listMode.Load() {
			case 1:
				answer.WriteHeader(http.StatusTooManyRequests)
				return
			case 2:
				time.Sleep(hangTime)
			}
			answer.Header().Set("Content-Type", "application/json")
			_, _ = answer.Write(w.listText())
		}),
	}
	go func() { _ = server.Serve(listener) }()
	w.t.Cleanup(func() { _ = server.Close() })
}

func (w *world) listText() []byte {
	type entry struct {
		ID      string `json:"id"`
		Service string `json:"service"`
		Address string `json:"address"`
		Zone    string `json:"zone"`
		Slots   int    `json:"slots"`
		State   string `json:"state"`
	}
	entries := []any{"not an entry"}
	w.instancesMu.Lock()
	defer w.instancesMu.Unlock()
	for _, in := range w.instances {
		if in == nil {
			continue
		}
		in.mu.Lock()
		state := "ready"
		if !in.leaving.IsZero() {
			state = "draining"
		}
		in.mu.Unlock()
		entries = append(entries, entry{
			ID:      in.id,
			Service: in.service,
			Address: w.instanceAddress(in.index, false).String(),
			Zone:    fmt.Sprintf("dc%d", in.index%3+1),
			Slots:   16,
			State:   state,
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

// awaitReady waits until all entry VMs take callers.
func (w *world) awaitReady() {
	deadline := time.Now().Add(startLimit)
	client := http.Client{Timeout: time.Second}
	for _, v := range w.entries() {
		for {
			response, err := client.Get("http://" + v.settings.Site.Listen.Ready.String() + "/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				w.t.Fatalf("seed %d: %s was not ready after %s", w.seed, v.name, startLimit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// close ends what still runs, and keeps the logs of a run that failed.
func (w *world) close() {
	for _, v := range w.vms {
		v.Signal(syscall.SIGCONT)
		v.Stop(syscall.SIGKILL, stopBound)
	}
	for _, in := range w.instances {
		if in != nil {
			in.stop()
		}
	}
	folder := os.Getenv("WAXWINGREEL_SOAK_LOGS")
	if !w.t.Failed() || folder == "" {
		return
	}
	kept := filepath.Join(folder, fmt.Sprintf("seed-%d", w.seed))
	if err := os.MkdirAll(kept, 0o700); err != nil {
		w.t.Log(err)
		return
	}
	for _, v := range w.vms {
		text, err := os.ReadFile(w.logPath(v.name))
		if err == nil {
			err = os.WriteFile(filepath.Join(kept, v.name+".log"), text, 0o600)
		}
		if err != nil {
			w.t.Log(err)
		}
	}
	w.t.Logf("seed %d: the logs are in %s", w.seed, kept)
}

func (w *world) random(purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed, purpose))
}
