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
	at   time.Duration
	last time.Duration
	text string
	// play does it, and undoes it after the fault's time.
	play func(last time.Duration)
}

// faultKinds are drawn from with equal chance.
var faultKinds = []func(w *world, rng *rand.Rand) fault{
	killOne, killOne, killAll, stopOne, stopInTurn, pauseOne, pauseOne, stopAndKill, tornLog, wipeOne, reload,
	cutOne, cutHalves, cutOneWay, cutEntriesOff, lose, resetCallers, silenceInstance, resetInstance, cutInstance,
	misbehave, misbehave, crashInstance, leaveInstance, leaveInstance, listFails,
}

// faults draws a run's faults.
func (w *world) faults() []fault {
	rng := w.random(1)
	var faults []fault
	for range 5 + rng.IntN(6) {
		f := faultKinds[rng.IntN(len(faultKinds))](w, rng)
		f.at = time.Second + time.Duration(rng.Int64N(int64(faultTime-3*time.Second)))
		f.last = 200*time.Millisecond + time.Duration(rng.Int64N(int64(3500*time.Millisecond)))
		faults = append(faults, f)
	}
	return faults
}

// suffer plays the faults and returns once all are over and everything is mended.
func (w *world) suffer(faults []fault) {
	all := sync.WaitGroup{}
	for _, f := range faults {
		w.t.Logf("seed %d: at %s for %s: %s", w.seed, f.at.Round(time.Millisecond), f.last.Round(time.Millisecond), f.text)
		all.Go(func() {
			time.Sleep(f.at)
			f.play(f.last)
		})
	}
	all.Wait()
	time.Sleep(max(0, faultTime-w.now()))
	w.network.ClearFaults()
	w.network.SetDefaultFaults(relay.Faults{})
	for _, v := range w.vms {
		v.Signal(syscall.SIGCONT)
		w.start(v)
	}
}

func oneVM(w *world, rng *rand.Rand) *vm { return w.vms[rng.IntN(len(w.vms))] }

func oneControl(w *world, rng *rand.Rand) *vm {
	controls := w.controls()
	return controls[rng.IntN(len(controls))]
}

// places are what a fault of a VM touches.
func (v *vm) places() []string {
	if v.control() {
		return []string{v.name, core}
	}
	return []string{v.name}
}

// kill kills a VM's process and starts it again after a while.
func (w *world) kill(v *vm, down time.Duration, before func()) {
	defer w.calm.begin(v.places()...)()
	v.Signal(syscall.SIGCONT)
	v.Stop(syscall.SIGKILL, stopBound)
	if before != nil {
		before()
	}
	time.Sleep(down)
	w.start(v)
	time.Sleep(time.Second)
}

func killOne(w *world, rng *rand.Rand) fault {
	v := oneVM(w, rng)
	return fault{
		text: "kill " + v.name,
		play: func(last time.Duration) { w.kill(v, last, nil) },
	}
}

func killAll(w *world, _ *rand.Rand) fault {
	return fault{
		text: "kill all",
		play: func(last time.Duration) {
			defer w.calm.begin(everywhere)()
			all := sync.WaitGroup{}
			for _, v := range w.vms {
				all.Go(func() { w.kill(v, last/2, nil) })
			}
			all.Wait()
		},
	}
}

// stop stops a VM's process as planned and starts it again.
func (w *world) stop(v *vm, down time.Duration) {
	began := time.Now()
	v.Signal(syscall.SIGCONT)
	if v.control() {
		defer w.calm.begin(core)()
	}
	if !v.Running() {
		return
	}
	code, inTime := v.Stop(syscall.SIGTERM, stopBound)
	calm := w.calm.between(v.name, began.Add(-calmBefore), time.Now())
	if calm && (!inTime || code != 0) {
		w.violate("planned stops", "%s ended with code %d, in time: %v", v.name, code, inTime)
	}
	if !inTime {
		defer w.calm.begin(v.name)()
	}
	time.Sleep(down)
	w.start(v)
}

func stopOne(w *world, rng *rand.Rand) fault {
	v := oneVM(w, rng)
	return fault{
		text: "stop " + v.name,
		play: func(last time.Duration) { w.stop(v, last/4) },
	}
}

func stopInTurn(w *world, rng *rand.Rand) fault {
	entries := w.entries()
	gap := time.Duration(rng.IntN(2000)) * time.Millisecond
	return fault{
		text: fmt.Sprintf("stop the entry VMs in turn, %s apart", gap),
		play: func(last time.Duration) {
			all := sync.WaitGroup{}
			for _, v := range entries[:min(2, len(entries))] {
				all.Go(func() { w.stop(v, last/4) })
				time.Sleep(gap)
			}
			all.Wait()
		},
	}
}

func pauseOne(w *world, rng *rand.Rand) fault {
	v := oneVM(w, rng)
	return fault{
		text: "pause " + v.name,
		play: func(last time.Duration) {
			defer w.calm.begin(v.places()...)()
			v.Signal(syscall.SIGSTOP)
			time.Sleep(last)
			v.Signal(syscall.SIGCONT)
		},
	}
}

func stopAndKill(w *world, rng *rand.Rand) fault {
	v := oneVM(w, rng)
	return fault{
		text: "stop and soon kill " + v.name,
		play: func(last time.Duration) {
			defer w.calm.begin(v.places()...)()
			v.Signal(syscall.SIGTERM)
			time.Sleep(last)
			w.kill(v, last/4, nil)
		},
	}
}

// tornLog kills a control VM and leaves the beginning of a record behind what its log
// holds, as a power loss in the middle of a write does.
func tornLog(w *world, rng *rand.Rand) fault {
	v := oneControl(w, rng)
	torn := make([]byte, 1+rng.IntN(200))
	for i := range torn {
		torn[i] = byte(rng.Uint32())
	}
	return fault{
		text: fmt.Sprintf("kill %s in the middle of a write of %d bytes", v.name, len(torn)),
		play: func(last time.Duration) {
			w.kill(v, last/2, func() {
				logs, err := filepath.Glob(filepath.Join(v.settings.Control.DataFolder, "*-log-*"))
				if err != nil || len(logs) == 0 {
					return
				}
				file, err := os.OpenFile(logs[len(logs)-1], os.O_APPEND|os.O_WRONLY, 0o600)
				if err != nil {
					w.violate("soak", "%v", err)
					return
				}
				_, _ = file.Write(torn)
				_ = file.Close()
			})
		},
	}
}

// wipeOne kills a control VM and empties its disk. The group bears one such loss; the
// world allows it once in a run.
func wipeOne(w *world, rng *rand.Rand) fault {
	v := oneControl(w, rng)
	return fault{
		text: "kill and wipe " + v.name,
		play: func(last time.Duration) {
			w.kill(v, last/2, func() {
				if w.wiped.Swap(true) {
					return
				}
				if err := os.RemoveAll(v.settings.Control.DataFolder); err != nil {
					w.violate("soak", "%v", err)
				}
			})
		},
	}
}

func reload(w *world, rng *rand.Rand) fault {
	v := oneVM(w, rng)
	return fault{
		text: "read the settings of " + v.name + " again",
		play: func(time.Duration) {
			w.writeSettings(v)
			v.Signal(syscall.SIGHUP)
		},
	}
}

// cut cuts directions between VMs, and mends them.
func (w *world) cut(pairs []relay.Pair, last time.Duration, places ...string) {
	defer w.calm.begin(places...)()
	for _, pair := range pairs {
		w.network.SetFaults(pair, relay.Faults{Cut: true})
	}
	time.Sleep(last)
	for _, pair := range pairs {
		w.network.SetFaults(pair, relay.Faults{})
	}
}

func both(a, b *vm) []relay.Pair {
	return append(oneWay(a, b), oneWay(b, a)...)
}

func oneWay(a, b *vm) []relay.Pair {
	return []relay.Pair{{
		From: a.name,
		To:   b.name,
	}}
}

func (w *world) pairs(from, to []*vm, join func(a, b *vm) []relay.Pair) []relay.Pair {
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

func cutOne(w *world, rng *rand.Rand) fault {
	v := oneVM(w, rng)
	return fault{
		text: "cut off " + v.name,
		play: func(last time.Duration) {
			w.cut(w.pairs([]*vm{v}, w.vms, both), last, v.places()...)
		},
	}
}

func cutHalves(w *world, rng *rand.Rand) fault {
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
		text: "cut in two: " + strings.Join(names, " ") + " from the others",
		play: func(last time.Duration) { w.cut(w.pairs(sides[0], sides[1], both), last, everywhere) },
	}
}

func cutOneWay(w *world, rng *rand.Rand) fault {
	v := oneVM(w, rng)
	return fault{
		text: "cut what " + v.name + " sends",
		play: func(last time.Duration) {
			w.cut(w.pairs([]*vm{v}, w.vms, oneWay), last, v.places()...)
		},
	}
}

func cutEntriesOff(w *world, _ *rand.Rand) fault {
	return fault{
		text: "cut all entry VMs off from the control group",
		play: func(last time.Duration) {
			w.cut(w.pairs(w.entries(), w.controls(), both), last, everywhere)
		},
	}
}

func lose(w *world, rng *rand.Rand) fault {
	faults := relay.Faults{
		Delay:             time.Duration(rng.IntN(20)) * time.Millisecond,
		Jitter:            time.Duration(1+rng.IntN(40)) * time.Millisecond,
		LossPerMille:      20 + rng.IntN(200),
		DuplicatePerMille: rng.IntN(100),
	}
	return fault{
		text: fmt.Sprintf("lose %d per mille of all packets, delayed by up to %s", faults.LossPerMille, faults.Delay+faults.Jitter),
		play: func(last time.Duration) {
			defer w.calm.begin(everywhere)()
			w.network.SetDefaultFaults(faults)
			time.Sleep(last)
			w.network.SetDefaultFaults(relay.Faults{})
		},
	}
}

func resetCallers(w *world, rng *rand.Rand) fault {
	entries := w.entries()
	v := entries[rng.IntN(len(entries))]
	silent := rng.IntN(2) == 0
	return fault{
		text: fmt.Sprintf("end the connections of callers to %s, silently: %v", v.name, silent),
		play: func(last time.Duration) {
			defer w.calm.begin(v.name)()
			if silent {
				v.callers.Silence()
			} else {
				v.callers.Reset()
			}
			time.Sleep(last)
		},
	}
}

// at does something to the instance that is at an address at that moment.
func (w *world) at(index int, do func(*instance)) {
	w.instancesMu.Lock()
	in := w.instances[index]
	w.instancesMu.Unlock()
	if in != nil {
		do(in)
	}
}

func oneInstance(rng *rand.Rand) int { return rng.IntN(engineCount + plainCount) }

func silenceInstance(w *world, rng *rand.Rand) fault {
	index := oneInstance(rng)
	return fault{
		text: fmt.Sprintf("silence the connections to %s", instancePlace(index)),
		play: func(last time.Duration) {
			defer w.calm.begin(instancePlace(index))()
			w.at(index, func(in *instance) { in.relay.Silence() })
			time.Sleep(last)
		},
	}
}

func resetInstance(w *world, rng *rand.Rand) fault {
	index := oneInstance(rng)
	return fault{
		text: fmt.Sprintf("reset the connections to %s", instancePlace(index)),
		play: func(time.Duration) {
			defer w.calm.begin(instancePlace(index))()
			w.at(index, func(in *instance) { in.relay.Reset() })
			time.Sleep(time.Second)
		},
	}
}

func cutInstance(w *world, rng *rand.Rand) fault {
	index := oneInstance(rng)
	return fault{
		text: fmt.Sprintf("cut what %s sends", instancePlace(index)),
		play: func(last time.Duration) {
			pair := relay.Pair{
				From: instancePlace(index),
				To:   "nodes",
			}
			w.cut([]relay.Pair{pair}, last, instancePlace(index))
		},
	}
}

func misbehave(w *world, rng *rand.Rand) fault {
	index := oneInstance(rng)
	mode := 1 + rng.Int32N(behaviours-1)
	return fault{
		text: fmt.Sprintf("%s misbehaves in manner %d", instancePlace(index), mode),
		play: func(last time.Duration) {
			defer w.calm.begin(instancePlace(index))()
			w.at(index, func(in *instance) {
				in.behave.Store(mode)
				time.Sleep(last)
				in.behave.Store(behaveWell)
			})
		},
	}
}

// crashInstance ends an instance without notice; the list names it for a while longer.
func crashInstance(w *world, rng *rand.Rand) fault {
	index := oneInstance(rng)
	return fault{
		text: fmt.Sprintf("crash %s", instancePlace(index)),
		play: func(last time.Duration) {
			defer w.calm.begin(instancePlace(index))()
			w.replace(index, serviceOf(index), last, false)
		},
	}
}

// leaveInstance takes an instance away as planned. Another service gets its address, and
// soon afterwards the first service gets it back.
func leaveInstance(w *world, rng *rand.Rand) fault {
	index := oneInstance(rng)
	other := plainService
	if serviceOf(index) == plainService {
		other = engineService
	}
	return fault{
		text: fmt.Sprintf("%s leaves, and its address is used again", instancePlace(index)),
		play: func(last time.Duration) {
			w.replace(index, other, last, true)
			w.replace(index, serviceOf(index), last/2, true)
		},
	}
}

// replace ends an instance and starts one of a service at its address.
func (w *world) replace(index int, service string, down time.Duration, planned bool) {
	w.at(index, func(in *instance) {
		if planned {
			in.mu.Lock()
			in.leaving = time.Now()
			in.mu.Unlock()
			time.Sleep(drainBound + time.Second)
		}
		in.mu.Lock()
		gone := in.gone
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

func listFails(w *world, rng *rand.Rand) fault {
	mode := int32(1 + rng.IntN(2))
	return fault{
		text: fmt.Sprintf("the list of instances fails in manner %d", mode),
		play: func(last time.Duration) {
			defer w.calm.begin(everywhere)()
			w.listMode.Store(mode)
			time.Sleep(last)
			w.listMode.Store(0)
		},
	}
}
