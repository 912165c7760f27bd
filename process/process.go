// Package process runs the program under test as separate processes, for tests that
// stop, pause, kill and restart it with signals. It signals only processes that it
// started, by their ids.
package process

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// BuildAndRun builds the program of a package, whose path is relative to the folder of the
// caller's tests, calls run with the path of the binary, and removes the binary. It
// returns the exit code for TestMain.
func BuildAndRun(pkg string, run func(binary string) int) int {
	folder, err := os.MkdirTemp("", "waxwingreel-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binary := filepath.Join(folder, filepath.Base(pkg))
	if out, err := exec.Command("go", "build", "-o", binary, pkg).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "process: build %s: %v\n%s", pkg, err, out)
		return 1
	}
	return run(binary)
}

// Config configures a Process.
type Config struct {
	Binary    string
	Arguments []string
	// Log is the file to which the program's output is appended. It is kept across
	// restarts.
	Log string
}

// Process is a program that can be restarted after it has ended. It is safe for
// concurrent use.
type Process struct {
	cfg     Config
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// stopping is the command that Stop is ending, nil before the first call.
	stopping *exec.Cmd
}

// New returns a process that is not running.
func New(cfg Config) *Process {
	return &Process{cfg: cfg}
}

// SetBinary sets the program of the next starts.
func (p *Process) SetBinary(binary string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.Binary = binary
}

// Start starts the program unless it is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	log, err := os.OpenFile(p.cfg.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "process: open the log file")
	}
	command := exec.Command(p.cfg.Binary, p.cfg.Arguments...)
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return eris.Wrapf(err, "process: start %s", p.cfg.Binary)
	}
	exited := make(chan struct{})
	p.command, p.exited = command, exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// PID returns the process id of the program, 0 if it is not running.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Running reports whether the program was started and not yet ended by Stop.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil
}

// Exited reports whether the program has ended although Stop was not called.
func (p *Process) Exited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command == p.stopping {
		return false
	}
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Signal sends a signal if the program is running.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// Stop sends a signal that ends the program and waits until it has ended. It returns the
// exit code, -1 if a signal ended the program. A program that has not ended within the
// limit is killed, and inTime is false. Calls may overlap, for example a planned stop
// and a kill.
func (p *Process) Stop(s syscall.Signal, limit time.Duration) (code int, inTime bool) {
	p.mu.Lock()
	command, exited := p.command, p.exited
	p.stopping = command
	p.mu.Unlock()
	if command == nil {
		return 0, true
	}
	_ = command.Process.Signal(s)
	inTime = true
	select {
	case <-exited:
	case <-time.After(limit):
		inTime = false
		_ = command.Process.Kill()
		<-exited
	}
	p.mu.Lock()
	if p.command == command {
		p.command = nil
	}
	p.mu.Unlock()
	return command.ProcessState.ExitCode(), inTime
}
