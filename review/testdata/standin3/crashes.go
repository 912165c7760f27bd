package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	modelRunners = 12
	runnerBack   = 3 * time.Second
	stepTime     = 20 * time.Millisecond
	soundEvents  = 40
	soundGap     = 40 * time.Millisecond
	// soundFiles is the number of shared files of the sound requests.
	soundFiles = 36
	badPart    = "bad0bad0"
	// crashesNamed is the number of crashes by which the system has to know a part.
	crashesNamed = 5
	// allowedReaches is how many requests may still reach runners after that.
	allowedReaches = 3
)

// crasher is a cause of crashes: a part of a prompt, or a request.
type crasher struct {
	s *scene
	// named is the number of crashes after which the rule counts.
	named int
	// first is the number of events that a runner writes before it crashes.
	first int
	// caused reports whether a request crashes its runner.
	caused func(*run) bool
	// events is the number of events of a sound stream, 0 for a plain answer.
	events int

	mu      sync.Mutex
	reached []time.Time
	crashes []time.Time
}

// work is the work of a runner.
func (c *crasher) work(x *run) {
	bad := c.caused(x)
	if bad {
		c.mu.Lock()
		c.reached = append(c.reached, time.Now())
		c.mu.Unlock()
		c.s.log.line("run bad %s at %s", x.id, x.life.id)
	}
	if !bad {
		c.s.log.line("run sound %s at %s", x.id, x.life.id)
	}
	if !x.sleep(stepTime) {
		return
	}
	if c.events == 0 {
		if bad && c.s.trouble {
			c.crash(x)
		}
		_, _ = fmt.Fprintf(x.w, "done %s", x.id)
		return
	}
	for n := 1; n <= c.events; n++ {
		if bad && c.s.trouble && n > c.first {
			if n == 1 {
				x.w.Header().Set("Content-Type", "text/event-stream")
				x.w.WriteHeader(http.StatusOK)
				_ = http.NewResponseController(x.w).Flush()
			}
			c.crash(x)
		}
		if !x.event(n) || !x.sleep(stepTime) {
			return
		}
	}
}

// crash ends the runner. Its own requests end with it.
func (c *crasher) crash(x *run) {
	c.mu.Lock()
	c.crashes = append(c.crashes, time.Now())
	c.mu.Unlock()
	x.r.crash(x.life, runnerBack)
	x.hang()
}

// verdict counts the requests that reached runners later than the stability window after the crash that names the cause.
func (c *crasher) verdict(sound *soundTraffic) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	if len(c.crashes) >= c.named {
		from := c.crashes[c.named-1].Add(stabilityWindow)
		for _, at := range c.reached {
			if at.After(from) {
				late++
			}
		}
	}
	served, broken, all := sound.counts()
	c.s.log.result("crashes=%d reached=%d reachedLate=%d allowed=%d soundSent=%d soundServed=%d soundBroken=%d",
		len(c.crashes), len(c.reached), late, allowedReaches, all, served, broken)
	return late > allowedReaches
}

// soundTraffic are sound requests beside those that crash runners.
type soundTraffic struct {
	mu                  sync.Mutex
	served, broken, all int
}

func (t *soundTraffic) counts() (served, broken, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.served, t.broken, t.all
}

// run sends sound requests at even intervals until a time, and waits for their answers.
func (t *soundTraffic) run(s *scene, gap time.Duration, until time.Time, spec func(n int) requestSpec) {
	pending := sync.WaitGroup{}
	for n := 0; time.Now().Before(until); n++ {
		pending.Go(func() {
			a := send(s.log, spec(n))
			t.mu.Lock()
			defer t.mu.Unlock()
			t.all++
			switch {
			case a.complete:
				t.served++
			case a.status == http.StatusOK || a.status == http.StatusBadGateway:
				t.broken++
			}
		})
		time.Sleep(gap)
	}
	pending.Wait()
}

func (s *scene) anyFront() string {
	fronts := s.fleet.fronts()
	return fronts[rand.IntN(len(fronts))]
}

// streamSpec is a request of the route of long files. Its last part is its own.
func (s *scene) streamSpec(label string, n int, shared ...string) requestSpec {
	parts, prompt := []string{}, 0
	for _, part := range append(shared, fmt.Sprintf("%s%06x", label[:1], n)) {
		name, size, ok := strings.Cut(part, ":")
		tokens := 250
		if ok {
			tokens, _ = strconv.Atoi(size)
		}
		parts = append(parts, fmt.Sprintf("%s:%d", name, tokens))
		prompt += tokens
	}
	return requestSpec{
		address:  s.anyFront(),
		path:     "/digest/2f",
		key:      tenantKey,
		usage:    fmt.Sprintf("%d,%d", prompt, soundEvents*stride),
		prefix:   strings.Join(parts, ","),
		body:     fmt.Sprintf("%s %d", label, n),
		deadline: 8 * time.Second,
		label:    label,
	}
}

// openStreams starts a small deployment whose model runners do the work of c.
func (s *scene) openStreams(c *crasher) error {
	spec := modelSpec(c.work)
	spec.keepID = s.keepID
	runners, err := newRunners(s.log, spec, modelRunners, modelRunners)
	if err != nil {
		return err
	}
	if err := s.open(smallFleet, runners, newManifest(1, ampleTokens)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// streams plays requests with a bad part beside sound ones. It sends bad requests in groups.
func (s *scene) streams(c *crasher, groups, group int, pause time.Duration, badParts []string, soundParts func(n int) []string) (bool, error) {
	if err := s.openStreams(c); err != nil {
		return false, err
	}
	sound := &soundTraffic{}
	until := time.Now().Add(time.Duration(groups)*pause + 2*time.Second)
	pending := sync.WaitGroup{}
	pending.Go(func() {
		sound.run(s, soundGap, until, func(n int) requestSpec { return s.streamSpec("sound", n, soundParts(n)...) })
	})
	time.Sleep(2 * time.Second)
	for n := range groups {
		for i := range group {
			pending.Go(func() { send(s.log, s.streamSpec("bad", n*group+i, badParts...)) })
		}
		time.Sleep(pause)
	}
	pending.Wait()
	return c.verdict(sound), nil
}

// longPrompt plays prompts of many parts, of which the first crashes runners.
func longPrompt(s *scene) (bool, error) {
	c := &crasher{
		s:      s,
		named:  crashesNamed,
		events: soundEvents,
		caused: func(x *run) bool { return x.has(badPart) },
	}
	turns := []string{}
	for n := range 18 {
		turns = append(turns, fmt.Sprintf("7%07x", n))
	}
	return s.streams(c, 16, 1, 2*time.Second, append([]string{badPart}, turns...), func(n int) []string {
		return append([]string{fmt.Sprintf("600d%04x", n%soundFiles)}, turns...)
	})
}

// firstEvent plays prompts with a part that crashes runners when they have written the first event.
func firstEvent(s *scene) (bool, error) {
	c := &crasher{
		s:      s,
		named:  crashesNamed,
		first:  1,
		events: soundEvents,
		caused: func(x *run) bool { return x.has(badPart) },
	}
	return s.streams(c, 16, 1, 2*time.Second, []string{"5e7a5e7a", badPart}, func(n int) []string {
		return []string{"5e7a5e7a", fmt.Sprintf("600d%04x", n%soundFiles)}
	})
}

// sameEngine plays prompts with a bad part while crashed runners start again under the ids that they had.
func sameEngine(s *scene) (bool, error) {
	c := &crasher{
		s:      s,
		named:  crashesNamed,
		events: soundEvents,
		caused: func(x *run) bool { return x.has(badPart) },
	}
	s.keepID = true
	return s.streams(c, 10, 1, 6500*time.Millisecond, []string{"5e7a5e7a:2520", badPart + ":13300"}, func(n int) []string {
		if n%2 == 0 {
			return []string{fmt.Sprintf("600d%04x", n%soundFiles)}
		}
		return []string{"5e7a5e7a:2520", fmt.Sprintf("600d%04x:13300", n%soundFiles)}
	})
}
