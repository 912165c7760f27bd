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

// script runs one file of testdata. Each line is a command:
//
//	voters N              start a group of N replicas, n1 to nN
//	run MS                let time pass with a sound network
//	advance MS            let time pass without delivering anything
//	campaign N [forced]   make a replica campaign
//	deliver A B           deliver what is in flight from A to B
//	deliverOne A B        deliver the first of them only
//	exchange A B          deliver both ways until nothing is in flight
//	drop A B              lose what is in flight from A to B; * is any
//	propose N TEXT        propose a command on a replica
//	cut N...              cut replicas off from the others; none mends all
//	crash N, restart N    stop and start a replica with its disk
//	compact N             snapshot a replica's log
//	transfer N            make a leader hand over
//	remove N M            make leader N remove M from the group
//	expect leader N       N leads the latest term
//	expect lease N|none   N, or nobody, holds a lease
//	expect applied N T... N's state machine holds these commands
//	heal                  mend all and check that nothing acknowledged is lost
//
// After each line the safety properties are checked.
type script struct {
	t    *testing.T
	c    *cluster
	line string
}

// Fatalf adds the script's line to a failure.
func (s *script) Fatalf(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("%s: "+format, append([]any{s.line}, args...)...)
}

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d scripts, error %v; want some", len(files), err)
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
				s.do(words)
				s.c.checkLeases()
				s.c.checkLogs()
			}
		})
	}
}

func (s *script) do(words []string) {
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
		s.c.settle(r, false)
	case "deliver":
		s.flight(words[1], words[2], len(s.c.network), false)
	case "deliverOne":
		s.flight(words[1], words[2], 1, false)
	case "exchange":
		for range 10 {
			s.flight(words[1], words[2], len(s.c.network), false)
			s.flight(words[2], words[1], len(s.c.network), false)
		}
	case "drop":
		s.flight(words[1], words[2], len(s.c.network), true)
	case "propose":
		r := s.replica(words[1])
		r.core.Propose([]byte(s.text(words[2])))
		s.c.settle(r, false)
	case "cut":
		s.c.cut = map[fleet.NodeID]bool{}
		for _, name := range words[1:] {
			s.c.cut[fleet.NodeID(name)] = true
		}
	case "crash":
		s.replica(words[1]).up = false
	case "restart":
		s.c.start(s.replica(words[1]))
	case "compact":
		s.c.compact(s.replica(words[1]))
	case "transfer":
		r := s.replica(words[1])
		r.core.TransferLeadership()
		s.c.settle(r, false)
	case "remove":
		r := s.replica(words[1])
		r.core.ProposeMembership(r.core.Members().Without(s.replica(words[2]).id))
		s.c.settle(r, false)
	case "heal":
		s.c.heal()
	case "expect":
		s.expect(words[1:])
	default:
		s.Fatalf("unknown command")
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
		for _, r := range s.c.live() {
			if r.core.HoldsLease(r.clock(s.c.now)) {
				got = string(r.node)
			}
		}
		if want := words[1]; got != want {
			s.Fatalf("got lease of %s, want %s", got, want)
		}
	case "applied":
		if got, want := s.replica(words[1]).applied, words[2:]; !slices.Equal(got, want) {
			s.Fatalf("got %v, want %v", got, want)
		}
	default:
		s.Fatalf("unknown expectation")
	}
}

// text is a command's text; "huge" fills a message of its own.
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
	s.Fatalf("no replica %s", name)
	return nil
}

// flight delivers or loses the messages that are now in flight between two
// replicas, at most so many.
func (s *script) flight(from, to string, most int, lose bool) {
	fits := func(name string, id ReplicaID) bool {
		return name == "*" || s.replica(name).id == id
	}
	for n := len(s.c.network); n > 0 && most > 0; n-- {
		most--
		i := slices.IndexFunc(s.c.network[:n], func(m Message) bool {
			return fits(from, m.From) && fits(to, m.To)
		})
		if i < 0 {
			return
		}
		s.c.deliver(i, lose, false)
	}
}
