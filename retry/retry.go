// Package retry limits retries, so that they do not overload servers that already fail.
package retry

// Budget limits retries in proportion to first attempts, as a token bucket. With a ratio
// of 0.1, a hundred requests allow ten retries. Without a limit, three attempts for each
// request would treble the load on servers that fail under load.
//
// Budget is not safe for concurrent use.
type Budget struct {
	ratio     float64
	burst     float64
	available float64
}

// Config configures a Budget.
type Config struct {
	// Ratio is the number of retries that each first attempt adds to the budget.
	Ratio float64
	// Burst is the maximum number of retries in the budget.
	Burst float64
}

// New returns a full budget.
func New(cfg Config) *Budget {
	return &Budget{
		ratio:     cfg.Ratio,
		burst:     cfg.Burst,
		available: cfg.Burst,
	}
}

// SetBurst changes the maximum and scales the available retries in proportion, so that
// several budgets that share a limit do not exceed it together.
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

// Retry reports whether a retry is allowed and, if so, takes it from the budget.
func (b *Budget) Retry() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
