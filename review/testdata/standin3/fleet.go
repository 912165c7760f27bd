package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// The bounds of a small deployment, as its sheet states them.
const (
	stabilityWindow = 3 * time.Second
	drainTime       = 3 * time.Second
	configApplyTime = 2 * time.Second
	graceTime       = 8 * time.Second
)

const (
	zoneCount    = 4
	startTimeout = 25 * time.Second
)

// ports are the same on all machines.
type ports struct {
	front, ready, directory, control, wire int
}

// machine is one process of the system on a loopback address of its own.
type machine struct {
	name  string
	class string
	ip    string
	zone  string
	dir   string
	cmd   *exec.Cmd
}

// fleet is the system under test: control and entry machines.
type fleet struct {
	temp     string
	ports    ports
	machines []*machine
	platform string
	log      *record
	run      map[string][]string
	env      map[string][]string
}

// fleetSize is the number of machines of each class.
type fleetSize struct {
	control, entry int
}

// smallFleet has the machines of a small deployment.
var smallFleet = fleetSize{
	control: 5,
	entry:   8,
}

// newFleet picks free addresses and starts all machines.
func newFleet(log *record, platform string, size fleetSize) (*fleet, error) {
	temp, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		temp:     temp,
		platform: platform,
		log:      log,
		run:      map[string][]string{},
		env:      map[string][]string{},
	}
	if err := f.readDeployFile(); err != nil {
		return f, err
	}
	if err := f.pickAddresses(size); err != nil {
		return f, err
	}
	for _, m := range f.machines {
		if err := f.start(m, true); err != nil {
			return f, err
		}
	}
	return f, nil
}

// readDeployFile reads the commands and the environment of the roles.
func (f *fleet) readDeployFile() error {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	for _, part := range strings.Split(string(text), "[roles.")[1:] {
		on := regexp.MustCompile(`(?m)^on = "(.*)"`).FindStringSubmatch(part)
		run := regexp.MustCompile(`(?m)^run = "(.*)"`).FindStringSubmatch(part)
		if on == nil || run == nil {
			return errors.New("the deploy file has a role without on or run")
		}
		f.run[on[1]] = strings.Fields(run[1])
		if env := regexp.MustCompile(`(?m)^env = \{(.*)\}`).FindStringSubmatch(part); env != nil {
			for _, pair := range regexp.MustCompile(`(\w+) = "([^"]*)"`).FindAllStringSubmatch(env[1], -1) {
				f.env[on[1]] = append(f.env[on[1]], pair[1]+"="+pair[2])
			}
		}
	}
	return nil
}

// pickAddresses gives each machine a loopback address of its own. All use the same ports.
func (f *fleet) pickAddresses(size fleetSize) error {
	for range 50 {
		f.machines = nil
		prefix := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 20000 + rand.IntN(10000)
		f.ports = ports{
			front:     base,
			ready:     base + 1,
			directory: base + 2,
			control:   base + 3,
			wire:      base + 4,
		}
		for i := range size.control + size.entry {
			m := &machine{
				class: "core",
				ip:    fmt.Sprintf("%s%d", prefix, i+1),
			}
			n := i
			if i >= size.control {
				m.class, n = "edge", i-size.control
			}
			m.zone = fmt.Sprintf("zone-%c", 'a'+n%zoneCount)
			m.name = fmt.Sprintf("%s-%s-%d", m.class, m.zone, n/zoneCount+1)
			m.dir = filepath.Join(f.temp, m.name)
			f.machines = append(f.machines, m)
		}
		if f.addressesFree(base) {
			return nil
		}
	}
	return errors.New("no free addresses found")
}

func (f *fleet) addressesFree(base int) bool {
	for _, m := range f.machines {
		for _, port := range []int{base, base + 1, base + 2, base + 3, base + 4, 9180} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *fleet) class(class string) []*machine {
	var found []*machine
	for _, m := range f.machines {
		if m.class == class {
			found = append(found, m)
		}
	}
	return found
}

// fields returns the settings of a process as the platform states them.
func (f *fleet) fields(m *machine, bootstrap bool) map[string]any {
	var seeds []any
	for _, c := range f.class("core")[:3] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, f.ports.control))
	}
	fields := map[string]any{
		"node_name":           m.name,
		"machine_class":       m.class,
		"ip":                  m.ip,
		"zone":                m.zone,
		"region":              "region-1",
		"internal_port_range": []any{f.ports.wire, f.ports.wire + 15},
		"seeds":               seeds,
		"bootstrap":           bootstrap,
		"in_tolerance":        m.class == "core",
		"discovery":           "cloud_api",
		"entry":               "registry",
		"contracts":           []any{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"},
		"config_mode":         "highest",
		"fault_tolerance":     map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": stabilityWindow.Milliseconds(), "ack_ms": 4000,
			"catch_up_s": 4, "drain_ms": drainTime.Milliseconds(), "grace_s": int(graceTime.Seconds()), "loss_slack_ms": 200,
			"config_apply_ms": configApplyTime.Milliseconds(), "rollback_slack_ms": 250, "max_stretch_ms": 5000,
			"retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 56, "recover_s": 12,
			"iteration_ms": 120, "retry_after_s": 8.3, "settle_ms": 1500, "ttl_max_s": 5,
		},
		"cloud": map[string]any{"address": f.platform, "rate_per_s": 44.0, "lag_ms": listLag.Milliseconds()},
	}
	listen := map[string]any{}
	limits := map[string]any{"cores": 1, "link_mbps": 1000.0, "max_fds": 4100, "memory_mb": entryMegabytes}
	if m.class == "core" {
		listen["control"] = fmt.Sprintf("%s:%d", m.ip, f.ports.control)
		fields["data_dir"] = m.dir
		limits["memory_mb"] = controlMegabytes
	} else {
		listen["front"] = fmt.Sprintf("%s:%d", m.ip, f.ports.front)
		listen["ready"] = fmt.Sprintf("%s:%d", m.ip, f.ports.ready)
		listen["directory"] = fmt.Sprintf("%s:%d", m.ip, f.ports.directory)
	}
	fields["listen"], fields["limits"] = listen, limits
	return fields
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine, bootstrap bool) error {
	if err := os.MkdirAll(m.dir, 0o755); err != nil {
		return err
	}
	template, err := os.ReadFile("deploy/settings.jsonc")
	if err != nil {
		return err
	}
	text, err := render(string(template), []entry{{value: f.fields(m, bootstrap)}})
	if err != nil {
		return err
	}
	file := m.dir + ".settings"
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return err
	}
	output, err := os.OpenFile(m.dir+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	words := f.run[m.class]
	m.cmd = exec.Command(words[0], words[1:]...)
	m.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WAXWINGREEL_NODE_FILE=" + file}, f.env[m.class]...)
	m.cmd.Stdout, m.cmd.Stderr = output, output
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	f.log.line("machine %s started at %s", m.name, m.ip)
	return nil
}

// kill ends the process of a machine.
func (f *fleet) kill(m *machine) {
	if m.cmd == nil || m.cmd.Process == nil {
		return
	}
	_ = m.cmd.Process.Kill()
	_ = m.cmd.Wait()
	m.cmd = nil
}

// close ends all processes and removes their files.
func (f *fleet) close() {
	for _, m := range f.machines {
		f.kill(m)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.temp)
	}
}

// fronts returns the addresses that callers use.
func (f *fleet) fronts() []string {
	var addresses []string
	for _, m := range f.class("edge") {
		addresses = append(addresses, fmt.Sprintf("%s:%d", m.ip, f.ports.front))
	}
	return addresses
}

var callClient = &http.Client{
	Timeout:   2 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// configure sends a manifest to the control machines until one acknowledges it.
func (f *fleet) configure(manifest map[string]any) error {
	text, err := json.Marshal(manifest)
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		for _, m := range f.class("core") {
			response, err := callClient.Post(fmt.Sprintf("http://%s:%d/config/replace", m.ip, f.ports.control), "application/json", bytes.NewReader(text))
			if err != nil {
				continue
			}
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			switch {
			case response.StatusCode == http.StatusOK:
				f.log.line("manifest version %v acknowledged by %s", manifest["version"], m.name)
				return nil
			case response.StatusCode < 500:
				return fmt.Errorf("the manifest was refused: %d %s", response.StatusCode, body)
			}
		}
	}
	return errors.New("no control machine acknowledged the manifest")
}

// awaitReady waits until all entry machines are ready and the list that callers get has all of them.
func (f *fleet) awaitReady() error {
	edges := f.class("edge")
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		ready := 0
		for _, m := range edges {
			if status, _ := get(fmt.Sprintf("http://%s:%d/readyz", m.ip, f.ports.ready)); status == http.StatusOK {
				ready++
			}
		}
		if ready < len(edges) {
			continue
		}
		_, body := get(fmt.Sprintf("http://%s:%d/resolve?name=app.example&region=region-1&zone=zone-a", edges[0].ip, f.ports.directory))
		list := struct {
			Addresses []string `json:"addresses"`
		}{}
		if json.Unmarshal(body, &list) == nil && len(list.Addresses) == len(edges) {
			return nil
		}
	}
	return errors.New("the entry machines did not become ready")
}

func get(url string) (status int, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil
	}
	response, err := callClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	body, _ = io.ReadAll(response.Body)
	return response.StatusCode, body
}
