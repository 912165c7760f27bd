package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/origin"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/routing"
)

// TestReplicasRememberStreams guards against streams whose origin is lost with the entry node that began
// them: the control replica that got its heartbeat must know it, and the other replicas soon after.
func TestReplicasRememberStreams(t *testing.T) {
	replicas := newOriginReplicas(t)
	key := origin.Key{
		Caller:  "w",
		Request: "a",
	}
	replicas[0].handleHeartbeat(&subscriber{}, Heartbeat{
		Report: roster.Report{Holder: fleet.Holder{Node: "entry"}},
		Origins: []origin.Record{{
			Key: key,
			Origin: routing.Origin{
				Service:  "s",
				Software: "v1",
			},
			TTLMillis: time.Minute.Milliseconds(),
		}},
	})
	for i, r := range replicas {
		response, deadline := OriginResponse{}, time.Now().Add(2*time.Second)
		for !response.Known && time.Now().Before(deadline) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			if err := replicas[2].cfg.Endpoint.Call(ctx, r.cfg.Endpoint.Address(), MethodFindOrigin, key, &response); err != nil {
				t.Error(err)
			}
			cancel()
			time.Sleep(10 * time.Millisecond)
		}
		if got, want := response.Record.Origin.Software, routing.SoftwareVersion("v1"); got != want {
			t.Errorf("replica %d: got version %q, want %q", i, got, want)
		}
	}
}

// TestVersionsReachReplicasAndSubscribers gives one replica lists with an old version and then with a new
// one. Another replica that starts later, and its subscribers, must know of both.
func TestVersionsReachReplicasAndSubscribers(t *testing.T) {
	replicas := newOriginReplicas(t)
	for _, software := range []routing.SoftwareVersion{"v1", "v2"} {
		replicas[0].SetInstances([]routing.Instance{{
			ID:       "i",
			Service:  "s",
			Software: software,
		}})
	}
	later := replicas[1]
	deadline := time.Now().Add(2 * time.Second)
	update := Update{}
	for update.Instances == nil && time.Now().Before(deadline) {
		later.do(func() { update = later.update(&subscriber{}) })
		time.Sleep(10 * time.Millisecond)
	}
	if update.Instances == nil || update.Instances.Versions == nil {
		t.Fatalf("got the list %+v, want one with versions", update.Instances)
	}
	h := origin.History{}
	h.Merge(*update.Instances.Versions, clock.SinceBoot())
	if got, ok := h.Single("s", time.Minute, clock.SinceBoot()); ok {
		t.Errorf("got %s as the only version, want two", got)
	}
}

// newOriginReplicas returns the running replicas of a group of three.
func newOriginReplicas(t *testing.T) []*Replica {
	t.Helper()
	vms := newFleet(t, 3)
	var replicas []*Replica
	for _, v := range vms {
		v.start(true)
		replicas = append(replicas, v.replica)
	}
	configure(t, vms, 1)
	return replicas
}

// TestRepeatedStreamsAreNotPassedOn repeats heartbeats, as nodes do to each replica that they turn to
// while the control group is in trouble. Guards against replicas that pass on what all know.
func TestRepeatedStreamsAreNotPassedOn(t *testing.T) {
	r := newOriginReplicas(t)[0]
	heartbeat := Heartbeat{Report: roster.Report{Holder: fleet.Holder{Node: "entry"}}}
	for i := range 100 {
		heartbeat.Origins = append(heartbeat.Origins, origin.Record{
			Key: origin.Key{
				Caller:  "w",
				Request: routing.RequestID(fmt.Sprint(i)),
			},
			Origin:    routing.Origin{Software: "v1"},
			TTLMillis: time.Minute.Milliseconds(),
		})
	}
	passedOn := 0
	for range 10 {
		r.do(func() { r.newOrigins = nil })
		r.handleHeartbeat(&subscriber{}, heartbeat)
		r.do(func() { passedOn += len(r.newOrigins) })
	}
	if got, want := passedOn, len(heartbeat.Origins); got > want {
		t.Errorf("got %d streams to pass on after 10 equal heartbeats, want %d at the most", got, want)
	}
}
