// Package process runs the program under test as separate processes, for tests that
// stop, pause, kill and restart it by signals. Only processes that it started are ever
// signalled, by their ids.
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

// BuildAndRun builds the program of a package, relative to the folder of the caller's tests, runs
// them with its path, and removes it. It returns the exit code for TestMain.
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

// Config sets up a Process.
type Config struct {
	Binary    string
	Arguments []string
	// Log is the file that takes what the program prints, over all of its lives.
	Log string
}

// Process is a program that may be started again after each end. It is safe for
// concurrent use.
type Process struct {
	cfg     Config
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// ending is the command that End is ending.
	ending *exec.Cmd
}

// New returns a process that is not running.
func New(cfg Config) *Process {
	return &Process{cfg: cfg}
}

// Start starts the program unless it runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	log, err := os.OpenFile(p.cfg.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "process: open the log")
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

// Running reports whether the program was started and not yet ended by End.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil
}

// Exited reports whether the program has ended although End was not called.
func (p *Process) Exited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command == p.ending {
		return false
	}
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Signal sends a signal, if the program runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// Stop sends a signal that ends the program and waits for that. It returns the exit
// code, -1 for one that a signal ended. A program that has not ended within the limit is
// killed, and inTime is false. Two calls may overlap, as two signals may.
func (p *Process) Stop(s syscall.Signal, limit time.Duration) (code int, inTime bool) {
	p.mu.Lock()
	command, exited := p.command, p.exited
	p.ending = command
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
