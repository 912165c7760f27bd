package gateway

import (
	"expvar"
	"fmt"
	"io"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/backend"
)

// bucketMillis are the upper bounds of the latency histograms.
var bucketMillis = [...]int64{5, 10, 20, 50, 100, 200, 400, 600, 800, 1000, 1500, 2500, 4000, 8000, 15000}

// maxSeries bounds the label sets of one metric. Routes come and go.
const maxSeries = 512

// Metrics counts requests and measures their times.
type Metrics struct {
	mu         sync.Mutex
	counters   map[series]int64
	histograms map[series]*histogram
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

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	return &Metrics{
		counters:   map[series]int64{},
		histograms: map[series]*histogram{},
	}
}

// Request counts a request's end.
func (m *Metrics) Request(route string, status int, cause Cause, took time.Duration) {
	labels := `route="` + route + `",status="` + strconv.Itoa(status) + `",cause="` + string(cause) + `"`
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(series{
		name:   "waxwingreel_requests_total",
		labels: labels,
	})
	m.observe(series{
		name:   "waxwingreel_request_seconds",
		labels: `route="` + route + `"`,
	}, took)
}

// FirstByte measures the time until an answer began.
func (m *Metrics) FirstByte(route string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(series{
		name:   "waxwingreel_first_byte_seconds",
		labels: `route="` + route + `"`,
	}, took)
}

// Count adds one to a counter with a cause.
func (m *Metrics) Count(name, cause string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(series{
		name:   "waxwingreel_" + name + "_total",
		labels: `cause="` + cause + `"`,
	})
}

func (m *Metrics) add(s series) {
	if _, ok := m.counters[s]; ok || len(m.counters) < maxSeries {
		m.counters[s]++
	}
}

func (m *Metrics) observe(s series, took time.Duration) {
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

// Write writes all metrics as text, with the process's expvar integers.
func (m *Metrics) Write(w io.Writer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s, n := range m.counters {
		_, _ = fmt.Fprintf(w, "%s{%s} %d\n", s.name, s.labels, n)
	}
	for s, h := range m.histograms {
		h.write(w, s)
	}
	opened, reused := backend.ConnCounts()
	_, _ = fmt.Fprintf(w, "waxwingreel_connections_opened_total %d\nwaxwingreel_connections_reused_total %d\n", opened, reused)
	expvar.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok {
			_, _ = fmt.Fprintf(w, "%s %d\n", kv.Key, n.Value())
		}
	})
}

func (h *histogram) write(w io.Writer, s series) {
	total := int64(0)
	for i, n := range h.buckets {
		total += n
		bound := "+Inf"
		if i < len(bucketMillis) {
			bound = strconv.FormatFloat(float64(bucketMillis[i])/1000, 'f', -1, 64)
		}
		_, _ = fmt.Fprintf(w, "%s_bucket{%s,le=\"%s\"} %d\n", s.name, s.labels, bound, total)
	}
	_, _ = fmt.Fprintf(w, "%s_sum{%s} %.3f\n%s_count{%s} %d\n", s.name, s.labels, h.sum.Seconds(), s.name, s.labels, h.count)
}
