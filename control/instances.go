package control

import (
	"slices"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/origin"
	"github.com/waxwingreel/waxwingreel/routing"
)

// instancesSince returns the latest instance list and its number if it is newer than the
// list with the given number.
func (r *Replica) instancesSince(number uint64, now time.Duration) (*InstanceList, uint64) {
	if r.instancesNumber == number || r.instancesNumber == 0 {
		return nil, number
	}
	list := r.instances
	list.AgeMillis = (now - r.instancesAt).Milliseconds()
	list.ProvenMillis = r.versions.ProvenMillis(now)
	if number >= r.instancesChanged {
		list.Unchanged = true
		list.Instances = nil
		list.Versions = nil
		return &list, r.instancesNumber
	}
	versions := r.versions.Report(now)
	list.Versions = &versions
	return &list, r.instancesNumber
}

// SetInstances is SetInstancesRead for a list that was read just now.
func (r *Replica) SetInstances(instances []routing.Instance) {
	r.SetInstancesRead(instances, clock.SinceBoot())
}

// SetInstancesRead passes an instance list that this node has read, beginning at the given time since
// boot, to the other replicas and to the subscribers.
func (r *Replica) SetInstancesRead(instances []routing.Instance, readAt time.Duration) {
	r.do(func() {
		versions := r.versions.Report(clock.SinceBoot())
		list := InstanceList{
			Reader:    r.cfg.Node,
			Number:    r.instancesNumber + 1,
			Instances: instances,
			Versions:  &versions,
		}
		r.applyInstances(list)
		r.versions.Prove(readAt)
		list.ProvenMillis = r.versions.ProvenMillis(clock.SinceBoot())
		for _, a := range r.peers {
			list.Echo = r.core.StampFrom(a.Replica)
			r.cfg.Endpoint.Send(a.Address, MethodInstances, list)
		}
	})
}

// receiveInstances applies an instance list that another replica has read.
func (r *Replica) receiveInstances(list InstanceList) {
	r.applyInstances(list)
	if sentAfter, ok := r.core.EchoedAt(list.Echo); ok {
		r.versions.Prove(origin.ProvenAt(list.ProvenMillis, sentAfter))
	}
}

// applyInstances stores an instance list read by this node or by another one, whose version may pass on
// entries that no server can have.
func (r *Replica) applyInstances(list InstanceList) {
	list.Instances, _ = routing.SoundInstances(list.Instances)
	r.instancesNumber++
	if r.instancesNumber == 1 || !slices.Equal(r.instances.Instances, list.Instances) {
		r.instancesChanged = r.instancesNumber
	}
	r.instances = list
	r.instancesAt = clock.SinceBoot()
	if list.Versions != nil {
		r.versions.Merge(*list.Versions, r.instancesAt)
	}
	r.versions.Observe(list.Instances, r.instancesAt)
	r.notify(effects{routing: true})
}
