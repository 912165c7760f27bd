package soak

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// TestReloadWhileStarting sends SIGHUP to a process while it reads its settings for the first
// time, from a pipe that blocks it there. It guards against a handler that is installed too
// late, so that the signal ends the process.
func TestReloadWhileStarting(t *testing.T) {
	h := newHarness(t, 0, size{control: 1})
	v := h.vms[0]
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
	v.Signal(syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond)
	if err := os.Rename(v.settingsPath, v.settingsPath+".pipe"); err != nil {
		t.Fatal(err)
	}
	h.writeSettings(v)
	_, _ = pipe.Write(text)
	_ = pipe.Close()
	time.Sleep(500 * time.Millisecond)
	if v.Exited() {
		t.Errorf("%s was terminated by a SIGHUP that arrived while it read its settings", v.name)
	}
}
