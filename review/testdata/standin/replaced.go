package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	// successorDelay is the time from the end of a VM to the start of its successor.
	successorDelay = time.Second
	startLimit     = 20 * time.Second
	// readLimit is how long the manifest is read at the end. The pages ask for stability_window_ms, 3 s,
	// at the least, and allow recover_s, 12 s.
	readLimit = 25 * time.Second
)

// replacing is a series of replacements of core VMs, one after the other. Each VM is gone for good, and an
// empty one comes at another address.
type replacing struct {
	coreVMs int
	times   int
	// settle is the time from the start of a successor to the next replacement. The pages ask for
	// catch_up_s, 4 s.
	settle time.Duration
	// pick chooses the VM to replace.
	pick func(w *world, running []*vm) *vm
}

// replaced replaces the oldest VMs of the least group that bears the loss of one.
func replaced(recordPath string, trouble bool) (broken bool, err error) {
	return replacing{
		coreVMs: 3,
		times:   2,
		settle:  20 * time.Second,
		pick:    func(_ *world, running []*vm) *vm { return running[0] },
	}.play(recordPath, trouble)
}

// leaders replaces the VM that leads, in a group of the size of the small sites.
func leaders(recordPath string, trouble bool) (broken bool, err error) {
	return replacing{
		coreVMs: 5,
		times:   4,
		settle:  7 * time.Second,
		pick:    leader,
	}.play(recordPath, trouble)
}

// play checks the rule CONFIG: the newest manifest that was acknowledged can be read back.
func (r replacing) play(recordPath string, trouble bool) (broken bool, err error) {
	w, err := newWorld(recordPath, deployment{
		losses:    1,
		zones:     []string{"zone-a", "zone-b", "zone-c"},
		contracts: []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"},
	})
	if err != nil {
		return false, err
	}
	defer w.close()
	if err := w.serveList(); err != nil {
		return false, err
	}
	for range r.coreVMs {
		w.addVM(true)
	}
	first := append([]*vm(nil), w.vms...)
	for _, v := range first {
		if err := w.start(v, w.seeds(first), true); err != nil {
			return false, err
		}
	}
	o := newOperator(w)
	if !o.replace(1, startLimit) {
		return false, fmt.Errorf("the deployment does not start")
	}
	for i := range r.times {
		time.Sleep(r.settle)
		if !o.replace(2+i, startLimit) {
			return false, fmt.Errorf("version %d is not acknowledged before the replacement", 2+i)
		}
		if !trouble {
			continue
		}
		v := r.pick(w, w.runningCore())
		w.kill(v)
		w.note("%s is gone for good", v.name)
		time.Sleep(successorDelay)
		successor := w.addVM(true)
		if err := w.start(successor, w.seeds(o.nodes()), false); err != nil {
			return false, err
		}
	}
	read := o.describe(readLimit)
	w.note("version %d was acknowledged, version %d read back", o.acknowledged, read)
	return read < o.acknowledged, nil
}

// leader returns the VM that became the leader last, by the logs of the processes. The times in the logs
// of one machine can be compared.
func leader(_ *world, running []*vm) *vm {
	latest, at := running[0], ""
	for _, v := range running {
		log, _ := os.ReadFile(filepath.Join(v.folder, "log"))
		for line := range bytes.Lines(log) {
			if !bytes.Contains(line, []byte("became the leader")) {
				continue
			}
			if _, rest, ok := bytes.Cut(line, []byte(`"time":"`)); ok && string(rest[:24]) > at {
				latest, at = v, string(rest[:24])
			}
		}
	}
	return latest
}
