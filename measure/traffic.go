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

// baseline is the simple alternative: round robin, FIFO, no affinity.
var baseline = entry.Policies{
	Placement: placement.PolicyRoundRobin,
	Admission: admission.PolicyFIFO,
}

// comparedPolicies are the policies that are compared.
var comparedPolicies = []struct {
	name     string
	policies entry.Policies
}{
	{name: "waxwingreel"},
	{
		name:     "baseline",
		policies: baseline,
	},
}

const runDuration = 8 * time.Second

func requestKind(name, key string, share float64, prompt, tokens int, class fleet.Class) load.Kind {
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

// floodComparison describes the comparison of wanted requests alone with the same requests
// during a flood of other requests.
type floodComparison struct {
	name       string
	wanted     load.Kind
	wantedRate float64
	flood      load.Kind
	floodRate  float64
	// maxRatio is the target for the latency percentile of the wanted requests with the
	// flood, relative to that without.
	maxRatio float64
	perMille int
}

var floodComparisons = []floodComparison{
	{
		name:       "lookups under a flood of long requests",
		wanted:     requestKind("lookup", "key", 1, 200, 8, fleet.ClassLookup),
		wantedRate: 60,
		flood:      requestKind("long", "key", 1, 4000, 400, fleet.ClassLong),
		floodRate:  30,
		maxRatio:   1.5,
		perMille:   990,
	},
	{
		name:       "paying under a flood of trial requests",
		wanted:     requestKind("paying", "key", 1, 400, 20, fleet.ClassInteractive),
		wantedRate: 60,
		flood:      requestKind("trial", "trial-key", 1, 400, 100, fleet.ClassInteractive),
		floodRate:  200,
		maxRatio:   1.1,
		perMille:   950,
	},
}

// Floods measures the effect of floods on wanted requests, with the policies in use and with
// the baseline.
func Floods() (Group, error) {
	g := Group{
		Name:    "floods",
		Setting: "One node before 4 stand-in engines of 8 slots, 3 ms for each token. The rate of the flood is beyond what the engines can serve. \"Alone\" is the wanted work without the flood, in the same run.",
	}
	for _, f := range floodComparisons {
		for _, p := range comparedPolicies {
			if err := measureFlood(&g, f, p.name, p.policies); err != nil {
				return g, err
			}
		}
	}
	return g, nil
}

func engineFleet(policies entry.Policies) fleetConfig {
	return fleetConfig{
		nodes:       1,
		control:     1,
		engines:     4,
		slots:       8,
		policies:    policies,
		tokenTime:   3 * time.Millisecond,
		promptTime:  10 * time.Millisecond,
		cacheBlocks: 512,
	}
}

func measureFlood(g *Group, f floodComparison, name string, policies entry.Policies) error {
	measuredFleet, err := startFleet(engineFleet(policies))
	if err != nil {
		return err
	}
	defer measuredFleet.close()
	run := func(mix load.Mix) []load.Outcome {
		return load.Run(context.Background(), load.Config{
			Mix:      mix,
			Seeds:    measuredFleet.seeds(),
			Duration: runDuration,
			Seed:     1,
			Attempts: 1,
		})
	}
	alone, _ := answeredTimes(run(load.Mix{
		RatePerSecond: f.wantedRate,
		Kinds:         []load.Kind{f.wanted},
	}), f.wanted.Name)
	wanted, flooding := f.wanted, f.flood
	wanted.Share = f.wantedRate
	flooding.Share = f.floodRate
	with, refused := answeredTimes(run(load.Mix{
		RatePerSecond: f.wantedRate + f.floodRate,
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
		g.addWithBound(label+"ratio", ratio, "times", f.maxRatio)
	}
	return nil
}

// Storm measures lookups while they arrive at ten times their usual rate. The engines can
// serve that rate, so every refusal is a false refusal.
func Storm() (Group, error) {
	g := Group{
		Name:    "storm",
		Setting: "One node before 4 stand-in engines of 8 slots, 3 ms for each token; lookups of 8 tokens at 50 a second, ten times that for 4 seconds, and 2 long requests a second throughout. The engines could serve about 1,000 lookups a second.",
	}
	for _, p := range comparedPolicies {
		if err := measureStorm(&g, p.name, p.policies); err != nil {
			return g, err
		}
	}
	return g, nil
}

func measureStorm(g *Group, name string, policies entry.Policies) error {
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
				requestKind("lookup", "key", 50, 200, 8, fleet.ClassLookup),
				requestKind("long", "key", 2, 4000, 400, fleet.ClassLong),
			},
		},
		Seeds:    f.seeds(),
		Duration: runDuration,
		Seed:     1,
		Attempts: 1,
	})
	times, refused := answeredTimes(outcomes, "lookup")
	g.add(name+": lookups answered", float64(len(times)), "requests")
	g.add(name+": lookups falsely refused", float64(refused), "requests")
	g.add(name+": lookups' total p50", millis(percentile(times, 500)), "ms")
	g.add(name+": lookups' total p99", millis(percentile(times, 990)), "ms")
	return nil
}

func answeredTimes(outcomes []load.Outcome, name string) (times []time.Duration, refused int) {
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

// Prefixes measures the share of prompt tokens that engines have cached.
func Prefixes() (Group, error) {
	g := Group{
		Name:    "placement",
		Setting: "One node before 4 stand-in engines of 8 slots whose caches hold 512 blocks each and whose cache events are late and incomplete; 24 conversations of 2,000 shared bytes at 60 requests a second.",
	}
	for _, p := range comparedPolicies {
		if err := measurePrefixes(&g, p.name, p.policies); err != nil {
			return g, err
		}
	}
	return g, nil
}

func measurePrefixes(g *Group, name string, policies entry.Policies) error {
	cfg := engineFleet(policies)
	cfg.cacheBlocks = 64
	f, err := startFleet(cfg)
	if err != nil {
		return err
	}
	defer f.close()
	mix := load.Mix{RatePerSecond: 60}
	for i := range 24 {
		conversation := requestKind(fmt.Sprintf("conversation %d", i), "key", 1, 2200, 20, fleet.ClassInteractive)
		conversation.SharedPrefix = 2000
		mix.Kinds = append(mix.Kinds, conversation)
	}
	outcomes := load.Run(context.Background(), load.Config{
		Mix:      mix,
		Seeds:    f.seeds(),
		Duration: runDuration,
		Seed:     1,
		Attempts: 1,
	})
	promptTokens, cachedTokens, maxStarted, minStarted := 0, 0, 0, 1<<30
	for _, e := range f.engines {
		stats := e.Stats()
		promptTokens += stats.PromptTokens
		cachedTokens += stats.CachedTokens
		maxStarted = max(maxStarted, stats.Started)
		minStarted = min(minStarted, stats.Started)
	}
	if promptTokens == 0 {
		return eris.New("measure: engines received no prompts")
	}
	var firstTokenTimes []time.Duration
	for _, o := range outcomes {
		if o.Answered {
			firstTokenTimes = append(firstTokenTimes, o.FirstToken)
		}
	}
	g.add(name+": prompt tokens found in cache", 1000*float64(cachedTokens)/float64(promptTokens), "‰")
	g.add(name+": first token p95", millis(percentile(firstTokenTimes, 950)), "ms")
	g.add(name+": busiest engine over the least busy", float64(maxStarted)/float64(max(minStarted, 1)), "times")
	return nil
}

// Overhead measures the overhead of a node: the difference between requests through a node
// and requests directly to an engine, both in this process.
func Overhead() (Group, error) {
	g := Group{
		Name:    "overhead",
		Setting: "One node and one stand-in engine of 64 slots, 2 ms for each token, 40 tokens an answer, 100 requests a second, on loopback. The same requests go straight to the engine for comparison; processor time is that of the whole process in each case.",
	}
	cfg := engineFleet(entry.Policies{})
	cfg.engines = 1
	cfg.slots = 64
	cfg.tokenTime = 2 * time.Millisecond
	f, err := startFleet(cfg)
	if err != nil {
		return g, err
	}
	defer f.close()
	direct := measureDirect(f)
	viaNode := measureViaNode(f)
	g.add("first token p95, straight to the engine", millis(percentile(direct.firstTokenTimes, 950)), "ms")
	g.add("first token p95, through a node", millis(percentile(viaNode.firstTokenTimes, 950)), "ms")
	g.addWithBound("added time to the first token, p95", millis(percentile(viaNode.firstTokenTimes, 950)-percentile(direct.firstTokenTimes, 950)), "ms", 3)
	g.add("added processor time for each request of 40 tokens", micros(viaNode.cpu-direct.cpu)/float64(viaNode.count), "µs")
	g.add("added allocations for each request of 40 tokens", float64(viaNode.allocations-direct.allocations)/float64(viaNode.count), "allocations")
	return g, nil
}

func micros(d time.Duration) float64 {
	return float64(d.Nanoseconds()) / 1000
}

// requestCosts holds the first-token times of requests and the process's resource use.
type requestCosts struct {
	firstTokenTimes []time.Duration
	cpu             time.Duration
	allocations     uint64
	count           int
}

const overheadRequests = 800

func cpuTime() time.Duration {
	usage := syscall.Rusage{}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func measureCosts(run func() []time.Duration) requestCosts {
	before := runtime.MemStats{}
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	firstTokenTimes := run()
	after := runtime.MemStats{}
	runtime.ReadMemStats(&after)
	return requestCosts{
		firstTokenTimes: firstTokenTimes,
		cpu:             cpuTime() - cpu,
		allocations:     after.Mallocs - before.Mallocs,
		count:           len(firstTokenTimes),
	}
}

// runAtFixedRate starts an operation 100 times per second and returns the results of those that
// succeeded. The result of a failed operation is 0.
func runAtFixedRate(operation func() time.Duration) []time.Duration {
	results := make(chan time.Duration, overheadRequests)
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for range overheadRequests {
		<-ticker.C
		go func() { results <- operation() }()
	}
	var durations []time.Duration
	for range overheadRequests {
		if d := <-results; d > 0 {
			durations = append(durations, d)
		}
	}
	return durations
}

func measureDirect(f *testFleet) requestCosts {
	spec := f.changes[0].BackendServer
	client := backend.NewClient(catalog.BackendServer{
		ID:      spec.ID,
		Address: spec.Address,
	})
	defer client.Close()
	return measureCosts(func() []time.Duration {
		return runAtFixedRate(func() time.Duration { return requestDirect(client) })
	})
}

func requestDirect(client *backend.Client) time.Duration {
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

func measureViaNode(f *testFleet) requestCosts {
	cfg := load.Config{
		Mix: load.Mix{
			RatePerSecond: 100,
			Kinds:         []load.Kind{requestKind("k", "key", 1, 0, 40, fleet.ClassInteractive)},
		},
		Seeds:    f.seeds(),
		Duration: overheadRequests * 10 * time.Millisecond,
		Seed:     1,
		Attempts: 1,
	}
	return measureCosts(func() []time.Duration {
		var firstTokenTimes []time.Duration
		for _, o := range load.Run(context.Background(), cfg) {
			if o.Answered {
				firstTokenTimes = append(firstTokenTimes, o.FirstToken)
			}
		}
		return firstTokenTimes
	})
}
