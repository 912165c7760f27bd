// Package retry bounds retries, so that a fault does not turn into a flood.
package retry

// Budget allows retries in proportion to first attempts. With a ratio of 0.1, a
// hundred requests pay for ten retries; without a bound, three attempts for each
// request would treble the load on servers that fail under load.
//
// Budget is not safe for concurrent use.
type Budget struct {
	ratio float64
	burst float64
	available float64
}

// Config sets up a Budget.
type Config struct {
	// Ratio is how many retries each request pays for.
	Ratio float64
	// Burst is how many retries can be saved up.
	Burst float64
}

// New returns a budget with a full burst.
func New(cfg Config) *Budget {
	return &Budget{
		ratio: cfg.Ratio,
		burst: cfg.Burst,
		available: cfg.Burst,
	}
}

// SetBurst changes how many retries can be saved up. What is saved changes in
// proportion, so that several budgets that share a bound keep to it together.
func (b *Budget) SetBurst(burst float64) {
	if b.burst > 0 {
		b.available *= burst / b.burst
	}
	b.burst = burst
}

// Request counts a first attempt.
func (b *Budget) Request() {
	b.available = min(b.available+b.ratio, b.burst)
}

// Retry reports whether a retry is allowed, and counts it if so.
func (b *Budget) Retry() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
