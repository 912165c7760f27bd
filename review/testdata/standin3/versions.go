package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// olderRunners is the number of runners with version v1 at the start. The others have v2.
	olderRunners  = 8
	upgradeGap    = 2500 * time.Millisecond
	upgradeBack   = 2 * time.Second
	upgradeEvents = 70
	upgradeStep   = 50 * time.Millisecond
	// streamGap is the time between two streams, of the usual traffic of the route.
	streamGap = 75 * time.Millisecond
	// allowedMixed is how many streams may hold events of two versions.
	allowedMixed = 2
)

// upgrades plays runners that crash one after the other and start again under the ids that they had, with the next version of
// their software, while resumable streams run.
func upgrades(s *scene) (bool, error) {
	var mu sync.Mutex
	work := func(x *run) {
		from := 0
		if last := x.request.Header.Get("Last-Event-Id"); last != "" {
			from, _ = strconv.Atoi(last)
		}
		s.log.line("run %s at %s version=%s from=%d resumes=%s", x.id, x.life.id, x.life.version, from+1, x.request.Header.Get("Resumes"))
		for n := from + 1; n <= upgradeEvents; n++ {
			if !x.sleep(upgradeStep) || !x.event(n) {
				return
			}
		}
	}
	spec := modelSpec(work)
	spec.keepID = true
	runners, err := newRunners(s.log, spec, modelRunners, olderRunners)
	if err != nil {
		return false, err
	}
	if err := s.open(smallFleet, runners, newManifest(1, ampleTokens)); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	until := time.Now().Add(time.Duration(olderRunners+2) * upgradeGap)
	streams, mixed, complete := 0, 0, 0
	pending := sync.WaitGroup{}
	pending.Go(func() {
		for n := 0; time.Now().Before(until); n++ {
			pending.Go(func() {
				a := send(s.log, requestSpec{
					address:  s.anyFront(),
					path:     "/frost/2f",
					key:      tenantKey,
					usage:    fmt.Sprintf("500,%d", upgradeEvents*stride),
					prefix:   fmt.Sprintf("5e7a5e7a:300,%08x:200", n),
					body:     "text",
					deadline: 4 * time.Second,
					label:    "stream",
				})
				versions := map[string]bool{}
				for _, data := range a.data {
					if _, version, ok := strings.Cut(data, "version "); ok {
						versions[version] = true
					}
				}
				mu.Lock()
				defer mu.Unlock()
				streams++
				if a.complete {
					complete++
				}
				if len(versions) > 1 {
					mixed++
					s.log.line("mixed stream %s: %v", a.id, versions)
				}
			})
			time.Sleep(streamGap)
		}
	})
	time.Sleep(2 * time.Second)
	if s.trouble {
		for _, r := range runners[:olderRunners] {
			r.upgrade("v2")
			r.crash(r.current(), upgradeBack)
			time.Sleep(upgradeGap)
		}
	}
	pending.Wait()
	s.log.result("streams=%d complete=%d mixed=%d allowed=%d", streams, complete, mixed, allowedMixed)
	return mixed > allowedMixed, nil
}
