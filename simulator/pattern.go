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

// Class is one kind of request.
type Class struct {
	Name string
	// Rate is the requests a second.
	Rate float64
	// Shared is the prompt's part that all requests about one of Subjects share, Own
	// the mean of the rest, which has a heavy tail, Output the tokens of an answer.
	Shared   fleet.Tokens
	Own      fleet.Tokens
	Output   fleet.Tokens
	Subjects int
	// Aim is the time to the first token, Deadline that after which a caller leaves.
	Aim      time.Duration
	Deadline time.Duration
	Priority int
}

// Event changes something at a time, for a while.
type Event struct {
	At   time.Duration
	For  time.Duration
	Kind string
	// Class names the class that an event is about, Times how much, Count how many
	// engines.
	Class string
	Times float64
	Count int
}

// Pattern is an arrival pattern with what happens to the engines meanwhile.
type Pattern struct {
	Name        string
	Seed        uint64
	Nodes       int
	Engines     int
	DataCentres int
	Workspaces  int
	Length      time.Duration
	Lag         time.Duration
	Engine      EngineConfig
	Classes     []Class
	Events      []Event
	// Wants are the expectations of the pattern, for tests: a figure, and the least
	// or most that it may be.
	Wants []Want
}

// Want is one expectation: "inAim digest at least 900".
type Want struct {
	Figure string
	Class  string
	Least  bool
	Value  float64
}

// fields reads name=value words.
type fields map[string]string

func (f fields) number(name string, fallback float64) (float64, error) {
	text, ok := f[name]
	if !ok {
		return fallback, nil
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, eris.Errorf("%s=%s is no number", name, text)
	}
	return n, nil
}

// numbers reads several, all of which must be sound.
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

// ReadPattern reads a pattern. Lines that begin with # are comments; the others hold a
// word and then name=value fields:
//
//	fleet nodes=8 engines=12 dataCentres=4 workspaces=10 seconds=30 seed=1 lagMillis=2
//	engine slots=64 memory=400000 stepMillis=3 perRequestMicros=40 prefill=60 chunk=512
//	class name=digest rate=17 shared=13300 own=3700 output=120 subjects=96 aimMillis=600 deadlineMillis=8000
//	event kind=burst at=10 for=5 class=digest times=3
//	event kind=crash at=10 for=5 count=3
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
		if err := p.line(words, f); err != nil {
			return nil, eris.Wrapf(err, "%s:%d", name, n)
		}
	}
	return p, lines.Err()
}

func (p *Pattern) line(words []string, f fields) error {
	switch words[0] {
	case "fleet":
		return p.fleet(f)
	case "engine":
		return p.engine(f)
	case "class":
		return p.class(f)
	case "event":
		return p.event(f)
	case "want":
		return p.want(words, f)
	}
	return eris.Errorf("unknown word %q; hint: fleet, engine, class, event or want", words[0])
}

func (p *Pattern) fleet(f fields) error {
	nodes, engines, dataCentres, workspaces, seconds, seed, lag := 8.0, 12.0, 4.0, 10.0, 30.0, 1.0, 2.0
	err := f.numbers(map[string]*float64{
		"nodes":       &nodes,
		"engines":     &engines,
		"dataCentres": &dataCentres,
		"workspaces":  &workspaces,
		"seconds":     &seconds,
		"seed":        &seed,
		"lagMillis":   &lag,
	})
	p.Nodes, p.Engines, p.DataCentres, p.Workspaces = int(nodes), int(engines), int(dataCentres), int(workspaces)
	p.Length, p.Seed, p.Lag = secondsOf(seconds), uint64(seed), secondsOf(lag/1000)
	return err
}

func secondsOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (p *Pattern) engine(f fields) error {
	slots, memory, step, each, prefill, chunk := 64.0, 400_000.0, 3.0, 40.0, 60.0, 512.0
	err := f.numbers(map[string]*float64{
		"slots":            &slots,
		"memory":           &memory,
		"stepMillis":       &step,
		"perRequestMicros": &each,
		"prefill":          &prefill,
		"chunk":            &chunk,
	})
	p.Engine = EngineConfig{
		Slots:          int(slots),
		Memory:         fleet.Tokens(memory),
		Step:           secondsOf(step / 1000),
		StepPerRequest: secondsOf(each / 1e6),
		Prefill:        prefill,
		Chunk:          fleet.Tokens(chunk),
	}
	return err
}

func (p *Pattern) class(f fields) error {
	rate, shared, own, output, subjects, aim, deadline, priority := 1.0, 0.0, 1000.0, 100.0, 1.0, 500.0, 8000.0, 0.0
	err := f.numbers(map[string]*float64{
		"rate":           &rate,
		"shared":         &shared,
		"own":            &own,
		"output":         &output,
		"subjects":       &subjects,
		"aimMillis":      &aim,
		"deadlineMillis": &deadline,
		"priority":       &priority,
	})
	p.Classes = append(p.Classes, Class{
		Name:     f["name"],
		Rate:     rate,
		Shared:   fleet.Tokens(shared),
		Own:      fleet.Tokens(own),
		Output:   fleet.Tokens(output),
		Subjects: int(subjects),
		Aim:      secondsOf(aim / 1000),
		Deadline: secondsOf(deadline / 1000),
		Priority: int(priority),
	})
	return err
}

func (p *Pattern) event(f fields) error {
	at, last, times, count := 0.0, 1.0, 1.0, 1.0
	err := f.numbers(map[string]*float64{
		"at":    &at,
		"for":   &last,
		"times": &times,
		"count": &count,
	})
	p.Events = append(p.Events, Event{
		At:    secondsOf(at),
		For:   secondsOf(last),
		Kind:  f["kind"],
		Class: f["class"],
		Times: times,
		Count: int(count),
	})
	return err
}

func (p *Pattern) want(words []string, f fields) error {
	if len(words) < 3 {
		return eris.New("want needs a figure and least= or most=")
	}
	w := Want{
		Figure: words[1],
		Class:  f["class"],
	}
	bound := "most"
	if _, ok := f["least"]; ok {
		w.Least = true
		bound = "least"
	}
	value, err := f.number(bound, 0)
	w.Value = value
	p.Wants = append(p.Wants, w)
	return err
}
