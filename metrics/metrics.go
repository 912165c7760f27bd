// Package metrics keeps counters, latency histograms and gauges, and writes them in the
// Prometheus text format. It is safe for concurrent use. The number of series is bounded,
// because label values such as route names change over time.
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

// bucketMillis are the upper bounds of the buckets of latency histograms.
var bucketMillis = [...]int64{5, 10, 20, 50, 100, 200, 400, 600, 800, 1000, 1500, 2500, 4000, 8000, 15000}

// maxSeries is the maximum number of counter series, and of histogram series. Further
// series are ignored.
const maxSeries = 512

// prefix is the common prefix of metric names.
const prefix = "waxwingreel_"

// Label is a name and a value that distinguish series of the same metric.
type Label struct {
	Name  string
	Value string
}

// Set holds the metrics of a process.
type Set struct {
	mu         sync.Mutex
	counters   map[series]int64
	histograms map[series]*histogram
	gauges     []func(gauge func(name string, value float64))
}

// series identifies a series by its metric name and its formatted labels.
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

// Count adds one to a counter. The prefix and the suffix "_total" are added to the name.
func (m *Set) Count(name string, labels ...Label) {
	s := newSeries(name+"_total", labels)
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.counters[s]; ok || len(m.counters) < maxSeries {
		m.counters[s]++
	}
}

// Observe adds a duration to a histogram. The prefix and the suffix "_seconds" are added to
// the name.
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

// BoolValue returns the value of a gauge that is 1 while a condition holds and 0 otherwise.
func BoolValue(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// AddGauges adds a function that reports the current values of gauges. Each Write calls it.
func (m *Set) AddGauges(report func(gauge func(name string, value float64))) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges = append(m.gauges, report)
}

// Write writes all metrics as text, including the integers that the process publishes with
// expvar. Counters and histograms are sorted.
func (m *Set) Write(w io.Writer) {
	lines := m.seriesLines()
	m.mu.Lock()
	gauges := m.gauges
	m.mu.Unlock()
	for _, report := range gauges {
		report(func(name string, value float64) {
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

// seriesLines returns the lines of all counters and histograms, sorted.
func (m *Set) seriesLines() []string {
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
	cumulative := int64(0)
	for i, n := range h.buckets {
		cumulative += n
		bound := "+Inf"
		if i < len(bucketMillis) {
			bound = strconv.FormatFloat(float64(bucketMillis[i])/1000, 'f', -1, 64)
		}
		lines = append(lines, fmt.Sprintf("%s_bucket{%s,le=\"%s\"} %d\n", s.name, s.labels, bound, cumulative))
	}
	return append(lines,
		fmt.Sprintf("%s_sum{%s} %.3f\n", s.name, s.labels, h.sum.Seconds()),
		fmt.Sprintf("%s_count{%s} %d\n", s.name, s.labels, h.count))
}
