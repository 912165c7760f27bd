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

	"github.com/waxwingreel/waxwingreel/faultproxy"
)

// fault is one fault of a run, with its start since the run began and its duration.
type fault struct {
	start       time.Duration
	duration    time.Duration
	description string
	// inject injects the fault and removes it after its duration.
	inject func(duration time.Duration)
}

// faultKinds are drawn from with equal probability. Some appear twice, to be twice as likely.
var faultKinds = []func(h *harness, rng *rand.Rand) fault{
	killOne, killOne, killAll, stopOne, stopEntriesInTurn, pauseOne, pauseOne, stopAndKill, tearLog, killAndWipe, reload,
	isolateVM, partitionHalves, dropOutgoing, isolateEntries, degradeNetwork, breakCallerConnections, blackholeInstance, resetInstance, dropInstanceOutgoing,
	misbehave, misbehave, crashInstance, drainInstance, drainInstance, failInstanceList,
}

// drawFaults draws the faults of a run.
func (h *harness) drawFaults() []fault {
	rng := h.random(1)
	var faults []fault
	for range 5 + rng.IntN(6) {
		f := faultKinds[rng.IntN(len(faultKinds))](h, rng)
		f.start = time.Second + time.Duration(rng.Int64N(int64(faultPhase-3*time.Second)))
		f.duration = 200*time.Millisecond + time.Duration(rng.Int64N(int64(3500*time.Millisecond)))
		faults = append(faults, f)
	}
	return faults
}

// injectFaults injects the faults and returns once all have ended, the network has no faults
// and all processes are running.
func (h *harness) injectFaults(faults []fault) {
	all := sync.WaitGroup{}
	for _, f := range faults {
		h.t.Logf("seed %d: at %s for %s: %s", h.seed, f.start.Round(time.Millisecond), f.duration.Round(time.Millisecond), f.description)
		all.Go(func() {
			time.Sleep(f.start)
			f.inject(f.duration)
		})
	}
	all.Wait()
	time.Sleep(max(0, faultPhase-h.elapsed()))
	h.network.ClearFaults()
	h.network.SetDefaultFaults(faultproxy.Faults{})
	for _, v := range h.vms {
		v.Signal(syscall.SIGCONT)
		h.start(v)
	}
}

func randomVM(h *harness, rng *rand.Rand) *vm { return h.vms[rng.IntN(len(h.vms))] }

func randomControl(h *harness, rng *rand.Rand) *vm {
	controls := h.controls()
	return controls[rng.IntN(len(controls))]
}

// affected returns the locations that a fault of the VM affects.
func (v *vm) affected() []string {
	if v.runsControl() {
		return []string{v.name, controlGroup}
	}
	return []string{v.name}
}

// kill kills a VM's process and restarts it after a duration. beforeRestart may be nil.
func (h *harness) kill(v *vm, down time.Duration, beforeRestart func()) {
	defer h.faultLog.record(v.affected()...)()
	v.Signal(syscall.SIGCONT)
	v.Stop(syscall.SIGKILL, stopBound)
	if beforeRestart != nil {
		beforeRestart()
	}
	time.Sleep(down)
	h.start(v)
	time.Sleep(time.Second)
}

func killOne(h *harness, rng *rand.Rand) fault {
	v := randomVM(h, rng)
	return fault{
		description: "kill " + v.name,
		inject:      func(duration time.Duration) { h.kill(v, duration, nil) },
	}
}

func killAll(h *harness, _ *rand.Rand) fault {
	return fault{
		description: "kill all VMs",
		inject: func(duration time.Duration) {
			defer h.faultLog.record(allVMs)()
			all := sync.WaitGroup{}
			for _, v := range h.vms {
				all.Go(func() { h.kill(v, duration/2, nil) })
			}
			all.Wait()
		},
	}
}

// stop stops a VM's process as planned and starts it again.
func (h *harness) stop(v *vm, down time.Duration) {
	started := time.Now()
	v.Signal(syscall.SIGCONT)
	if v.runsControl() {
		defer h.faultLog.record(controlGroup)()
	}
	if !v.Running() {
		return
	}
	code, inTime := v.Stop(syscall.SIGTERM, stopBound)
	faultFree := h.faultLog.faultFree(v.name, started.Add(-settleTime), time.Now())
	if faultFree && (!inTime || code != 0) {
		h.reportViolation("planned stops", "%s exited with code %d, in time: %v", v.name, code, inTime)
	}
	if !inTime {
		defer h.faultLog.record(v.name)()
	}
	time.Sleep(down)
	h.start(v)
}

func stopOne(h *harness, rng *rand.Rand) fault {
	v := randomVM(h, rng)
	return fault{
		description: "stop " + v.name,
		inject:      func(duration time.Duration) { h.stop(v, duration/4) },
	}
}

func stopEntriesInTurn(h *harness, rng *rand.Rand) fault {
	entries := h.entries()
	gap := time.Duration(rng.IntN(2000)) * time.Millisecond
	return fault{
		description: fmt.Sprintf("stop the entry VMs in turn, %s apart", gap),
		inject: func(duration time.Duration) {
			all := sync.WaitGroup{}
			for _, v := range entries[:min(2, len(entries))] {
				all.Go(func() { h.stop(v, duration/4) })
				time.Sleep(gap)
			}
			all.Wait()
		},
	}
}

func pauseOne(h *harness, rng *rand.Rand) fault {
	v := randomVM(h, rng)
	return fault{
		description: "pause " + v.name,
		inject: func(duration time.Duration) {
			defer h.faultLog.record(v.affected()...)()
			v.Signal(syscall.SIGSTOP)
			time.Sleep(duration)
			v.Signal(syscall.SIGCONT)
		},
	}
}

func stopAndKill(h *harness, rng *rand.Rand) fault {
	v := randomVM(h, rng)
	return fault{
		description: "stop and shortly afterwards kill " + v.name,
		inject: func(duration time.Duration) {
			defer h.faultLog.record(v.affected()...)()
			v.Signal(syscall.SIGTERM)
			time.Sleep(duration)
			h.kill(v, duration/4, nil)
		},
	}
}

// tearLog kills a control VM and appends random bytes to its log as an incomplete record, as
// a power loss during a write does.
func tearLog(h *harness, rng *rand.Rand) fault {
	v := randomControl(h, rng)
	torn := make([]byte, 1+rng.IntN(200))
	for i := range torn {
		torn[i] = byte(rng.Uint32())
	}
	return fault{
		description: fmt.Sprintf("kill %s during a write of %d bytes", v.name, len(torn)),
		inject: func(duration time.Duration) {
			h.kill(v, duration/2, func() {
				logs, err := filepath.Glob(filepath.Join(v.settings.Control.DataFolder, "*-log-*"))
				if err != nil || len(logs) == 0 {
					return
				}
				file, err := os.OpenFile(logs[len(logs)-1], os.O_APPEND|os.O_WRONLY, 0o600)
				if err != nil {
					h.reportViolation("soak", "cannot open the log to append an incomplete record: %v", err)
					return
				}
				_, _ = file.Write(torn)
				_ = file.Close()
			})
		},
	}
}

// killAndWipe kills a control VM and deletes its data folder. The control group survives one
// such loss, so it happens at most once in a run.
func killAndWipe(h *harness, rng *rand.Rand) fault {
	v := randomControl(h, rng)
	return fault{
		description: "kill and wipe " + v.name,
		inject: func(duration time.Duration) {
			h.kill(v, duration/2, func() {
				if h.wiped.Swap(true) {
					return
				}
				if err := os.RemoveAll(v.settings.Control.DataFolder); err != nil {
					h.reportViolation("soak", "cannot delete the data folder: %v", err)
				}
			})
		},
	}
}

func reload(h *harness, rng *rand.Rand) fault {
	v := randomVM(h, rng)
	return fault{
		description: "reload " + v.name + "'s settings from disk",
		inject: func(time.Duration) {
			h.writeSettings(v)
			v.Signal(syscall.SIGHUP)
		},
	}
}

// partition drops the traffic in some directions for a duration.
func (h *harness) partition(directions []faultproxy.Direction, duration time.Duration, locations ...string) {
	defer h.faultLog.record(locations...)()
	for _, direction := range directions {
		h.network.SetFaults(direction, faultproxy.Faults{Cut: true})
	}
	time.Sleep(duration)
	for _, direction := range directions {
		h.network.SetFaults(direction, faultproxy.Faults{})
	}
}

func bothWays(a, b *vm) []faultproxy.Direction {
	return append(oneWay(a, b), oneWay(b, a)...)
}

func oneWay(a, b *vm) []faultproxy.Direction {
	return []faultproxy.Direction{{
		From: a.name,
		To:   b.name,
	}}
}

// directions returns the directions between all VMs of two sets, as between returns them for
// two VMs.
func (h *harness) directions(from, to []*vm, between func(a, b *vm) []faultproxy.Direction) []faultproxy.Direction {
	var directions []faultproxy.Direction
	for _, a := range from {
		for _, b := range to {
			if a != b {
				directions = append(directions, between(a, b)...)
			}
		}
	}
	return directions
}

func isolateVM(h *harness, rng *rand.Rand) fault {
	v := randomVM(h, rng)
	return fault{
		description: "isolate " + v.name,
		inject: func(duration time.Duration) {
			h.partition(h.directions([]*vm{v}, h.vms, bothWays), duration, v.affected()...)
		},
	}
}

func partitionHalves(h *harness, rng *rand.Rand) fault {
	var sides [2][]*vm
	var names []string
	for _, v := range h.vms {
		side := rng.IntN(2)
		sides[side] = append(sides[side], v)
		if side == 0 {
			names = append(names, v.name)
		}
	}
	return fault{
		description: "partition " + strings.Join(names, " ") + " from the others",
		inject: func(duration time.Duration) {
			h.partition(h.directions(sides[0], sides[1], bothWays), duration, allVMs)
		},
	}
}

func dropOutgoing(h *harness, rng *rand.Rand) fault {
	v := randomVM(h, rng)
	return fault{
		description: "drop what " + v.name + " sends",
		inject: func(duration time.Duration) {
			h.partition(h.directions([]*vm{v}, h.vms, oneWay), duration, v.affected()...)
		},
	}
}

func isolateEntries(h *harness, _ *rand.Rand) fault {
	return fault{
		description: "partition all entry VMs from the control group",
		inject: func(duration time.Duration) {
			h.partition(h.directions(h.entries(), h.controls(), bothWays), duration, allVMs)
		},
	}
}

func degradeNetwork(h *harness, rng *rand.Rand) fault {
	faults := faultproxy.Faults{
		Delay:             time.Duration(rng.IntN(20)) * time.Millisecond,
		Jitter:            time.Duration(1+rng.IntN(40)) * time.Millisecond,
		LossPerMille:      20 + rng.IntN(200),
		DuplicatePerMille: rng.IntN(100),
	}
	return fault{
		description: fmt.Sprintf("lose %d per mille of all packets, delayed by up to %s", faults.LossPerMille, faults.Delay+faults.Jitter),
		inject: func(duration time.Duration) {
			defer h.faultLog.record(allVMs)()
			h.network.SetDefaultFaults(faults)
			time.Sleep(duration)
			h.network.SetDefaultFaults(faultproxy.Faults{})
		},
	}
}

func breakCallerConnections(h *harness, rng *rand.Rand) fault {
	entries := h.entries()
	v := entries[rng.IntN(len(entries))]
	blackhole := rng.IntN(2) == 0
	return fault{
		description: fmt.Sprintf("break the connections of callers to %s, blackholed rather than reset: %v", v.name, blackhole),
		inject: func(duration time.Duration) {
			defer h.faultLog.record(v.name)()
			if blackhole {
				v.callerProxy.Blackhole()
			} else {
				v.callerProxy.Reset()
			}
			time.Sleep(duration)
		},
	}
}

// withInstance calls a function with the instance that currently has an address, if there is
// one.
func (h *harness) withInstance(index int, do func(*instance)) {
	h.instancesMu.Lock()
	in := h.instances[index]
	h.instancesMu.Unlock()
	if in != nil {
		do(in)
	}
}

func randomInstance(rng *rand.Rand) int { return rng.IntN(engineCount + plainCount) }

func blackholeInstance(h *harness, rng *rand.Rand) fault {
	index := randomInstance(rng)
	return fault{
		description: fmt.Sprintf("blackhole the connections to %s", instanceName(index)),
		inject: func(duration time.Duration) {
			defer h.faultLog.record(instanceName(index))()
			h.withInstance(index, func(in *instance) { in.proxy.Blackhole() })
			time.Sleep(duration)
		},
	}
}

func resetInstance(h *harness, rng *rand.Rand) fault {
	index := randomInstance(rng)
	return fault{
		description: fmt.Sprintf("reset the connections to %s", instanceName(index)),
		inject: func(time.Duration) {
			defer h.faultLog.record(instanceName(index))()
			h.withInstance(index, func(in *instance) { in.proxy.Reset() })
			time.Sleep(time.Second)
		},
	}
}

func dropInstanceOutgoing(h *harness, rng *rand.Rand) fault {
	index := randomInstance(rng)
	return fault{
		description: fmt.Sprintf("drop what %s sends", instanceName(index)),
		inject: func(duration time.Duration) {
			direction := faultproxy.Direction{
				From: instanceName(index),
				To:   "nodes",
			}
			h.partition([]faultproxy.Direction{direction}, duration, instanceName(index))
		},
	}
}

func misbehave(h *harness, rng *rand.Rand) fault {
	index := randomInstance(rng)
	mode := 1 + rng.Int32N(behaviourCount-1)
	return fault{
		description: fmt.Sprintf("%s misbehaves with behaviour %d", instanceName(index), mode),
		inject: func(duration time.Duration) {
			defer h.faultLog.record(instanceName(index))()
			h.withInstance(index, func(in *instance) {
				in.behaviour.Store(mode)
				time.Sleep(duration)
				in.behaviour.Store(behaviourNormal)
			})
		},
	}
}

// crashInstance ends an instance without notice. The instance list still contains it until it
// is replaced.
func crashInstance(h *harness, rng *rand.Rand) fault {
	index := randomInstance(rng)
	return fault{
		description: fmt.Sprintf("crash %s", instanceName(index)),
		inject: func(duration time.Duration) {
			defer h.faultLog.record(instanceName(index))()
			h.replaceInstance(index, serviceOf(index), duration, false)
		},
	}
}

// drainInstance drains and ends an instance as planned. An instance of another service gets
// its address, and soon afterwards one of the first service gets it back.
func drainInstance(h *harness, rng *rand.Rand) fault {
	index := randomInstance(rng)
	other := plainService
	if serviceOf(index) == plainService {
		other = engineService
	}
	return fault{
		description: fmt.Sprintf("drain %s and reuse its address", instanceName(index)),
		inject: func(duration time.Duration) {
			h.replaceInstance(index, other, duration, true)
			h.replaceInstance(index, serviceOf(index), duration/2, true)
		},
	}
}

// replaceInstance ends the instance at an address and starts one of a service there. If
// planned, the old instance is drained first and leaves the instance list when it ends.
func (h *harness) replaceInstance(index int, service string, down time.Duration, planned bool) {
	h.withInstance(index, func(in *instance) {
		if planned {
			in.mu.Lock()
			in.drainingSince = time.Now()
			in.mu.Unlock()
			time.Sleep(drainBound + time.Second)
		}
		in.mu.Lock()
		stopped := in.stopped
		in.mu.Unlock()
		if stopped {
			return
		}
		in.stop()
		if planned {
			h.instancesMu.Lock()
			h.instances[index] = nil
			h.instancesMu.Unlock()
		}
		time.Sleep(down)
		h.startInstance(service, index)
	})
}

func failInstanceList(h *harness, rng *rand.Rand) fault {
	mode := int32(1 + rng.IntN(2))
	return fault{
		description: fmt.Sprintf("the instance list fails in mode %d", mode),
		inject: func(duration time.Duration) {
			defer h.faultLog.record(allVMs)()
			h.listMode.Store(mode)
			time.Sleep(duration)
			h.listMode.Store(0)
		},
	}
}
