package soak

import (
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// builds are the programs of the two revisions of a rolling replacement. Half of the seeds go from the
// old one to the new one, the others take a new one back; some go there and back.
type builds struct {
	from, to string
	andBack  bool
	rng      *rand.Rand
}

// drawBuilds returns the builds of a run, nil if only one build runs.
func (h *harness) drawBuilds() *builds {
	old := os.Getenv(oldVariable)
	if old == "" {
		return nil
	}
	b := &builds{
		from: old,
		to:   binary,
		rng:  h.random(7),
	}
	if b.rng.IntN(2) == 0 {
		b.from, b.to = b.to, b.from
	}
	b.andBack = b.rng.IntN(2) == 0
	return b
}

// chooseBuilds sets the program with which all VMs begin.
func (h *harness) chooseBuilds() {
	h.builds = h.drawBuilds()
	if h.builds == nil {
		return
	}
	h.t.Logf("seed %d: VMs are replaced from %s to %s, and back: %t", h.seed, h.builds.from, h.builds.to, h.builds.andBack)
	for _, v := range h.vms {
		v.SetBinary(h.builds.from)
	}
}

// replaceBuilds replaces the VMs one after the other during the faults, and goes back the same way in
// some runs. One in three is killed instead of stopped.
func (h *harness) replaceBuilds() {
	b := h.builds
	if b == nil {
		return
	}
	rounds := []string{b.to}
	if b.andBack {
		rounds = append(rounds, b.from)
	}
	gap := faultPhase / time.Duration(len(h.vms)*len(rounds)+1)
	all := sync.WaitGroup{}
	defer all.Wait()
	for _, program := range rounds {
		for _, i := range b.rng.Perm(len(h.vms)) {
			v, killed := h.vms[i], b.rng.IntN(3) == 0
			all.Go(func() { h.replaceBuild(v, program, killed) })
			time.Sleep(gap)
		}
	}
}

// replaceBuild ends a VM's process and starts another program in its place.
func (h *harness) replaceBuild(v *vm, program string, killed bool) {
	h.t.Logf("seed %d: at %s replace %s by %s, killed: %t", h.seed, h.elapsed(), v.name, program, killed)
	if killed {
		h.kill(v, 0, func() { v.SetBinary(program) })
		return
	}
	v.SetBinary(program)
	h.stop(v, 0)
}
