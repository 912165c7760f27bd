package simulator

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Class is a class of requests.
type Class struct {
	Name string
	// Rate is the arrival rate in requests per second.
	Rate float64
	// Shared is the size of the prompt part that all requests with the same subject
	// share, Own the mean size of the rest, which has a heavy-tailed distribution, Output
	// the size of a completion, and Subjects the number of subjects.
	Shared   fleet.Tokens
	Own      fleet.Tokens
	Output   fleet.Tokens
	Subjects int
	// Target is the target time to the first token, Deadline the time after which a
	// caller disconnects.
	Target   time.Duration
	Deadline time.Duration
	Priority int
	// Worth is the credit of a response in time, LateWorth that of a later one.
	Worth     float64
	LateWorth float64
}

// Event is a temporary change of the load or of engines.
type Event struct {
	At   time.Duration
	For  time.Duration
	Kind string
	// Class is the affected class of requests, Count the number of affected engines or
	// workspaces. Factor is the rate factor of a burst or of hot workspaces, the share of the
	// hot subject, of callers that leave or of those that repeat at once, the slowdown of slow
	// engines or the failure rate of grey ones.
	Class  string
	Factor float64
	Count  int
}

// Pattern describes a fleet, its load and the events during a simulation.
type Pattern struct {
	Name        string
	Seed        uint64
	Nodes       int
	Engines     int
	DataCentres int
	Workspaces  int
	// Skew is how uneven the workspaces are: the weight of the nth is 1/n to its power.
	Skew float64
	// Sticky is the number of workspaces, the busiest first, whose callers keep to one node.
	Sticky int
	// LinkBytesPerSecond is the rate of each node's link in either direction, 0 for no limit.
	LinkBytesPerSecond float64
	// ReportLag is the age of an engine's load report when it comes.
	ReportLag time.Duration
	// Length is how long new requests arrive, Delay the one-way network delay.
	Length  time.Duration
	Delay   time.Duration
	Engine  EngineConfig
	Classes []Class
	Events  []Event
	// Wants are bounds of metrics that tests check.
	Wants []Want
}

// Want is a bound of a metric, such as inAim of class digest of at least 900. Value is a lower
// bound if AtLeast is set, else an upper bound.
type Want struct {
	Metric  string
	Class   string
	AtLeast bool
	Value   float64
}

// fields holds the name=value fields of a line.
type fields map[string]string

func (f fields) number(name string, fallback float64) (float64, error) {
	text, ok := f[name]
	if !ok {
		return fallback, nil
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, eris.Errorf("%s=%s is not a number", name, text)
	}
	return n, nil
}

// numbers parses several fields. A field that is absent keeps its default.
func (f fields) numbers(into map[string]*float64) error {
	for name, to := range into {
		n, err := f.number(name, *to)
		if err != nil {
			return err
		}
		*to = n
	}
	return nil
}

// ReadPattern parses a pattern. Lines that begin with # are comments; other lines consist of a
// keyword and name=value fields:
//
//	fleet nodes=8 engines=12 dataCentres=4 workspaces=10 seconds=30 seed=1 lagMillis=2
//	engine slots=64 memory=400000 stepMillis=3 perRequestMicros=40 prefill=60 chunk=512 makes=0.6/1/1.6 noiseShare=0.15 noiseTimes=2 noiseMillis=600
//	class name=digest rate=17 shared=13300 own=3700 output=120 subjects=96 aimMillis=600 deadlineMillis=8000
//	event kind=burst at=10 for=5 class=digest times=3
//	event kind=crash at=10 for=5 count=3
//	event kind=workspaces at=10 for=5 count=4 times=7
//	event kind=leave at=10 for=5 times=0.3
//	event kind=repeat at=10 for=5 times=0.3
//	want inAim class=digest least=900
func ReadPattern(name string, r io.Reader) (*Pattern, error) {
	p := &Pattern{Name: name}
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		f := fields{}
		for _, word := range words[1:] {
			key, value, _ := strings.Cut(word, "=")
			f[key] = value
		}
		if err := p.parseLine(words, f); err != nil {
			return nil, eris.Wrapf(err, "%s:%d", name, n)
		}
	}
	return p, lines.Err()
}

func (p *Pattern) parseLine(words []string, f fields) error {
	switch words[0] {
	case "fleet":
		return p.parseFleet(f)
	case "engine":
		return p.parseEngine(f)
	case "class":
		return p.parseClass(f)
	case "event":
		return p.parseEvent(f)
	case "want":
		return p.parseWant(words, f)
	}
	return eris.Errorf("unknown keyword %q; hint: fleet, engine, class, event or want", words[0])
}

func (p *Pattern) parseFleet(f fields) error {
	nodes, engines, dataCentres, workspaces, seconds, seed, delay := 8.0, 12.0, 4.0, 10.0, 30.0, 1.0, 2.0
	sticky, link, lag, skew := 0.0, 0.0, 0.0, 1.0
	err := f.numbers(map[string]*float64{
		"nodes":       &nodes,
		"engines":     &engines,
		"dataCentres": &dataCentres,
		"workspaces":  &workspaces,
		"seconds":     &seconds,
		"seed":        &seed,
		"lagMillis":   &delay,
		"sticky":      &sticky,
		"linkMegabit": &link,

		"reportLagMillis": &lag,
		"skew":            &skew,
	})
	p.Skew = skew
	p.ReportLag = durationOf(lag / 1000)
	p.Sticky, p.LinkBytesPerSecond = int(sticky), link*1e6/8
	p.Nodes, p.Engines, p.DataCentres, p.Workspaces = int(nodes), int(engines), int(dataCentres), int(workspaces)
	p.Length, p.Seed, p.Delay = durationOf(seconds), uint64(seed), durationOf(delay/1000)
	return err
}

func durationOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (p *Pattern) parseEngine(f fields) error {
	slots, memory, step, perRequest, prefill, chunk := 64.0, 400_000.0, 3.0, 40.0, 60.0, 512.0
	noiseShare, noiseFactor, noiseMillis := 0.0, 1.0, 0.0
	err := f.numbers(map[string]*float64{
		"slots":            &slots,
		"memory":           &memory,
		"stepMillis":       &step,
		"perRequestMicros": &perRequest,
		"prefill":          &prefill,
		"chunk":            &chunk,
		"noiseShare":       &noiseShare,
		"noiseTimes":       &noiseFactor,
		"noiseMillis":      &noiseMillis,
	})
	p.Engine = EngineConfig{
		Slots:          int(slots),
		Memory:         fleet.Tokens(memory),
		Step:           durationOf(step / 1000),
		StepPerRequest: durationOf(perRequest / 1e6),
		Prefill:        prefill,
		Chunk:          fleet.Tokens(chunk),
		NoiseShare:     noiseShare,
		NoiseFactor:    noiseFactor,
		NoiseTime:      durationOf(noiseMillis / 1000),
	}
	if err != nil || f["makes"] == "" {
		return err
	}
	for text := range strings.SplitSeq(f["makes"], "/") {
		speed, err := strconv.ParseFloat(text, 64)
		if err != nil || speed <= 0 {
			return eris.Errorf("makes=%s is not a list of speeds", f["makes"])
		}
		p.Engine.Makes = append(p.Engine.Makes, speed)
	}
	return nil
}

func (p *Pattern) parseClass(f fields) error {
	rate, shared, own, output, subjects, target, deadline, priority := 1.0, 0.0, 1000.0, 100.0, 1.0, 500.0, 8000.0, 0.0
	worth, late := 1.0, 0.1
	err := f.numbers(map[string]*float64{
		"rate":           &rate,
		"shared":         &shared,
		"own":            &own,
		"output":         &output,
		"subjects":       &subjects,
		"aimMillis":      &target,
		"deadlineMillis": &deadline,
		"priority":       &priority,
		"worth":          &worth,
		"late":           &late,
	})
	p.Classes = append(p.Classes, Class{
		Name:     f["name"],
		Rate:     rate,
		Shared:   fleet.Tokens(shared),
		Own:      fleet.Tokens(own),
		Output:   fleet.Tokens(output),
		Subjects: int(subjects),
		Target:   durationOf(target / 1000),
		Deadline: durationOf(deadline / 1000),
		Priority: int(priority),

		Worth:     worth,
		LateWorth: late,
	})
	return err
}

func (p *Pattern) parseEvent(f fields) error {
	at, length, factor, count := 0.0, 1.0, 1.0, 1.0
	err := f.numbers(map[string]*float64{
		"at":    &at,
		"for":   &length,
		"times": &factor,
		"count": &count,
	})
	p.Events = append(p.Events, Event{
		At:     durationOf(at),
		For:    durationOf(length),
		Kind:   f["kind"],
		Class:  f["class"],
		Factor: factor,
		Count:  int(count),
	})
	return err
}

func (p *Pattern) parseWant(words []string, f fields) error {
	if len(words) < 3 {
		return eris.New("want line needs a metric and least= or most=")
	}
	w := Want{
		Metric: words[1],
		Class:  f["class"],
	}
	bound := "most"
	if _, ok := f["least"]; ok {
		w.AtLeast = true
		bound = "least"
	}
	value, err := f.number(bound, 0)
	w.Value = value
	p.Wants = append(p.Wants, w)
	return err
}
