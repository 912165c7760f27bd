package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/waxwingreel/waxwingreel/relay"
)

// fault is something that goes wrong for a while.
type fault struct {
	start       time.Duration
	duration    time.Duration
	description string
	// inject does it, and undoes it after the fault's time.
	inject func(last time.Duration)
}

// faultKinds are drawn from with equal chance.
var faultKinds = []func(w *harness, rng *rand.Rand) fault{
	killOne, killOne, killAll, stopOne, stopEntriesInTurn, pauseOne, pauseOne, stopAndKill, tearLog, killAndWipe, reload,
	isolateVM, partitionHalves, dropOutgoing, isolateEntries, degradeNetwork, breakCallerConnections, silenceInstance, resetInstance, dropInstanceOutgoing,
	misbehave, misbehave, crashInstance, drainInstance, drainInstance, failInstanceList,
}

// drawFaults draws a run's drawFaults.
func (w *harness) drawFaults() []fault {
	rng := w.random(1)
	var faults []fault
	for range 5 + rng.IntN(6) {
		f := faultKinds[rng.IntN(len(faultKinds))](w, rng)
		f.start = time.Second + time.Duration(rng.Int64N(int64(faultPhase-3*time.Second)))
		f.duration = 200*time.Millisecond + time.Duration(rng.Int64N(int64(3500*time.Millisecond)))
		faults = append(faults, f)
	}
	return faults
}

// injectFaults plays the faults and returns once all are over and everything is mended.
func (w *harness) injectFaults(faults []fault) {
	all := sync.WaitGroup{}
	for _, f := range faults {
		w.t.Logf("seed %d: at %s for %s: %s", w.seed, f.start.Round(time.Millisecond), f.duration.Round(time.Millisecond), f.description)
		all.Go(func() {
			time.Sleep(f.start)
			f.inject(f.duration)
		})
	}
	all.Wait()
	time.Sleep(max(0, faultPhase-w.elapsed()))
	w.network.Mend()
	w.network.SetCommon(relay.Faults{})
	for _, v := range w.vms {
		v.Signal(syscall.SIGCONT)
		w.start(v)
	}
}

func randomVM(w *harness, rng *rand.Rand) *vm { return w.vms[rng.IntN(len(w.vms))] }

func randomControl(w *harness, rng *rand.Rand) *vm {
	controls := w.controls()
	return controls[rng.IntN(len(controls))]
}

// affected are what a fault of a VM touches.
func (v *vm) affected() []string {
	if v.runsControl() {
		return []string{v.name, controlGroup}
	}
	return []string{v.name}
}

// kill kills a VM's process and starts it again after a while.
func (w *harness) kill(v *vm, down time.Duration, before func()) {
	defer w.faultLog.record(v.affected()...)()
	v.Signal(syscall.SIGCONT)
	v.End(syscall.SIGKILL, stopBound)
	if before != nil {
		before()
	}
	time.Sleep(down)
	w.start(v)
	time.Sleep(time.Second)
}

func killOne(w *harness, rng *rand.Rand) fault {
	v := randomVM(w, rng)
	return fault{
		description: "kill " + v.name,
		inject:      func(last time.Duration) { w.kill(v, last, nil) },
	}
}

func killAll(w *harness, _ *rand.Rand) fault {
	return fault{
		description: "kill all",
		inject: func(last time.Duration) {
			defer w.faultLog.record(allVMs)()
			all := sync.WaitGroup{}
			for _, v := range w.vms {
				all.Go(func() { w.kill(v, last/2, nil) })
			}
			all.Wait()
		},
	}
}

// stop stops a VM's process as planned and starts it again.
func (w *harness) stop(v *vm, down time.Duration) {
	began := time.Now()
	v.Signal(syscall.SIGCONT)
	if v.runsControl() {
		defer w.faultLog.record(controlGroup)()
	}
	if !v.Running() {
		return
	}
	code, inTime := v.End(syscall.SIGTERM, stopBound)
	calm := w.faultLog.faultFree(v.name, began.Add(-settleTime), time.Now())
	if calm && (!inTime || code != 0) {
		w.reportViolation("planned stops", "%s ended with code %d, in time: %v", v.name, code, inTime)
	}
	if !inTime {
		defer w.faultLog.record(v.name)()
	}
	time.Sleep(down)
	w.start(v)
}

func stopOne(w *harness, rng *rand.Rand) fault {
	v := randomVM(w, rng)
	return fault{
		description: "stop " + v.name,
		inject:      func(last time.Duration) { w.stop(v, last/4) },
	}
}

func stopEntriesInTurn(w *harness, rng *rand.Rand) fault {
	entries := w.entries()
	gap := time.Duration(rng.IntN(2000)) * time.Millisecond
	return fault{
		description: fmt.Sprintf("stop the entry VMs in turn, %s apart", gap),
		inject: func(last time.Duration) {
			all := sync.WaitGroup{}
			for _, v := range entries[:min(2, len(entries))] {
				all.Go(func() { w.stop(v, last/4) })
				time.Sleep(gap)
			}
			all.Wait()
		},
	}
}

func pauseOne(w *harness, rng *rand.Rand) fault {
	v := randomVM(w, rng)
	return fault{
		description: "pause " + v.name,
		inject: func(last time.Duration) {
			defer w.faultLog.record(v.affected()...)()
			v.Signal(syscall.SIGSTOP)
			time.Sleep(last)
			v.Signal(syscall.SIGCONT)
		},
	}
}

func stopAndKill(w *harness, rng *rand.Rand) fault {
	v := randomVM(w, rng)
	return fault{
		description: "stop and soon kill " + v.name,
		inject: func(last time.Duration) {
			defer w.faultLog.record(v.affected()...)()
			v.Signal(syscall.SIGTERM)
			time.Sleep(last)
			w.kill(v, last/4, nil)
		},
	}
}

// tearLog kills a control VM and leaves the beginning of a record behind what its log
// holds, as a power loss in the middle of a write does.
func tearLog(w *harness, rng *rand.Rand) fault {
	v := randomControl(w, rng)
	torn := make([]byte, 1+rng.IntN(200))
	for i := range torn {
		torn[i] = byte(rng.Uint32())
	}
	return fault{
		description: fmt.Sprintf("kill %s in the middle of a write of %d bytes", v.name, len(torn)),
		inject: func(last time.Duration) {
			w.kill(v, last/2, func() {
				logs, err := filepath.Glob(filepath.Join(v.settings.Control.DataFolder, "*-log-*"))
				if err != nil || len(logs) == 0 {
					return
				}
				file, err := os.OpenFile(logs[len(logs)-1], os.O_APPEND|os.O_WRONLY, 0o600)
				if err != nil {
					w.reportViolation("soak", "%v", err)
					return
				}
				_, _ = file.Write(torn)
				_ = file.Close()
			})
		},
	}
}

// killAndWipe kills a control VM and empties its disk. The group bears one such loss; the
// world allows it once in a run.
func killAndWipe(w *harness, rng *rand.Rand) fault {
	v := randomControl(w, rng)
	return fault{
		description: "kill and wipe " + v.name,
		inject: func(last time.Duration) {
			w.kill(v, last/2, func() {
				if w.wiped.Swap(true) {
					return
				}
				if err := os.RemoveAll(v.settings.Control.DataFolder); err != nil {
					w.reportViolation("soak", "%v", err)
				}
			})
		},
	}
}

func reload(w *harness, rng *rand.Rand) fault {
	v := randomVM(w, rng)
	return fault{
		description: "read the settings of " + v.name + " again",
		inject: func(time.Duration) {
			w.writeSettings(v)
			v.Signal(syscall.SIGHUP)
		},
	}
}

// partition cuts directions between VMs, and mends them.
func (w *harness) partition(pairs []relay.Pair, last time.Duration, places ...string) {
	defer w.faultLog.record(places...)()
	for _, pair := range pairs {
		w.network.Set(pair, relay.Faults{Cut: true})
	}
	time.Sleep(last)
	for _, pair := range pairs {
		w.network.Set(pair, relay.Faults{})
	}
}

func bothWays(a, b *vm) []relay.Pair {
	return append(oneWay(a, b), oneWay(b, a)...)
}

func oneWay(a, b *vm) []relay.Pair {
	return []relay.Pair{{
		From: a.name,
		To:   b.name,
	}}
}

func (w *harness) pairs(from, to []*vm, join func(a, b *vm) []relay.Pair) []relay.Pair {
	var pairs []relay.Pair
	for _, a := range from {
		for _, b := range to {
			if a != b {
				pairs = append(pairs, join(a, b)...)
			}
		}
	}
	return pairs
}

func isolateVM(w *harness, rng *rand.Rand) fault {
	v := randomVM(w, rng)
	return fault{
		description: "cut off " + v.name,
		inject: func(last time.Duration) {
			w.partition(w.pairs([]*vm{v}, w.vms, bothWays), last, v.affected()...)
		},
	}
}

func partitionHalves(w *harness, rng *rand.Rand) fault {
	var sides [2][]*vm
	var names []string
	for _, v := range w.vms {
		side := rng.IntN(2)
		sides[side] = append(sides[side], v)
		if side == 0 {
			names = append(names, v.name)
		}
	}
	return fault{
		description: "cut in two: " + strings.Join(names, " ") + " from the others",
		inject:      func(last time.Duration) { w.partition(w.pairs(sides[0], sides[1], bothWays), last, allVMs) },
	}
}

func dropOutgoing(w *harness, rng *rand.Rand) fault {
	v := randomVM(w, rng)
	return fault{
		description: "cut what " + v.name + " sends",
		inject: func(last time.Duration) {
			w.partition(w.pairs([]*vm{v}, w.vms, oneWay), last, v.affected()...)
		},
	}
}

func isolateEntries(w *harness, _ *rand.Rand) fault {
	return fault{
		description: "cut all entry VMs off from the control group",
		inject: func(last time.Duration) {
			w.partition(w.pairs(w.entries(), w.controls(), bothWays), last, allVMs)
		},
	}
}

func degradeNetwork(w *harness, rng *rand.Rand) fault {
	faults := relay.Faults{
		Delay:          time.Duration(rng.IntN(20)) * time.Millisecond,
		Jitter:         time.Duration(1+rng.IntN(40)) * time.Millisecond,
		LossPerMille:   20 + rng.IntN(200),
		RepeatPerMille: rng.IntN(100),
	}
	return fault{
		description: fmt.Sprintf("lose %d per mille of all packets, delayed by up to %s", faults.LossPerMille, faults.Delay+faults.Jitter),
		inject: func(last time.Duration) {
			defer w.faultLog.record(allVMs)()
			w.network.SetCommon(faults)
			time.Sleep(last)
			w.network.SetCommon(relay.Faults{})
		},
	}
}

func breakCallerConnections(w *harness, rng *rand.Rand) fault {
	entries := w.entries()
	v := entries[rng.IntN(len(entries))]
	silent := rng.IntN(2) == 0
	return fault{
		description: fmt.Sprintf("end the connections of callers to %s, silently: %v", v.name, silent),
		inject: func(last time.Duration) {
			defer w.faultLog.record(v.name)()
			if silent {
				v.callerRelay.Silence()
			} else {
				v.callerRelay.Reset()
			}
			time.Sleep(last)
		},
	}
}

// withInstance does something to the instance that is withInstance an address withInstance that moment.
func (w *harness) withInstance(index int, do func(*instance)) {
	w.instancesMu.Lock()
	in := w.instances[index]
	w.instancesMu.Unlock()
	if in != nil {
		do(in)
	}
}

func randomInstance(rng *rand.Rand) int { return rng.IntN(engineCount + plainCount) }

func silenceInstance(w *harness, rng *rand.Rand) fault {
	index := randomInstance(rng)
	return fault{
		description: fmt.Sprintf("silence the connections to %s", instanceName(index)),
		inject: func(last time.Duration) {
			defer w.faultLog.record(instanceName(index))()
			w.withInstance(index, func(in *instance) { in.relay.Silence() })
			time.Sleep(last)
		},
	}
}

func resetInstance(w *harness, rng *rand.Rand) fault {
	index := randomInstance(rng)
	return fault{
		description: fmt.Sprintf("reset the connections to %s", instanceName(index)),
		inject: func(time.Duration) {
			defer w.faultLog.record(instanceName(index))()
			w.withInstance(index, func(in *instance) { in.relay.Reset() })
			time.Sleep(time.Second)
		},
	}
}

func dropInstanceOutgoing(w *harness, rng *rand.Rand) fault {
	index := randomInstance(rng)
	return fault{
		description: fmt.Sprintf("cut what %s sends", instanceName(index)),
		inject: func(last time.Duration) {
			pair := relay.Pair{
				From: instanceName(index),
				To:   "nodes",
			}
			w.partition([]relay.Pair{pair}, last, instanceName(index))
		},
	}
}

func misbehave(w *harness, rng *rand.Rand) fault {
	index := randomInstance(rng)
	mode := 1 + rng.Int32N(behaviourCount-1)
	return fault{
		description: fmt.Sprintf("%s misbehaves in manner %d", instanceName(index), mode),
		inject: func(last time.Duration) {
			defer w.faultLog.record(instanceName(index))()
			w.withInstance(index, func(in *instance) {
				in.behaviour.Store(mode)
				time.Sleep(last)
				in.behaviour.Store(behaviourNormal)
			})
		},
	}
}

// crashInstance ends an instance without notice; the list names it for a while longer.
func crashInstance(w *harness, rng *rand.Rand) fault {
	index := randomInstance(rng)
	return fault{
		description: fmt.Sprintf("crash %s", instanceName(index)),
		inject: func(last time.Duration) {
			defer w.faultLog.record(instanceName(index))()
			w.replaceInstance(index, serviceOf(index), last, false)
		},
	}
}

// drainInstance takes an instance away as planned. Another service gets its address, and
// soon afterwards the first service gets it back.
func drainInstance(w *harness, rng *rand.Rand) fault {
	index := randomInstance(rng)
	other := plainService
	if serviceOf(index) == plainService {
		other = engineService
	}
	return fault{
		description: fmt.Sprintf("%s leaves, and its address is used again", instanceName(index)),
		inject: func(last time.Duration) {
			w.replaceInstance(index, other, last, true)
			w.replaceInstance(index, serviceOf(index), last/2, true)
		},
	}
}

// replaceInstance ends an instance and starts one of a service at its address.
func (w *harness) replaceInstance(index int, service string, down time.Duration, planned bool) {
	w.withInstance(index, func(in *instance) {
		if planned {
			in.mu.Lock()
			in.drainingSince = time.Now()
			in.mu.Unlock()
			time.Sleep(drainBound + time.Second)
		}
		in.mu.Lock()
		gone := in.stopped
		in.mu.Unlock()
		if gone {
			return
		}
		in.stop()
		if planned {
			w.instancesMu.Lock()
			w.instances[index] = nil
			w.instancesMu.Unlock()
		}
		time.Sleep(down)
		w.startInstance(service, index)
	})
}

func failInstanceList(w *harness, rng *rand.Rand) fault {
	mode := int32(1 + rng.IntN(2))
	return fault{
		description: fmt.Sprintf("the list of instances fails in manner %d", mode),
		inject: func(last time.Duration) {
			defer w.faultLog.record(allVMs)()
			w.listMode.Store(mode)
			time.Sleep(last)
			w.listMode.Store(0)
		},
	}
}
