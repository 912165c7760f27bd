package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are the same on all VMs, which have different loopback addresses.
type ports struct {
	wire, front, ready, directory, control, list int
}

// regionName is the region of all zones.
const regionName = "region-1"

// metricsPort is the port of the metrics in the deploy file.
const metricsPort = 9180

// world is the deployment: its VMs, the list of servers and the record of what happened.
type world struct {
	repository string
	folder     string
	subnet     int
	ports      ports
	template   string
	deploy     deployment
	started    time.Time

	mu      sync.Mutex
	record  *os.File
	vms     []*vm
	servers []serverEntry
	// lists are the states of servers, the oldest first.
	lists []serverList
}

// serverList is the platform's list of servers from a time on.
type serverList struct {
	from    time.Time
	servers []serverEntry
}

// deployment has the sizes and bounds of a small deployment.
type deployment struct {
	losses    int
	zones     []string
	contracts []string
}

// vm is one VM of the system. Its process runs the command of the deploy file.
type vm struct {
	name     string
	ip       string
	core     bool
	zone     string
	folder   string
	dataDir  string
	settings string

	command *exec.Cmd
	exited  chan struct{}
	// startedAt and endedAt are the times of the latest start and end of its process.
	startedAt, endedAt time.Time
}

// served reports whether the VM's process ran at a time since its latest start.
func (v *vm) served(at time.Time) bool {
	if v.startedAt.IsZero() || v.startedAt.After(at) {
		return false
	}
	return v.command != nil || v.endedAt.After(at)
}

// serverEntry is an entry of the platform's list.
type serverEntry struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Cold    int    `json:"cold_remaining_ms"`
	Born    int64  `json:"born"`
}

func newWorld(recordPath string, d deployment) (*world, error) {
	repository, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile("deploy/settings.jsonc")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat("target/waxwingreel"); err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "waxwingreel-review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		repository: repository,
		folder:     folder,
		template:   string(template),
		deploy:     d,
		started:    time.Now(),
		record:     record,
	}
	return w, w.choosePorts()
}

// choosePorts finds a subnet of the loopback range and ports that are free there.
func (w *world) choosePorts() error {
	for range 20 {
		w.subnet = 16 + rand.IntN(200)
		base := 20000 + rand.IntN(12000)
		w.ports = ports{
			wire:      base,
			front:     base + 20,
			ready:     base + 21,
			directory: base + 22,
			control:   base + 23,
			list:      base + 24,
		}
		if w.free() {
			return nil
		}
	}
	return fmt.Errorf("found no free addresses")
}

func (w *world) free() bool {
	for host := 1; host <= 40; host++ {
		tried := []int{metricsPort}
		for port := w.ports.wire; port < w.ports.wire+30; port++ {
			tried = append(tried, port)
		}
		for _, port := range tried {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.address(host), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (w *world) address(host int) string {
	return fmt.Sprintf("127.%d.0.%d", w.subnet, host)
}

// note writes a line to the record.
func (w *world) note(text string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(text, arguments...))
}

// addVM adds a VM that has not been started.
func (w *world) addVM(core bool) *vm {
	w.mu.Lock()
	defer w.mu.Unlock()
	host := len(w.vms) + 1
	kind := "edge"
	if core {
		kind = "core"
	}
	v := &vm{
		name: fmt.Sprintf("%s-%d", kind, host),
		ip:   w.address(host),
		core: core,
		zone: w.deploy.zones[host%len(w.deploy.zones)],
	}
	v.folder = filepath.Join(w.folder, v.name)
	v.dataDir = filepath.Join(v.folder, "data")
	v.settings = filepath.Join(v.folder, "settings")
	w.vms = append(w.vms, v)
	return v
}

// seeds returns the control addresses of up to three VMs.
func (w *world) seeds(vms []*vm) []string {
	var seeds []string
	for _, v := range vms {
		if v.core && len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", v.ip, w.ports.control))
		}
	}
	return seeds
}

// start writes the settings of a VM and starts its process.
func (w *world) start(v *vm, seeds []string, bootstrap bool) error {
	if err := os.MkdirAll(v.folder, 0o700); err != nil {
		return err
	}
	zones := fields{}
	for _, zone := range w.deploy.zones {
		zones[zone] = regionName
	}
	f := fields{
		"node_name":           v.name,
		"zone":                v.zone,
		"region":              regionName,
		"ip":                  v.ip,
		"internal_port_range": []int{w.ports.wire, w.ports.wire + 15},
		"seeds":               seeds,
		"bootstrap":           bootstrap,
		"contracts":           w.deploy.contracts,
		"zones":               zones,
		"limits":              fields{"memory_mb": 280},
		"fault_tolerance":     fields{"machines": w.deploy.losses},
		"bounds": fields{
			"drain_ms":           3000,
			"grace_s":            8,
			"retry_budget_ratio": 0.2,
			"retry_budget_slack": 56,
		},
		"cloud": fields{
			"address":    fmt.Sprintf("%s:%d", w.address(250), w.ports.list),
			"rate_per_s": 44.0,
		},
	}
	listen := fields{}
	if v.core {
		f["data_dir"] = v.dataDir
		listen["control"] = fmt.Sprintf("%s:%d", v.ip, w.ports.control)
	} else {
		listen["front"] = fmt.Sprintf("%s:%d", v.ip, w.ports.front)
		listen["ready"] = fmt.Sprintf("%s:%d", v.ip, w.ports.ready)
		listen["directory"] = fmt.Sprintf("%s:%d", v.ip, w.ports.directory)
	}
	f["listen"] = listen
	text, err := render(w.template, f)
	if err != nil {
		return err
	}
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return err
	}
	return w.run(v)
}

// run starts the process of a VM with the command of the deploy file.
func (w *world) run(v *vm) error {
	log, err := os.OpenFile(filepath.Join(v.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words := strings.Fields("target/waxwingreel serve")
	command := exec.Command(filepath.Join(w.repository, words[0]), words[1:]...)
	command.Dir = w.repository
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"),
		"HOME=" + os.Getenv("HOME"),
		"WAXWINGREEL_NODE_FILE=" + v.settings,
		"QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true",
	}
	command.Stdout, command.Stderr = log, log
	// The process ends with this one, whatever becomes of it.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	w.mu.Lock()
	v.command, v.exited, v.startedAt = command, exited, time.Now()
	w.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	w.note("%s started, process %d", v.name, command.Process.Pid)
	return nil
}

// runningCore is running for callers that don't hold mu.
func (w *world) runningCore() []*vm {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running()
}

// running returns the core VMs whose processes run. The caller holds mu.
func (w *world) running() []*vm {
	var running []*vm
	for _, v := range w.vms {
		if v.core && v.command != nil {
			running = append(running, v)
		}
	}
	return running
}

// kill ends the process of a VM at once.
func (w *world) kill(v *vm) {
	if v.command == nil {
		return
	}
	_ = v.command.Process.Kill()
	<-v.exited
	w.mu.Lock()
	v.command, v.endedAt = nil, time.Now()
	w.mu.Unlock()
	w.note("%s killed", v.name)
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, v := range w.vms {
		if v.command != nil {
			_ = v.command.Process.Kill()
			<-v.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
	_ = w.record.Close()
}
