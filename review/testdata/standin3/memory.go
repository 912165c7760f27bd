package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// longIDBytes is below max_header_bytes.
	longIDBytes  = 8_000
	shortIDBytes = 16
	// longPartBytes is the same for the id of a part of a prompt.
	longPartBytes = 15_500
	// idClients send long request ids to all entry machines, partClients long part ids to one of them.
	idClients    = 40
	partClients  = 15
	oddGap       = 50 * time.Millisecond
	attackTime   = 75 * time.Second
	watchGap     = 200 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	// memoryMegabytes are the limits of the machines, as in the settings.
	controlMegabytes = 280
	entryMegabytes   = 134
)

// longIDs plays clients whose requests are legal in size and have very long ids of requests or of parts of their prompts. The
// platform ends processes that use more memory than their machines have.
func longIDs(s *scene) (bool, error) {
	runners, err := newRunners(s.log, modelSpec(func(x *run) {
		x.event(1)
		x.event(2)
	}), modelRunners, modelRunners)
	if err != nil {
		return false, err
	}
	if err := s.open(smallFleet, runners, newManifest(1, ampleTokens)); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	until := time.Now().Add(attackTime)
	idSize, partSize := shortIDBytes, shortIDBytes
	if s.trouble {
		idSize, partSize = longIDBytes, longPartBytes
	}
	pending := sync.WaitGroup{}
	sent, served := atomic.Int64{}, atomic.Int64{}
	for n := range idClients + partClients {
		pending.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for i := 0; time.Now().Before(until); i++ {
				address, id, part := s.anyFront(), uniqueID(n, i, idSize), uniqueID(n, i, shortIDBytes)
				if n >= idClients {
					address, id, part = s.fleet.fronts()[0], uniqueID(n, i, shortIDBytes), uniqueID(n, i, partSize)
				}
				sent.Add(1)
				if oddRequest(client, address, id, part) {
					served.Add(1)
				}
				time.Sleep(oddGap)
			}
		})
	}
	sound := &soundTraffic{}
	pending.Go(func() {
		sound.run(s, 100*time.Millisecond, until, func(n int) requestSpec {
			spec := s.streamSpec("sound", n, "600d600d")
			spec.usage = fmt.Sprintf("500,%d", 2*stride)
			return spec
		})
	})
	over := s.watchMemory(until)
	pending.Wait()
	soundServed, _, soundAll := sound.counts()
	s.log.result("oddSent=%d oddServed=%d idBytes=%d partBytes=%d overControl=%d overEntry=%d soundSent=%d soundServed=%d",
		sent.Load(), served.Load(), idSize, partSize, over["core"], over["edge"], soundAll, soundServed)
	return len(over) > 0, nil
}

// uniqueID returns an id of a number of hexadecimal digits.
func uniqueID(client, n, size int) string {
	return fmt.Sprintf("%04x%0*x", client, size-4, n)
}

func oddRequest(client *http.Client, address, id, part string) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/frost/2f", strings.NewReader("text"))
	if err != nil {
		return false
	}
	request.Host = "app.example"
	request.Header = http.Header{
		"Attempt-Id":    {id},
		"Model":         {"m"},
		"Token-Usage":   {fmt.Sprintf("101,%d", 2*stride)},
		"Prompt-Prefix": {part + ":100,1:1"},
		"Deadline-Ms":   {"4000"},
		"Authorization": {"Token " + tenantKey},
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// watchMemory ends each process that uses more memory than its machine has, and starts it again. It returns how often
// it did for each class of machines.
func (s *scene) watchMemory(until time.Time) (over map[string]int) {
	over = map[string]int{}
	peaks := map[string]int{}
	for ; time.Now().Before(until); time.Sleep(watchGap) {
		for _, m := range s.fleet.machines {
			used := memoryOf(m)
			limit := entryMegabytes
			if m.class == "core" {
				limit = controlMegabytes
			}
			if used/50 > peaks[m.name]/50 {
				s.log.line("machine %s uses %d MB of %d", m.name, used, limit)
			}
			peaks[m.name] = max(peaks[m.name], used)
			if used <= limit {
				continue
			}
			over[m.class]++
			s.log.line("machine %s uses %d MB of %d: the platform ends its process", m.name, used, limit)
			s.fleet.kill(m)
			peaks[m.name] = 0
			time.Sleep(restartDelay)
			if err := s.fleet.start(m, false); err != nil {
				s.log.line("start %s: %v", m.name, err)
			}
		}
	}
	for name, peak := range peaks {
		s.log.line("machine %s used %d MB at most", name, peak)
	}
	return over
}

// memoryOf returns the anonymous memory of a machine's process in megabytes.
func memoryOf(m *machine) int {
	if m.cmd == nil || m.cmd.Process == nil {
		return 0
	}
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "RssAnon:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes >> 10
		}
	}
	return 0
}
