package soak

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// signalsByName are the signals that testdata/signals.txt names.
var signalsByName = map[string]syscall.Signal{
	"HUP":  syscall.SIGHUP,
	"INT":  syscall.SIGINT,
	"TERM": syscall.SIGTERM,
}

// signalCase is a line of testdata/signals.txt.
type signalCase struct {
	name    string
	stage   string
	hold    time.Duration
	signals []string
	outcome string
}

// TestSignalSeries sends series of signals to a real entry VM at each stage of its life. Only a
// second SIGINT may end a planned stop early: supervisors repeat SIGTERM, and SIGHUP says no more
// than that the settings have changed.
func TestSignalSeries(t *testing.T) {
	for _, c := range readSignalCases(t) {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runSignalCase(t, c)
		})
	}
}

func readSignalCases(t *testing.T) []signalCase {
	t.Helper()
	file, err := os.Open("testdata/signals.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var cases []signalCase
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if lines.Text() == "" || strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		columns := strings.Split(lines.Text(), "|")
		if len(columns) != 5 {
			t.Fatalf("testdata/signals.txt: got %q, want five columns", lines.Text())
		}
		hold, err := strconv.Atoi(strings.TrimSpace(columns[2]))
		if err != nil {
			t.Fatal(err)
		}
		cases = append(cases, signalCase{
			name:    strings.TrimSpace(columns[0]),
			stage:   strings.TrimSpace(columns[1]),
			hold:    time.Duration(hold) * time.Millisecond,
			signals: strings.Fields(columns[3]),
			outcome: strings.TrimSpace(columns[4]),
		})
	}
	return cases
}

func runSignalCase(t *testing.T, c signalCase) {
	h := newHarness(t, 0, size{
		control: 1,
		entries: 1,
	})
	control, entry := h.vms[0], h.vms[1]
	h.start(control)
	if c.stage == "starting" {
		startPaused(t, h, entry, func() { sendSignals(t, entry, c.signals) })
	} else {
		h.start(entry)
		awaitListening(t, entry)
	}
	answered := make(chan bool, 1)
	if c.stage == "running" {
		configureSlowRoutes(t, h)
		if !answers(h, entry, 0, startLimit) {
			t.Fatal("the entry VM does not answer, before any signal")
		}
		go func() { answered <- answers(h, entry, c.hold, 0) }()
		time.Sleep(200 * time.Millisecond)
	}
	if c.stage != "starting" {
		sendSignals(t, entry, c.signals)
	}
	if c.outcome == "serves" {
		configureSlowRoutes(t, h)
		if !answers(h, entry, 0, startLimit) {
			t.Error("got no answer after the signals, want the VM to go on serving")
		}
		return
	}
	sent := time.Now()
	code, inTime := entry.Stop(0, stopBound)
	if code != 0 || !inTime {
		t.Errorf("got exit code %d, in time: %t, want 0 within %s", code, inTime, stopBound)
	}
	if c.stage != "running" {
		return
	}
	if got, want := <-answered, c.outcome == "answered"; got != want {
		t.Errorf("got the request in flight answered: %t, want %t", got, want)
	}
	if early := time.Since(sent) < time.Second; c.outcome == "aborted" && !early {
		t.Errorf("got a stop that took %s after the signals, want it to end at once", time.Since(sent))
	}
}

// TestClosedLogReader closes the reader of an entry VM's log. A write to a closed standard output
// ends a process by default, so that a supervisor's restart would take the fleet with it.
func TestClosedLogReader(t *testing.T) {
	h := newHarness(t, 0, size{
		control: 1,
		entries: 1,
	})
	h.start(h.vms[0])
	entry := h.vms[1]
	command := exec.Command(binary, "serve", "--settings", entry.settingsPath)
	log, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- command.Wait() }()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		if err := <-exited; err == nil {
			t.Error("got a process that ended by itself, want it to run until it is killed")
		}
	})
	awaitListening(t, entry)
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	configureSlowRoutes(t, h)
	if !answers(h, entry, 0, startLimit) {
		t.Error("got no answer after the reader of the log had gone, want the VM to serve")
	}
}

func sendSignals(t *testing.T, v *vm, signals []string) {
	t.Helper()
	for _, word := range signals {
		if s, ok := signalsByName[word]; ok {
			v.Signal(s)
			continue
		}
		pause, err := strconv.Atoi(word)
		if err != nil {
			t.Fatalf("testdata/signals.txt: %q is neither a signal nor a number of milliseconds", word)
		}
		time.Sleep(time.Duration(pause) * time.Millisecond)
	}
}

// startPaused starts a process and calls during while the process reads its settings for the
// first time, from a pipe that blocks it there.
func startPaused(t *testing.T, h *harness, v *vm, during func()) {
	t.Helper()
	text, err := os.ReadFile(v.settingsPath)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(v.settingsPath); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(v.settingsPath, 0o600); err != nil {
		t.Fatal(err)
	}
	h.start(v)
	// This returns when the process has opened the pipe for reading.
	pipe, err := os.OpenFile(v.settingsPath, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	during()
	time.Sleep(200 * time.Millisecond)
	if err := os.Rename(v.settingsPath, v.settingsPath+".pipe"); err != nil {
		t.Fatal(err)
	}
	h.writeSettings(v)
	_, _ = pipe.Write(text)
	_ = pipe.Close()
}

// awaitListening waits until a VM answers readiness checks, with any status.
func awaitListening(t *testing.T, v *vm) {
	t.Helper()
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + v.settings.Site.Listen.Ready.String() + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			return
		}
	}
	t.Fatalf("%s does not listen", v.name)
}

// configureSlowRoutes sends a configuration whose requests may take as long as a planned stop.
func configureSlowRoutes(t *testing.T, h *harness) {
	t.Helper()
	c := h.operator.nextChange(false)
	c.text = bytes.ReplaceAll(c.text, []byte(`"timeout_ms":1500`), []byte(`"timeout_ms":7500`))
	if !h.operator.send(c, startLimit) {
		t.Fatal("the configuration was not acknowledged")
	}
}

// answers sends a request that takes the given time and reports whether it was answered with
// success. It repeats a request that failed until the limit.
func answers(h *harness, v *vm, hold, limit time.Duration) bool {
	client := http.Client{
		Timeout:   stopBound,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
	for deadline := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		sent := &request{
			id:        "signal-" + strconv.FormatUint(h.nextID.Add(1), 10),
			kind:      kindOnce,
			workspace: "plenty",
			target:    "/once/?holdMillis=" + strconv.FormatInt(hold.Milliseconds(), 10),
			body:      "x",
			entry:     v,
			timeout:   stopBound,
			attempts:  2,
		}
		h.audit.recordRequest(sent)
		r, err := http.NewRequest(http.MethodPost, "http://"+v.settings.Site.Listen.Callers.String()+sent.target, strings.NewReader(sent.body))
		if err != nil {
			return false
		}
		r.Host = host
		r.Header.Set("Attempt-Id", sent.id)
		r.Header.Set("Authorization", "Token "+keyOf(sent.workspace))
		response, err := client.Do(r)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}
