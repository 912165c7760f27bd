package measure

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/admission"
	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/entry"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/load"
	"github.com/waxwingreel/waxwingreel/placement"
)

// The plain alternative: round robin, first come first served, no affinity.
var baseline = entry.Policies{
	Placement: placement.PolicyRoundRobin,
	Admission: admission.PolicyFIFO,
}

// compared lists what is measured beside one another.
var compared = []struct {
	name     string
	policies entry.Policies
}{
	{name: "waxwingreel"},
	{
		name:     "baseline",
		policies: baseline,
	},
}

const floodTime = 8 * time.Second

func kind(name, key string, share float64, prompt, tokens int, class fleet.Class) load.Kind {
	return load.Kind{
		Name:         name,
		Key:          key,
		Share:        share,
		Model:        "m",
		Class:        class,
		PromptBytes:  prompt,
		AnswerTokens: tokens,
		MaxTokens:    fleet.Tokens(tokens),
	}
}

// flood describes one comparison: wanted work alone, and with a flood beside it.
type flood struct {
	name   string
	wanted load.Kind
	rate   float64
	flood  load.Kind
	floods float64
	// ratio bounds the wanted work's percentile with the flood by that without.
	ratio    float64
	perMille int
}

var floods = []flood{
	{
		name:     "lookups under a flood of long requests",
		wanted:   kind("lookup", "key", 1, 200, 8, fleet.ClassLookup),
		rate:     60,
		flood:    kind("long", "key", 1, 4000, 400, fleet.ClassLong),
		floods:   30,
		ratio:    1.5,
		perMille: 990,
	},
	{
		name:     "paying under a flood of trial requests",
		wanted:   kind("paying", "key", 1, 400, 20, fleet.ClassInteractive),
		rate:     60,
		flood:    kind("trial", "trial-key", 1, 400, 100, fleet.ClassInteractive),
		floods:   200,
		ratio:    1.1,
		perMille: 950,
	},
}

// Floods measures what floods do to wanted work, under the policies in use and
// under the baseline.
func Floods() (Group, error) {
	g := Group{
		Name:    "floods",
		Setting: "One node before 4 stand-in engines of 8 slots, 3 ms for each token. The rate of the flood is beyond what the engines can serve. \"Alone\" is the wanted work without the flood, in the same run.",
	}
	for _, f := range floods {
		for _, p := range compared {
			if err := runFlood(&g, f, p.name, p.policies); err != nil {
				return g, err
			}
		}
	}
	return g, nil
}

func engineFleet(policies entry.Policies) fleetConfig {
	return fleetConfig{
		nodes:    1,
		control:  1,
		engines:  4,
		slots:    8,
		policies: policies,
		token:    3 * time.Millisecond,
		prompt:   10 * time.Millisecond,
		cache:    512,
	}
}

func runFlood(g *Group, f flood, name string, policies entry.Policies) error {
	fleet, err := startFleet(engineFleet(policies))
	if err != nil {
		return err
	}
	defer fleet.close()
	run := func(mix load.Mix) []load.Outcome {
		return load.Run(context.Background(), load.Config{
			Mix:      mix,
			Seeds:    fleet.seeds(),
			Duration: floodTime,
			Seed:     1,
			Attempts: 1,
		})
	}
	alone, _ := answered(run(load.Mix{
		RatePerSecond: f.rate,
		Kinds:         []load.Kind{f.wanted},
	}), f.wanted.Name)
	wanted, flooding := f.wanted, f.flood
	wanted.Share = f.rate
	flooding.Share = f.floods
	with, refused := answered(run(load.Mix{
		RatePerSecond: f.rate + f.floods,
		Kinds:         []load.Kind{wanted, flooding},
	}), f.wanted.Name)
	label := fmt.Sprintf("%s, %s: ", f.name, name)
	before, after := percentile(alone, f.perMille), percentile(with, f.perMille)
	quantile := fmt.Sprintf("p%d", f.perMille/10)
	g.add(label+"total "+quantile+" alone", millis(before), "ms")
	g.add(label+"total "+quantile+" with the flood", millis(after), "ms")
	g.add(label+"total p50 with the flood", millis(percentile(with, 500)), "ms")
	g.add(label+"wanted requests refused", float64(refused), "requests")
	ratio := float64(after) / float64(before)
	if name == "baseline" {
		g.add(label+"ratio", ratio, "times")
	} else {
		g.atMost(label+"ratio", ratio, "times", f.ratio)
	}
	return nil
}

// Storm measures lookups when ten times the callers come at once, at a rate that the
// engines can serve: every refusal is a false one.
func Storm() (Group, error) {
	g := Group{
		Name:    "storm",
		Setting: "One node before 4 stand-in engines of 8 slots, 3 ms for each token; lookups of 8 tokens at 50 a second, ten times that for 4 seconds, and 2 long requests a second throughout. The engines could serve about 1,000 lookups a second.",
	}
	for _, p := range compared {
		if err := runStorm(&g, p.name, p.policies); err != nil {
			return g, err
		}
	}
	return g, nil
}

func runStorm(g *Group, name string, policies entry.Policies) error {
	f, err := startFleet(engineFleet(policies))
	if err != nil {
		return err
	}
	defer f.close()
	outcomes := load.Run(context.Background(), load.Config{
		Mix: load.Mix{
			RatePerSecond: 52,
			Phases: []load.Phase{
				{
					Seconds: 2,
					Factor:  1,
				},
				{
					Seconds: 4,
					Factor:  10,
				},
			},
			Kinds: []load.Kind{
				kind("lookup", "key", 50, 200, 8, fleet.ClassLookup),
				kind("long", "key", 2, 4000, 400, fleet.ClassLong),
			},
		},
		Seeds:    f.seeds(),
		Duration: floodTime,
		Seed:     1,
		Attempts: 1,
	})
	times, refused := answered(outcomes, "lookup")
	g.add(name+": lookups answered", float64(len(times)), "requests")
	g.add(name+": lookups falsely refused", float64(refused), "requests")
	g.add(name+": lookups' total p50", millis(percentile(times, 500)), "ms")
	g.add(name+": lookups' total p99", millis(percentile(times, 990)), "ms")
	return nil
}

func answered(outcomes []load.Outcome, name string) (times []time.Duration, refused int) {
	for _, o := range outcomes {
		switch {
		case o.Kind != name:
		case o.Answered:
			times = append(times, o.Total)
		default:
			refused++
		}
	}
	return times, refused
}

// Prefixes measures the share of prompt tokens that engines find in their caches.
func Prefixes() (Group, error) {
	g := Group{
		Name:    "placement",
		Setting: "One node before 4 stand-in engines of 8 slots whose caches hold 512 blocks each and whose cache events are late and incomplete; 24 conversations of 2,000 shared bytes at 60 requests a second.",
	}
	for _, p := range compared {
		if err := runPrefixes(&g, p.name, p.policies); err != nil {
			return g, err
		}
	}
	return g, nil
}

func runPrefixes(g *Group, name string, policies entry.Policies) error {
	cfg := engineFleet(policies)
	cfg.cache = 64
	f, err := startFleet(cfg)
	if err != nil {
		return err
	}
	defer f.close()
	mix := load.Mix{RatePerSecond: 60}
	for i := range 24 {
		k := kind(fmt.Sprintf("conversation %d", i), "key", 1, 2200, 20, fleet.ClassInteractive)
		k.SharedPrefix = 2000
		mix.Kinds = append(mix.Kinds, k)
	}
	outcomes := load.Run(context.Background(), load.Config{
		Mix:      mix,
		Seeds:    f.seeds(),
		Duration: floodTime,
		Seed:     1,
		Attempts: 1,
	})
	prompt, cached, most, least := 0, 0, 0, 1<<30
	for _, e := range f.engines {
		stats := e.Stats()
		prompt += stats.PromptTokens
		cached += stats.CachedTokens
		most = max(most, stats.Started)
		least = min(least, stats.Started)
	}
	if prompt == 0 {
		return eris.New("measure: the engines read no prompt")
	}
	var first []time.Duration
	for _, o := range outcomes {
		if o.Answered {
			first = append(first, o.FirstToken)
		}
	}
	g.add(name+": prompt tokens found in cache", 1000*float64(cached)/float64(prompt), "‰")
	g.add(name+": first token p95", millis(percentile(first, 950)), "ms")
	g.add(name+": busiest engine over the least busy", float64(most)/float64(max(least, 1)), "times")
	return nil
}

// Overhead compares requests through a node with requests straight to an engine,
// both in this process, so that the difference is the node's.
func Overhead() (Group, error) {
	g := Group{
		Name:    "overhead",
		Setting: "One node and one stand-in engine of 64 slots, 2 ms for each token, 40 tokens an answer, 100 requests a second, on loopback. The same requests go straight to the engine for comparison; processor time is that of the whole process in each case.",
	}
	cfg := engineFleet(entry.Policies{})
	cfg.engines = 1
	cfg.slots = 64
	cfg.token = 2 * time.Millisecond
	f, err := startFleet(cfg)
	if err != nil {
		return g, err
	}
	defer f.close()
	straight := direct(f)
	through := viaNode(f)
	g.add("first token p95, straight to the engine", millis(percentile(straight.first, 950)), "ms")
	g.add("first token p95, through a node", millis(percentile(through.first, 950)), "ms")
	g.atMost("added time to the first token, p95", millis(percentile(through.first, 950)-percentile(straight.first, 950)), "ms", 3)
	g.add("added processor time for each request of 40 tokens", micros(through.cpu-straight.cpu)/float64(through.count), "µs")
	g.add("added allocations for each request of 40 tokens", float64(through.allocations-straight.allocations)/float64(through.count), "allocations")
	return g, nil
}

func micros(d time.Duration) float64 {
	return float64(d.Nanoseconds()) / 1000
}

type cost struct {
	first       []time.Duration
	cpu         time.Duration
	allocations uint64
	count       int
}

const overheadRequests = 800

func processorTime() time.Duration {
	usage := syscall.Rusage{}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func costOf(run func() []time.Duration) cost {
	before := runtime.MemStats{}
	runtime.ReadMemStats(&before)
	cpu := processorTime()
	first := run()
	after := runtime.MemStats{}
	runtime.ReadMemStats(&after)
	return cost{
		first:       first,
		cpu:         processorTime() - cpu,
		allocations: after.Mallocs - before.Mallocs,
		count:       len(first),
	}
}

// each runs an operation at 100 starts a second and collects what it returns.
func each(operation func() time.Duration) []time.Duration {
	results := make(chan time.Duration, overheadRequests)
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for range overheadRequests {
		<-ticker.C
		go func() { results <- operation() }()
	}
	var first []time.Duration
	for range overheadRequests {
		if d := <-results; d > 0 {
			first = append(first, d)
		}
	}
	return first
}

func direct(f *testFleet) cost {
	spec := f.changes[0].BackendServer
	client := backend.NewClient(catalog.BackendServer{
		ID:      spec.ID,
		Address: spec.Address,
	})
	defer client.Close()
	return costOf(func() []time.Duration {
		return each(func() time.Duration { return directOnce(client) })
	})
}

func directOnce(client *backend.Client) time.Duration {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	stream, err := client.StartStream(ctx, fleet.NewRequestID().String(), 0, backend.Chat{
		Model: "m",
		Messages: []backend.Message{{
			Role:    "user",
			Content: "how are you length=40 " + fleet.NewRequestID().String(),
		}},
		MaxTokens: 40,
	})
	if err != nil {
		return 0
	}
	defer stream.Close()
	first := time.Duration(0)
	for {
		chunk, err := stream.Next(ctx)
		if err != nil {
			return 0
		}
		if first == 0 {
			first = time.Since(started)
		}
		if chunk.Usage != nil {
			return first
		}
	}
}

func viaNode(f *testFleet) cost {
	runner := load.Config{
		Mix: load.Mix{
			RatePerSecond: 100,
			Kinds:         []load.Kind{kind("k", "key", 1, 0, 40, fleet.ClassInteractive)},
		},
		Seeds:    f.seeds(),
		Duration: overheadRequests * 10 * time.Millisecond,
		Seed:     1,
		Attempts: 1,
	}
	return costOf(func() []time.Duration {
		var first []time.Duration
		for _, o := range load.Run(context.Background(), runner) {
			if o.Answered {
				first = append(first, o.FirstToken)
			}
		}
		return first
	})
}
