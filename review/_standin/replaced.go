package main

import (
	"fmt"
	"time"
)

const (
	// coreVMs is the number of VMs with a disk, of which the deployment bears the loss of one.
	coreVMs = 3
	// replacements is the number of VMs that are replaced, one after the other.
	replacements = 2
	// successorDelay is the time from the end of a VM to the start of its successor.
	successorDelay = time.Second
	// settleTime is the time from the start of a successor to the next replacement. The pages ask for
	// catch_up_s, 4 s.
	settleTime = 20 * time.Second
	startLimit = 20 * time.Second
	// readLimit is how long the manifest is read at the end. The pages ask for stability_window_ms, 3 s,
	// at the least, and allow recover_s, 12 s.
	readLimit = 25 * time.Second
)

// replaced replaces the core VMs one after the other: each is gone for good, and an empty one comes at
// another address. The rule is CONFIG: the newest manifest that was acknowledged can be read back.
func replaced(recordPath string, trouble bool) (broken bool, err error) {
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
	for range coreVMs {
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
	for i, v := range first[:replacements] {
		time.Sleep(settleTime)
		if !o.replace(2+i, settleTime) {
			return false, fmt.Errorf("version %d is not acknowledged before the replacement", 2+i)
		}
		if !trouble {
			continue
		}
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
