// Package metrics counts events and measures times, and writes them as text for a
// collector. It is safe for concurrent use, and bounded: routes come and go.
package metrics

import (
	"expvar"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// bucketMillis are the upper bounds of the latency histograms.
var bucketMillis = [...]int64{5, 10, 20, 50, 100, 200, 400, 600, 800, 1000, 1500, 2500, 4000, 8000, 15000}

// maxSeries bounds the label sets of all counters, and of all histograms.
const maxSeries = 512

// prefix begins all names.
const prefix = "waxwingreel_"

// Label is a name and a value that tell series of one metric apart.
type Label struct {
	Name  string
	Value string
}

// Set is a process's metrics.
type Set struct {
	mu         sync.Mutex
	counters   map[series]int64
	histograms map[series]*histogram
	gauges     []func(gauge func(name string, value float64))
}

type series struct {
	name   string
	labels string
}

type histogram struct {
	buckets [len(bucketMillis) + 1]int64
	sum     time.Duration
	count   int64
}

// New returns an empty set.
func New() *Set {
	return &Set{
		counters:   map[series]int64{},
		histograms: map[series]*histogram{},
	}
}

func newSeries(name string, labels []Label) series {
	texts := make([]string, 0, len(labels))
	for _, l := range labels {
		texts = append(texts, l.Name+"="+strconv.Quote(l.Value))
	}
	return series{
		name:   prefix + name,
		labels: strings.Join(texts, ","),
	}
}

// Count adds one to the counter of a name, without prefix and ending, and its labels.
func (m *Set) Count(name string, labels ...Label) {
	s := newSeries(name+"_total", labels)
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.counters[s]; ok || len(m.counters) < maxSeries {
		m.counters[s]++
	}
}

// Observe adds a time to the histogram of a name, without prefix and unit, and its labels.
func (m *Set) Observe(name string, took time.Duration, labels ...Label) {
	s := newSeries(name+"_seconds", labels)
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.histograms[s]
	if !ok {
		if len(m.histograms) >= maxSeries {
			return
		}
		h = &histogram{}
		m.histograms[s] = h
	}
	i := sort.Search(len(bucketMillis), func(i int) bool { return took.Milliseconds() <= bucketMillis[i] })
	h.buckets[i]++
	h.sum += took
	h.count++
}

// BoolValue is the value of a gauge that is 1 while something holds.
func BoolValue(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// AddGauges adds a function that is asked for present values at each writing.
func (m *Set) AddGauges(ask func(gauge func(name string, value float64))) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges = append(m.gauges, ask)
}

// Write writes all metrics as text, in order, with the process's expvar integers.
func (m *Set) Write(w io.Writer) {
	lines := m.series()
	m.mu.Lock()
	gauges := m.gauges
	m.mu.Unlock()
	for _, ask := range gauges {
		ask(func(name string, value float64) {
			lines = append(lines, prefix+name+" "+strconv.FormatFloat(value, 'f', -1, 64)+"\n")
		})
	}
	expvar.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok {
			lines = append(lines, fmt.Sprintf("%s %d\n", strings.ReplaceAll(kv.Key, ".", "_"), n.Value()))
		}
	})
	_, _ = io.WriteString(w, strings.Join(lines, ""))
}

func (m *Set) series() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lines []string
	for s, n := range m.counters {
		lines = append(lines, fmt.Sprintf("%s{%s} %d\n", s.name, s.labels, n))
	}
	sort.Strings(lines)
	ordered := make([]series, 0, len(m.histograms))
	for s := range m.histograms {
		ordered = append(ordered, s)
	}
	sort.Slice(ordered, func(i, j int) bool {
		return ordered[i].name+ordered[i].labels < ordered[j].name+ordered[j].labels
	})
	for _, s := range ordered {
		lines = append(lines, m.histograms[s].lines(s)...)
	}
	return lines
}

func (h *histogram) lines(s series) []string {
	var lines []string
	total := int64(0)
	for i, n := range h.buckets {
		total += n
		bound := "+Inf"
		if i < len(bucketMillis) {
			bound = strconv.FormatFloat(float64(bucketMillis[i])/1000, 'f', -1, 64)
		}
		lines = append(lines, fmt.Sprintf("%s_bucket{%s,le=\"%s\"} %d\n", s.name, s.labels, bound, total))
	}
	return append(lines,
		fmt.Sprintf("%s_sum{%s} %.3f\n", s.name, s.labels, h.sum.Seconds()),
		fmt.Sprintf("%s_count{%s} %d\n", s.name, s.labels, h.count))
}
