package control

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/commitlog"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/loopback"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

// vm is one control VM on a loopback port.
type vm struct {
	t        *testing.T
	name     fleet.NodeID
	address  netip.AddrPort
	disk     string
	seeds    []netip.AddrPort
	endpoint *wire.Endpoint
	replica  *Replica
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := loopback.Free("udp")
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// start starts the VM's process. First says that the whole fleet starts for the first
// time.
func (v *vm) start(first bool) {
	v.t.Helper()
	folder, err := commitlog.OpenFolder(v.disk)
	if err != nil {
		v.t.Fatal(err)
	}
	endpoint, err := wire.New(wire.Config{
		Node:   v.name,
		Listen: v.address,
		Secret: "a secret of the tests",
	})
	if err != nil {
		v.t.Fatal(err)
	}
	replica, err := NewReplica(Config{
		Node:        v.name,
		Seeds:       v.seeds,
		MaxFailures: 1,
		Bootstrap:   first,
		Disk:        folder,
		Endpoint:    endpoint,
		Log:         event.New(io.Discard, string(v.name)),
	})
	if err != nil {
		v.t.Fatal(err)
	}
	endpoint.Start()
	v.endpoint, v.replica = endpoint, replica
	v.t.Cleanup(func() {
		v.stop()
		_ = folder.Close()
	})
}

func (v *vm) stop() {
	if v.replica != nil {
		v.replica.Close()
		v.endpoint.Close()
		v.replica = nil
	}
}

// voters returns the voters that a VM's replica knows, or 0 if it is not open.
func (v *vm) voters() int {
	n := 0
	v.replica.do(func() {
		if v.replica.open() {
			n = v.replica.core.Members().Voters()
		}
	})
	return n
}

func eventually(t *testing.T, what string, limit time.Duration, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("after %v: %s does not hold", limit, what)
		}
	}
}

// configure hands a configuration to whichever VM leads.
func configure(t *testing.T, vms []*vm, version routing.Version) {
	t.Helper()
	eventually(t, fmt.Sprintf("configuration %d is committed", version), 10*time.Second, func() bool {
		for _, v := range vms {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			answer := v.replica.Submit(ctx, Command{Configure: &Configuration{Config: routing.Config{Version: version}}})
			cancel()
			if answer.Status == SubmitDone {
				return answer.Result.Configured == version
			}
		}
		return false
	})
}

// newest reads the configuration back from whichever VM holds the leader's lease.
func newest(vms []*vm) routing.Version {
	for _, v := range vms {
		if answer := v.replica.Query(Query{Routing: true}); answer.Status == SubmitDone {
			return answer.Version
		}
	}
	return 0
}

func newFleet(t *testing.T, n int) []*vm {
	var vms []*vm
	for i := range n {
		vms = append(vms, &vm{
			t:       t,
			name:    fleet.NodeID(fmt.Sprintf("c%d", i)),
			address: freeAddress(t),
			disk:    t.TempDir(),
		})
	}
	seeds := []netip.AddrPort{vms[0].address, vms[1].address, vms[2].address}
	for _, v := range vms {
		v.seeds = seeds
	}
	return vms
}

// TestGroupFormsItselfAndRepairsItself starts five VMs in a random order, wipes one
// and replaces another by one at a new address.
func TestGroupFormsItselfAndRepairsItself(t *testing.T) {
	t.Parallel()
	vms := newFleet(t, 5)
	for _, i := range rand.Perm(len(vms)) {
		vms[i].start(true)
		time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
	}
	fiveVoters := func() bool {
		for _, v := range vms {
			if v.voters() != 5 {
				return false
			}
		}
		return true
	}
	eventually(t, "five voters", 15*time.Second, fiveVoters)
	configure(t, vms, 3)

	wiped := vms[rand.IntN(len(vms))]
	wiped.stop()
	wiped.disk = t.TempDir()
	wiped.start(false)
	eventually(t, "five voters after a wiped disk", 15*time.Second, fiveVoters)
	eventually(t, "the configuration is read back", 5*time.Second, func() bool { return newest(vms) == 3 })

	gone := rand.IntN(len(vms))
	vms[gone].stop()
	vms[gone] = &vm{
		t:       t,
		name:    "c9",
		address: freeAddress(t),
		disk:    t.TempDir(),
		seeds:   vms[gone].seeds,
	}
	vms[gone].start(false)
	configure(t, vms, 5)
	eventually(t, "five voters after a replaced VM", silentVoter+15*time.Second, fiveVoters)
	eventually(t, "the configuration is read back", 5*time.Second, func() bool { return newest(vms) == 5 })
}

// TestHalfOfAGroupFormsNoOther starts the VMs that hold no founder's state with empty
// disks and lets them wait: nothing forms without the first start.
func TestHalfOfAGroupFormsNoOther(t *testing.T) {
	t.Parallel()
	vms := newFleet(t, 3)
	for _, v := range vms {
		v.start(false)
	}
	time.Sleep(4 * ElectionTimeout)
	for _, v := range vms {
		if got := v.voters(); got != 0 {
			t.Errorf("%s: got %d voters, want no group", v.name, got)
		}
	}
}

// TestFounderWaitsForTheOtherSeeds starts the founder alone: a seed that cannot be
// heard may hold a group.
func TestFounderWaitsForTheOtherSeeds(t *testing.T) {
	t.Parallel()
	vms := newFleet(t, 3)
	founder := vms[0]
	for _, v := range vms {
		if v.address.Compare(founder.address) < 0 {
			founder = v
		}
	}
	founder.start(true)
	time.Sleep(2 * ElectionTimeout)
	formed := true
	founder.replica.do(func() { formed = founder.replica.formed() })
	if formed {
		t.Error("the founder formed a group without the other seeds' word, want it to wait")
	}
}
