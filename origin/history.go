package origin

import (
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

const (
	// maxGap is the longest time between two lists during which no version can have come and gone.
	maxGap = 5 * time.Second
	// maxListAge is the age of the latest list up to which no further version counts as in use.
	maxListAge = 3 * time.Second
	// rememberedFor is how long a version is remembered after it left the list.
	rememberedFor = time.Hour
)

// History knows the software versions that each service has had. Its zero value knows nothing. It is
// not safe for concurrent use.
type History struct {
	// Nothing is unknown of the time from since to last. Both are 0 before the first list.
	since time.Duration
	last  time.Duration
	// provenAt is the time up to which the history certainly has the versions of all lists that any node
	// has read, however late lists and reports arrived. 0 if that is not known.
	provenAt time.Duration
	// listedAt has the time at which each version was last in the list.
	listedAt map[fleet.ServiceID]map[routing.SoftwareVersion]time.Duration
}

// Report is what a node or a replica knows of versions, for others.
type Report struct {
	// SinceMillis and LastMillis are the ages of the start and the end of the time of which the
	// sender knows all.
	SinceMillis int64 `json:"sinceMillis"`
	LastMillis  int64 `json:"lastMillis"`
	// ProvenMillis is the age of the time up to which the sender certainly has the versions of all lists that
	// any node has read. It is nil if that is not known, and in reports of the build before.
	ProvenMillis *int64    `json:"provenMillis,omitempty"`
	Versions     []Version `json:"versions,omitempty"`
}

// Version is a version that a service has had.
type Version struct {
	Service  fleet.ServiceID         `json:"service"`
	Software routing.SoftwareVersion `json:"software"`
	// ListedMillis is the time since the version was last in the list.
	ListedMillis int64 `json:"listedMillis"`
}

// Observe records a list that was read at a time.
func (h *History) Observe(instances []routing.Instance, readAt time.Duration) {
	for _, i := range instances {
		h.record(i.Service, i.Software, readAt)
	}
	h.extend(readAt, readAt)
}

func (h *History) record(service fleet.ServiceID, software routing.SoftwareVersion, listedAt time.Duration) {
	if h.listedAt == nil {
		h.listedAt = map[fleet.ServiceID]map[routing.SoftwareVersion]time.Duration{}
	}
	versions := h.listedAt[service]
	if versions == nil {
		versions = map[routing.SoftwareVersion]time.Duration{}
		h.listedAt[service] = versions
	}
	if at, ok := versions[software]; !ok || listedAt > at {
		versions[software] = listedAt
	}
}

// extend adds a time of which all is known. Of two times that are apart the later one counts.
func (h *History) extend(since, last time.Duration) {
	switch {
	case h.listedAt == nil:
		return
	case h.last == 0 || since > h.last+maxGap:
		h.since, h.last = since, last
	case last+maxGap >= h.since:
		h.since, h.last = min(h.since, since), max(h.last, last)
	}
	for _, versions := range h.listedAt {
		for software, at := range versions {
			if h.last-at > rememberedFor {
				delete(versions, software)
			}
		}
	}
}

// Merge adds what another node or replica knows.
func (h *History) Merge(r Report, now time.Duration) {
	if len(r.Versions) == 0 {
		return
	}
	ago := func(millis int64) time.Duration { return now - time.Duration(millis)*time.Millisecond }
	for _, v := range r.Versions {
		h.record(v.Service, v.Software, ago(v.ListedMillis))
	}
	h.extend(ago(r.SinceMillis), ago(r.LastMillis))
}

// Prove records that the history has the versions of all lists that were read before a time.
func (h *History) Prove(at time.Duration) {
	h.provenAt = max(h.provenAt, at)
}

// Proven reports whether the history certainly has the versions of all lists that were read before a time.
func (h *History) Proven(at time.Duration) bool {
	return h.provenAt > 0 && h.provenAt >= at
}

// ProvenMillis returns the age of the time up to which Proven holds, or nil if there is none.
func (h *History) ProvenMillis(now time.Duration) *int64 {
	if h.provenAt == 0 {
		return nil
	}
	// Rounded up, since a time must not look later than it is.
	age := (now - h.provenAt).Milliseconds() + 1
	return &age
}

// ProvenAt returns the time that a message proves. It was sent after the given time on the receiver's
// clock, however late it arrived. It returns 0 if the message proves nothing.
func ProvenAt(provenMillis *int64, sentAfter time.Duration) time.Duration {
	if provenMillis == nil || *provenMillis < 0 {
		return 0
	}
	return max(sentAfter-time.Duration(*provenMillis)*time.Millisecond, 0)
}

// Report returns what is known.
func (h *History) Report(now time.Duration) Report {
	r := Report{
		SinceMillis:  (now - h.since).Milliseconds(),
		LastMillis:   (now - h.last).Milliseconds(),
		ProvenMillis: h.ProvenMillis(now),
	}
	for service, versions := range h.listedAt {
		for software, at := range versions {
			r.Versions = append(r.Versions, Version{
				Service:      service,
				Software:     software,
				ListedMillis: (now - at).Milliseconds(),
			})
		}
	}
	return r
}

// Single returns the version of a service if it has had no other one for the given time until now. It
// returns false if there were several, or if that is not known.
func (h *History) Single(service fleet.ServiceID, window, now time.Duration) (routing.SoftwareVersion, bool) {
	from := now - window
	if h.last == 0 || h.since > from || now-h.last > maxListAge {
		return "", false
	}
	single, found := routing.SoftwareVersion(""), false
	for software, at := range h.listedAt[service] {
		if at < from {
			continue
		}
		if found {
			return "", false
		}
		single, found = software, true
	}
	return single, found && single != ""
}
