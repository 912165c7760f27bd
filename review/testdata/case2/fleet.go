package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// The bounds of a small deployment, as its site file has them.
const (
	configApply = 2 * time.Second
	graceSecs   = 8
)

// fleet is a small deployment: control VMs, entry VMs, and a platform with its list of servers.
type fleet struct {
	root string
	dir  string
	// block is the part of the loopback range that this run uses.
	block string
	// port is the first of the ports, which are the same on all VMs.
	port  int
	nodes []*node

	record *recorder
	lister *http.Server
	mu     sync.Mutex
	// lists are the lists of servers that there were, the last one is true now.
	lists []listAt
}

// listAt is a list with the time from which on it is true.
type listAt struct {
	servers []listed
	at      time.Time
}

// listLag is how far the platform's list lags.
const listLag = 800 * time.Millisecond

// listed is an entry of the platform's list.
type listed struct {
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

// node is one process of the system.
type node struct {
	name    string
	ip      string
	core    bool
	process *exec.Cmd
	ended   chan struct{}
}

const (
	offsetFront = iota
	offsetReady
	offsetDirectory
	offsetControl
	offsetCloud
	offsetServer
	offsetInternal
	internalPorts = 16
)

// newFleet chooses addresses. The root is the folder of the repository.
func newFleet(root string, record *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-case")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		root:   root,
		dir:    dir,
		block:  fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)),
		port:   20000 + rand.IntN(9000),
		record: record,
	}
	return f, f.startLister()
}

func (f *fleet) address(host, offset int) string {
	return fmt.Sprintf("%s%d:%d", f.block, host, f.port+offset)
}

// startLister starts the platform's list of servers.
func (f *fleet) startLister() error {
	listener, err := net.Listen("tcp", f.address(250, offsetCloud))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		found := []listed{}
		for _, s := range f.lagging() {
			if zone := r.URL.Query().Get("zone"); zone == "" || zone == s.Zone {
				found = append(found, s)
			}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"instances": found,
			"next":      nil,
		})
	})
	f.lister = &http.Server{Handler: mux}
	go func() { _ = f.lister.Serve(listener) }()
	return nil
}

// list replaces the platform's list.
func (f *fleet) list(servers ...listed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists = append(f.lists, listAt{
		servers: servers,
		at:      time.Now(),
	})
}

// lagging returns the list as it was some time ago. The caller holds mu.
func (f *fleet) lagging() []listed {
	for i := len(f.lists) - 1; i >= 0; i-- {
		if time.Since(f.lists[i].at) >= listLag {
			return f.lists[i].servers
		}
	}
	return nil
}

// born records that a server has started again under its id.
func (f *fleet) born(id string) {
	f.mu.Lock()
	servers := append([]listed(nil), f.lists[len(f.lists)-1].servers...)
	f.mu.Unlock()
	for i := range servers {
		if servers[i].ID == id {
			servers[i].Born = time.Now().UnixMilli()
		}
	}
	f.list(servers...)
}

// start starts all VMs.
func (f *fleet) start(cores, edges int) error {
	for i := range cores {
		f.nodes = append(f.nodes, &node{
			name: fmt.Sprintf("core-%d", i+1),
			ip:   fmt.Sprintf("%s%d", f.block, i+1),
			core: true,
		})
	}
	for i := range edges {
		f.nodes = append(f.nodes, &node{
			name: fmt.Sprintf("edge-%d", i+1),
			ip:   fmt.Sprintf("%s%d", f.block, 101+i),
		})
	}
	for _, n := range f.nodes {
		if err := f.run(n, true); err != nil {
			return err
		}
	}
	return nil
}

// fields returns the settings fields of a VM as the platform gives them.
func (f *fleet) fields(n *node, bootstrap bool) map[string]any {
	var seeds []any
	for i := range 3 {
		seeds = append(seeds, f.address(i+1, offsetControl))
	}
	listen := map[string]any{}
	at := func(offset int) string { return fmt.Sprintf("%s:%d", n.ip, f.port+offset) }
	fields := map[string]any{
		"node_name":           n.name,
		"ip":                  n.ip,
		"zone":                "zone-a",
		"region":              "region-a",
		"internal_port_range": []any{f.port + offsetInternal, f.port + offsetInternal + internalPorts - 1},
		"seeds":               seeds,
		"bootstrap":           bootstrap,
		"in_tolerance":        n.core,
		"discovery":           "cloud_api",
		"entry":               "registry",
		"heartbeat_ms":        1200,
		"contracts":           []any{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"},
		"config_mode":         "highest",
		"zones":               map[string]any{"zone-a": "region-a"},
		"listen":              listen,
		"limits": map[string]any{
			"cpu_share": 0.4,
			"cores":     1,
			"memory_mb": 134,
			"max_fds":   4100,
			"link_mbps": 1000.0,
			"disk_mb":   0,
		},
		"fault_tolerance": map[string]any{
			"machines": 1,
			"zones":    0,
			"regions":  0,
		},
		"bounds": map[string]any{
			"stability_window_ms": 3000,
			"drain_ms":            3000,
			"grace_s":             graceSecs,
			"config_apply_ms":     configApply.Milliseconds(),
			"retry_budget_ratio":  0.2,
			"budget_window_s":     10,
			"retry_budget_slack":  56,
			"loss_slack_ms":       200,
			"strict_revocation":   false,
			"rollback_slack_ms":   250,
			"recover_s":           12,
			"settle_ms":           1500,
			"ttl_max_s":           5,
			"reuse_after_s":       2,
			"catch_up_s":          4,
			"seed_lag_s":          3,
			"ack_ms":              4000,
			"max_stretch_ms":      5000,
			"revoke_ms":           5000,
			"iteration_ms":        120,
			"retry_after_s":       8.3,
		},
		"cloud": map[string]any{
			"address":    f.address(250, offsetCloud),
			"rate_per_s": 44.0,
			"duties":     []any{},
			"lag_ms":     800,
		},
	}
	if n.core {
		fields["role"], fields["machine_class"], fields["serves"] = "control", "core", []any{"control_plane"}
		fields["data_dir"] = filepath.Join(f.dir, n.name)
		listen["control"] = at(offsetControl)
		return fields
	}
	fields["role"], fields["machine_class"], fields["serves"] = "entry", "edge", []any{"edge", "registry"}
	listen["front"], listen["ready"], listen["directory"] = at(offsetFront), at(offsetReady), at(offsetDirectory)
	return fields
}

var commandLine = regexp.MustCompile(`(?m)^run = "target/([^ "]+) ([^"]+)"`)

// run starts the process of a VM with the command of the deploy file.
func (f *fleet) run(n *node, bootstrap bool) error {
	deploy, err := os.ReadFile(filepath.Join(f.root, "deploy/system.toml"))
	if err != nil {
		return err
	}
	command := commandLine.FindSubmatch(deploy)
	if command == nil {
		return fmt.Errorf("the deploy file has no command")
	}
	template, err := os.ReadFile(filepath.Join(f.root, "deploy/settings.jsonc"))
	if err != nil {
		return err
	}
	settings, err := render(string(template), []any{f.fields(n, bootstrap)})
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, n.name+".settings")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.process = exec.Command(filepath.Join(f.root, "target", string(command[1])), string(command[2]))
	n.process.Dir = f.root
	n.process.Env = []string{
		"PATH=" + os.Getenv("PATH"),
		"HOME=" + f.dir,
		"WAXWINGREEL_NODE_FILE=" + path,
		"QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true",
	}
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	ended, process := n.ended, n.process
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// stop ends everything that was started.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.process != nil && n.process.Process != nil {
			_ = n.process.Process.Signal(syscall.SIGCONT)
			_ = n.process.Process.Kill()
			<-n.ended
		}
	}
	_ = f.lister.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// replace sends a configuration until one control VM acknowledges it, and returns the last status.
func (f *fleet) replace(config map[string]any) error {
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	last := "no answer"
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		for _, n := range f.nodes {
			if !n.core {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			status, body, err := post(ctx, fmt.Sprintf("http://%s:%d/config/replace", n.ip, f.port+offsetControl), text)
			cancel()
			last = fmt.Sprint(status, " ", body, " ", err)
			switch {
			case err != nil || status >= 500:
			case status == http.StatusOK:
				f.record.line("the operator's version %v is acknowledged", config["version"])
				return nil
			default:
				return fmt.Errorf("the operator's version %v is refused: %s", config["version"], last)
			}
		}
	}
	return fmt.Errorf("the operator's version %v is not acknowledged: %s", config["version"], last)
}

func post(ctx context.Context, url string, body []byte) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<16))
	return response.StatusCode, string(text), nil
}

// awaitReady waits until all entry VMs say that they are ready.
func (f *fleet) awaitReady() error {
	for _, n := range f.nodes {
		if n.core {
			continue
		}
		ready := false
		for deadline := time.Now().Add(30 * time.Second); !ready && time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
			response, err := http.Get(fmt.Sprintf("http://%s:%d/readyz", n.ip, f.port+offsetReady))
			if err == nil {
				_ = response.Body.Close()
				ready = response.StatusCode == http.StatusOK
			}
		}
		if !ready {
			return fmt.Errorf("%s is not ready", n.name)
		}
	}
	return nil
}

// edge returns the address of an entry VM for callers.
func (f *fleet) edge(i int) string {
	return f.address(101+i, offsetFront)
}
