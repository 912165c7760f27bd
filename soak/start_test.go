package soak

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// TestReloadWhileStarting tells a process to read its settings again while it reads them
// for the first time, from a pipe that holds it there. A process that did not expect the
// signal yet was ended by it.
func TestReloadWhileStarting(t *testing.T) {
	w := newHarness(t, 0, size{control: 1})
	v := w.vms[0]
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
	w.start(v)
	// This returns when the process has opened the other end.
	pipe, err := os.OpenFile(v.settingsPath, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	v.Signal(syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond)
	if err := os.Rename(v.settingsPath, v.settingsPath+".pipe"); err != nil {
		t.Fatal(err)
	}
	w.writeSettings(v)
	_, _ = pipe.Write(text)
	_ = pipe.Close()
	time.Sleep(500 * time.Millisecond)
	if v.Exited() {
		t.Errorf("%s ended at a signal to read its settings again", v.name)
	}
}
