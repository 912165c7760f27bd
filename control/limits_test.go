package control

import (
	"testing"

	"github.com/waxwingreel/waxwingreel/ratelimit"
	"github.com/waxwingreel/waxwingreel/routing"
)

// TestLimitReachesSubscribers reports the limit of an instance, the same again, and its end. Every
// subscriber must be told of the beginning and the end once, and one that comes later too.
func TestLimitReachesSubscribers(t *testing.T) {
	r := newQuarantineReplica(t)
	rate := routing.Rate(1.3)
	report := ratelimit.Report{
		Service:   "s",
		Instance:  "i",
		Limit:     &rate,
		AgeMillis: 500,
	}
	early := &subscriber{}
	r.applyLimits([]ratelimit.Report{report})
	if got := r.update(early).Limits; got == nil || len(got.Reports) != 1 || got.Reports[0].Limit == nil || *got.Reports[0].Limit != rate {
		t.Fatalf("got %+v, want the limit", got)
	}
	report.AgeMillis = 400
	r.applyLimits([]ratelimit.Report{report})
	if got := r.update(early).Limits; got != nil {
		t.Errorf("got %+v for the same limit, want nothing", got)
	}
	report.Limit = nil
	report.AgeMillis = 200
	r.applyLimits([]ratelimit.Report{report})
	for name, s := range map[string]*subscriber{
		"early": early,
		"late":  {},
	} {
		if got := r.update(s).Limits; got == nil || len(got.Reports) != 1 || got.Reports[0].Limit != nil {
			t.Errorf("%s subscriber: got %+v, want the end of the limit", name, got)
		}
	}
	report.Limit = &rate
	report.AgeMillis = 450
	r.applyLimits([]ratelimit.Report{report})
	if got := r.update(early).Limits; got != nil {
		t.Errorf("got %+v for a report that is older than the end, want nothing", got)
	}
}
