package consensus

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// script runs a file of testdata, in which each line is a command:
//
//	voters N              start a group of N replicas, n1 to nN
//	run MS                let time pass and deliver all messages in order
//	advance MS            let time pass without delivering messages
//	campaign N [forced]   make replica N campaign
//	deliver A B           deliver the messages in flight from A to B
//	deliverOne A B        deliver only the first of them
//	exchange A B          deliver in both directions, ten times
//	drop A B              drop the messages in flight from A to B; * is any replica
//	propose N TEXT        propose a command at replica N
//	cut N...              partition replicas from the others; without N, end it
//	crash N, restart N    crash replica N, or restart it from its disk
//	compact N             replace replica N's log by a snapshot
//	transfer N            make leader N transfer its leadership
//	remove N M            make leader N remove M from the group
//	expect leader N       N is the leader of the latest term
//	expect lease N|none   N, or no replica, holds a lease
//	expect applied N T... N has applied exactly these commands
//	heal                  end all faults and check that no acknowledged command is lost
//
// The safety properties are checked after each line.
type script struct {
	t    *testing.T
	c    *cluster
	line string
}

// Fatalf ends the test with a message that starts with the current script line.
func (s *script) Fatalf(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("%s: "+format, append([]any{s.line}, args...)...)
}

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("find scripts: got %d files and error %v, want at least one", len(files), err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s := &script{t: t}
			for i, line := range strings.Split(string(text), "\n") {
				line, _, _ = strings.Cut(line, "#")
				words := strings.Fields(line)
				if len(words) == 0 {
					continue
				}
				s.line = fmt.Sprintf("%s:%d: %s", file, i+1, strings.TrimSpace(line))
				s.execute(words)
				s.c.checkLeases()
				s.c.checkLogs()
			}
		})
	}
}

func (s *script) execute(words []string) {
	switch words[0] {
	case "voters":
		s.c = newCluster(s, s.number(words[1]), func() float64 { return 1 })
	case "run":
		s.c.run(time.Duration(s.number(words[1])) * time.Millisecond)
	case "advance":
		s.c.advance(time.Duration(s.number(words[1])) * time.Millisecond)
	case "campaign":
		r := s.replica(words[1])
		r.core.campaign(len(words) > 2)
		s.c.processOutput(r, false)
	case "deliver":
		s.deliverInFlight(words[1], words[2], len(s.c.network), false)
	case "deliverOne":
		s.deliverInFlight(words[1], words[2], 1, false)
	case "exchange":
		for range 10 {
			s.deliverInFlight(words[1], words[2], len(s.c.network), false)
			s.deliverInFlight(words[2], words[1], len(s.c.network), false)
		}
	case "drop":
		s.deliverInFlight(words[1], words[2], len(s.c.network), true)
	case "propose":
		r := s.replica(words[1])
		r.core.Propose([]byte(s.text(words[2])))
		s.c.processOutput(r, false)
	case "cut":
		s.c.partitioned = map[fleet.NodeID]bool{}
		for _, name := range words[1:] {
			s.c.partitioned[fleet.NodeID(name)] = true
		}
	case "crash":
		s.replica(words[1]).running = false
	case "restart":
		s.c.start(s.replica(words[1]))
	case "compact":
		s.c.compact(s.replica(words[1]))
	case "transfer":
		r := s.replica(words[1])
		r.core.TransferLeadership()
		s.c.processOutput(r, false)
	case "remove":
		r := s.replica(words[1])
		r.core.ProposeMembership(r.core.Members().Without(s.replica(words[2]).id))
		s.c.processOutput(r, false)
	case "heal":
		s.c.heal()
	case "expect":
		s.expect(words[1:])
	default:
		s.Fatalf("unknown script command")
	}
}

func (s *script) expect(words []string) {
	switch words[0] {
	case "leader":
		if got, want := s.c.leader(), s.replica(words[1]); got != want {
			s.Fatalf("got leader %v, want %s", got, words[1])
		}
	case "lease":
		got := "none"
		for _, r := range s.c.runningReplicas() {
			if r.core.HoldsLease(r.clock(s.c.now)) {
				got = string(r.node)
			}
		}
		if want := words[1]; got != want {
			s.Fatalf("got lease holder %s, want %s", got, want)
		}
	case "applied":
		if got, want := s.replica(words[1]).applied, words[2:]; !slices.Equal(got, want) {
			s.Fatalf("got applied commands %v, want %v", got, want)
		}
	default:
		s.Fatalf("unknown expectation")
	}
}

// text returns a command's data. "huge" is replaced by data that exceeds the size limit
// of a message, so that its entry is sent alone.
func (s *script) text(word string) string {
	if word == "huge" {
		return strings.Repeat("x", maxBytesPerMessage+1)
	}
	return word
}

func (s *script) number(word string) int {
	n, err := strconv.Atoi(word)
	if err != nil {
		s.Fatalf("%v", err)
	}
	return n
}

func (s *script) replica(name string) *testReplica {
	for _, r := range s.c.replicas {
		if string(r.node) == name {
			return r
		}
	}
	s.Fatalf("script names unknown replica %s", name)
	return nil
}

// deliverInFlight delivers or drops the messages that are in flight between two
// replicas, up to limit messages.
func (s *script) deliverInFlight(from, to string, limit int, drop bool) {
	matches := func(name string, id ReplicaID) bool {
		return name == "*" || s.replica(name).id == id
	}
	for n := len(s.c.network); n > 0 && limit > 0; n-- {
		limit--
		i := slices.IndexFunc(s.c.network[:n], func(m Message) bool {
			return matches(from, m.From) && matches(to, m.To)
		})
		if i < 0 {
			return
		}
		s.c.deliver(i, drop, false)
	}
}
