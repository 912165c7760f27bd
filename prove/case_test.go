package prove

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/load"
)

// proveCase is one script of testdata. Its lines are:
//
//	fleet KEY=VALUE...     the fleet's configuration
//	load MIX rate=N for=D  the load
//	at D COMMAND...        a fault or an operator's action, at a time
//	expect WHAT LIMIT      an upper limit of one of the audit's metrics
//	only full              skip the case in the short run
//
// The commands are described at execute.
type proveCase struct {
	name     string
	config   fleetConfig
	mix      string
	rate     float64
	length   time.Duration
	steps    []step
	limits   []string
	fullOnly bool
	seed     uint64
}

// step is one command and its time since the load began.
type step struct {
	time  time.Duration
	words []string
}

func readCase(t *testing.T, path string) *proveCase {
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	c := &proveCase{
		name: strings.TrimSuffix(filepath.Base(path), ".txt"),
		seed: 20261204,
		config: fleetConfig{
			nodes:       3,
			control:     3,
			dataCentres: 3,
			engines:     3,
			slots:       16,
			services:    2,
			delay:       500 * time.Microsecond,
			paying:      50_000_000,
			trial:       5_000_000,
			tokenTime:   2 * time.Millisecond,
			work:        10 * time.Millisecond,
			stopSeconds: 30,
		},
	}
	for i, line := range strings.Split(string(text), "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if err := c.parseLine(words); err != nil {
			t.Fatalf("%s:%d: %v", path, i+1, err)
		}
	}
	sort.SliceStable(c.steps, func(i, j int) bool { return c.steps[i].time < c.steps[j].time })
	return c
}

func (c *proveCase) parseLine(words []string) error {
	switch words[0] {
	case "fleet":
		return c.parseFleetConfig(words[1:])
	case "load":
		c.mix = words[1]
		for _, word := range words[2:] {
			key, value, _ := strings.Cut(word, "=")
			if key == "rate" {
				c.rate, _ = strconv.ParseFloat(value, 64)
			}
			if key == "for" {
				c.length, _ = time.ParseDuration(value)
			}
		}
	case "at":
		at, err := time.ParseDuration(words[1])
		if err != nil {
			return err
		}
		c.steps = append(c.steps, step{
			time:  at,
			words: words[2:],
		})
	case "expect":
		c.limits = append(c.limits, strings.Join(words[1:], " "))
	case "only":
		c.fullOnly = true
	default:
		return fmt.Errorf("unknown line %q", words[0])
	}
	return nil
}

func (c *proveCase) parseFleetConfig(words []string) error {
	cfg := &c.config
	for _, word := range words {
		key, value, _ := strings.Cut(word, "=")
		n, _ := strconv.Atoi(value)
		d, _ := time.ParseDuration(value)
		switch key {
		case "nodes":
			cfg.nodes = n
		case "control":
			cfg.control = n
		case "dataCentres":
			cfg.dataCentres = n
		case "spares":
			cfg.spares = n
		case "engines":
			cfg.engines = n
		case "slots":
			cfg.slots = n
		case "services":
			cfg.services = n
		case "paying":
			cfg.paying = fleet.Tokens(n)
		case "trial":
			cfg.trial = fleet.Tokens(n)
		case "delay":
			cfg.delay = d
		case "tokenTime":
			cfg.tokenTime = d
		case "work":
			cfg.work = d
		default:
			return fmt.Errorf("unknown key %q of the fleet line", key)
		}
	}
	return nil
}

// TestProve runs the cases: a short selection, or all with WAXWINGREEL_PROVE=all.
func TestProve(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(paths), err)
	}
	for _, path := range paths {
		c := readCase(t, path)
		t.Run(c.name, func(t *testing.T) {
			if c.fullOnly && os.Getenv("WAXWINGREEL_PROVE") != "all" {
				t.Skip("runs with WAXWINGREEL_PROVE=all")
			}
			c.run(t)
		})
	}
}

func (c *proveCase) run(t *testing.T) {
	f := newFleet(t, c.config, c.seed)
	mix, err := load.ReadMix(filepath.Join("testdata", c.mix))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.runSteps(f)
	}()
	outcomes := load.Run(context.Background(), load.Config{
		Mix:      mix,
		Seeds:    f.seedAddresses(),
		Duration: c.length,
		Rate:     c.rate,
		Seed:     c.seed,
		Attempts: 8,
	})
	<-done
	f.restore()
	report := load.Audit(outcomes, f.evidence())
	text := &strings.Builder{}
	report.Print(text)
	t.Logf("%s", text)
	for _, violation := range report.Violations {
		t.Errorf("violated guarantee: %s", violation)
	}
	c.check(t, f, report, outcomes)
}

// runSteps executes the steps at their times.
func (c *proveCase) runSteps(f *testFleet) {
	started := time.Now()
	for _, s := range c.steps {
		time.Sleep(s.time - time.Since(started))
		f.execute(s.words)
	}
}

// restore ends partitions, resumes and starts all processes, and waits until the fleet is
// ready and has delivered all settlements. Packet loss is left as it is.
func (f *testFleet) restore() {
	f.network.ClearFaults()
	for _, p := range f.nodes {
		p.Signal(syscall.SIGCONT)
		f.start(p)
	}
	f.awaitReady(30 * time.Second)
	deadline := time.Now().Add(15 * time.Second)
	for !f.settlementsDelivered() {
		if time.Now().After(deadline) {
			f.t.Fatalf("held settlements were not delivered within 15 s")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (f *testFleet) settlementsDelivered() bool {
	for _, p := range f.nodes {
		status := struct {
			Node struct {
				Held     int   `json:"heldSettlements"`
				InFlight int64 `json:"inFlight"`
			} `json:"node"`
		}{}
		if _, err := f.callOperatorAPI(p, "GET", "/v1/status", nil, &status); err != nil || status.Node.Held > 0 || status.Node.InFlight > 0 {
			return false
		}
	}
	return true
}

func (f *testFleet) evidence() load.Evidence {
	evidence := load.Evidence{Runs: map[string]int{}}
	for w := 1; w <= workspaces; w++ {
		for _, budget := range f.budgets(w) {
			b := f.readBudget(budget.ID)
			evidence.Budgets = append(evidence.Budgets, load.BudgetEvidence{
				ID:        budget.ID,
				Prepaid:   b.Prepaid,
				Settled:   b.Settled,
				Leased:    b.Leased,
				Keys:      []string{budgetKey(budget.ID)},
				CallPrice: callPrice,
			})
		}
	}
	for _, s := range f.servers {
		if s.service == nil {
			continue
		}
		for id, n := range s.service.Runs() {
			evidence.Runs[id] += n
		}
	}
	return evidence
}

// check compares the audit's metrics with the limits of the case.
func (c *proveCase) check(t *testing.T, f *testFleet, report load.Report, outcomes []load.Outcome) {
	if report.Answered == 0 {
		t.Errorf("no request got a response")
	}
	for _, expect := range c.limits {
		words := strings.Fields(expect)
		limit, err := strconv.Atoi(words[len(words)-1])
		if err != nil {
			t.Fatalf("expect %s: %v", expect, err)
		}
		got := 0
		switch words[0] {
		case "falseRefusals":
			got = report.FalseRefusals
		case "falseRefusalsPerMille":
			got = report.FalseRefusals * 1000 / report.Sent
		case "unansweredPerMille":
			got = (report.Sent - report.Answered) * 1000 / report.Sent
		case "leftUnspent":
			for w := 1; w <= workspaces; w++ {
				got = max(got, int(f.readBudget(f.budgets(w)[0].ID).Free))
			}
		case "strangers":
			got = f.unexpectedMembers(words[1 : len(words)-1])
		case "leasedTo":
			got = f.outstandingQuota(fleet.NodeID(words[1]))
		case "enginesBehind":
			got = f.enginesBehind(words[1])
		case "slowestMillis":
			for _, o := range outcomes {
				if o.Answered {
					got = max(got, int(o.Total.Milliseconds()))
				}
			}
		default:
			t.Fatalf("expect %s: unknown metric", expect)
		}
		if got > limit {
			t.Errorf("expect %s: got %d, want at most %d", expect, got, limit)
		}
	}
}

// unexpectedMembers returns the number of members of the control group on other nodes than
// the named ones.
func (f *testFleet) unexpectedMembers(names []string) int {
	unexpected := 0
	for _, r := range f.readStatus().Replicas {
		if !r.HasLease {
			continue
		}
		for _, m := range r.Consensus.Members.Replicas {
			if !slices.Contains(names, string(m.Node)) {
				unexpected++
			}
		}
	}
	return unexpected
}

// outstandingQuota waits up to 5 s for a node's quota to be returned, and returns the tokens
// that are still leased to it.
func (f *testFleet) outstandingQuota(node fleet.NodeID) int {
	leased := 0
	for range 100 {
		leased = 0
		for w := 1; w <= workspaces; w++ {
			for _, l := range f.readBudget(f.budgets(w)[0].ID).Leases {
				if l.Holder.Node == node {
					leased += int(l.Outstanding)
				}
			}
		}
		if leased == 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return leased
}

// enginesBehind waits for the engines to load a version and returns the number of those that
// have not. It also checks that no engine loaded an earlier version after a later one.
func (f *testFleet) enginesBehind(version string) int {
	behind := 0
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		behind = 0
		for _, s := range f.servers {
			if s.engine != nil && s.lastLoaded() != version {
				behind++
			}
		}
		if behind == 0 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, s := range f.servers {
		if s.engine == nil {
			continue
		}
		last := ""
		for _, order := range s.engine.Orders() {
			if order.Version < last {
				f.t.Errorf("%s loaded version %s after %s", s.id, order.Version, last)
			}
			last = order.Version
		}
	}
	return behind
}

func (s *server) lastLoaded() string {
	orders := s.engine.Orders()
	if len(orders) == 0 {
		return ""
	}
	return orders[len(orders)-1].Version
}
