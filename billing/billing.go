// Package billing brings the bill of each request to the ledger, exactly once,
// before the last piece of the answer goes out.
//
// # When the ledger cannot be reached
//
// An entry node that is cut off from the ledger goes on answering from its leases.
// If it kept a bill only in its memory and then died, the caller would have a whole
// answer that nobody billed. So the bill is first copied to another node, in
// another data centre if there is one, and to this node's disk if it has one. Both
// nodes hand it in once they reach the ledger; the ledger bills it once, because a
// bill is known by its request's id.
package billing

import (
	"context"
	"expvar"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/commitlog"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/wire"
)

// MethodHold asks a node to keep settlements until it can hand them in.
const MethodHold wire.Method = "hold"

// Times of a settlement.
const (
	// ledgerPatience is the wait for the ledger before the bill is copied to
	// another node instead.
	ledgerPatience = 1200 * time.Millisecond
	// ledgerDoubt is the same while the ledger was lately out of reach.
	ledgerDoubt   = 150 * time.Millisecond
	doubtPeriod   = 2 * time.Second
	holdPatience  = 400 * time.Millisecond
	handInPause   = 250 * time.Millisecond
	handInTimeout = 3 * time.Second
)

const (
	// handInBatch bounds one command of settlements.
	handInBatch = 256
	// holdCandidates is how many nodes are asked to hold a bill.
	holdCandidates = 4
)

var (
	settledCount = expvar.NewInt("waxwingreel.billing.settled")
	heldCount    = expvar.NewInt("waxwingreel.billing.held")
	heldNow      = expvar.NewInt("waxwingreel.billing.heldNow")
)

// ErrNotRecorded means that a bill is neither in the ledger nor on a second node.
var ErrNotRecorded = eris.New("billing: no other node could take the bill")

// Ledger is the way to the control group.
type Ledger interface {
	Submit(ctx context.Context, command control.Command) (control.Result, error)
	Roster() []roster.Report
	Fresh() bool
}

// PeerClient makes calls to other nodes.
type PeerClient interface {
	Call(ctx context.Context, address netip.AddrPort, method wire.Method, request, response any) error
}

// Config sets up a Recorder.
type Config struct {
	Holder     fleet.Holder
	DataCentre fleet.DataCentre
	Ledger     Ledger
	Peers      PeerClient
	// Disk keeps held settlements across restarts; nil on a node without one.
	Disk commitlog.Disk
	// Refund hears of held settlements of this node that were not billed after
	// all.
	Refund func(budget fleet.BudgetID, tokens fleet.Tokens)
	Log    *event.Log
}

// Recorder records settlements.
type Recorder struct {
	cfg    Config
	queue  *commitlog.Queue
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
	wake   chan struct{}

	mu        sync.Mutex
	held      []ledger.Settlement
	ending    []fleet.Holder
	doubtTill time.Time
	// confirmed lists the ended holders that this node has answered for. It
	// takes no more of their settlements: one that was long under way would
	// come after the ledger has given the quota to others.
	confirmed map[fleet.Holder]bool
	// avoid names the nodes that could not be reached, until when.
	avoid map[fleet.NodeID]time.Time
}

// New opens the held settlements and starts to hand them in.
func New(cfg Config) (*Recorder, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Recorder{
		cfg:    cfg,
		ctx:    ctx,
		cancel: cancel,
		wake:   make(chan struct{}, 1),

		confirmed: map[fleet.Holder]bool{},
		avoid:     map[fleet.NodeID]time.Time{},
	}
	if cfg.Disk != nil {
		if err := r.openQueue(); err != nil {
			cancel()
			return nil, err
		}
	}
	r.wait.Go(func() {
		for r.ctx.Err() == nil {
			r.handIn()
			r.confirmEnded()
			select {
			case <-r.ctx.Done():
			case <-r.wake:
			case <-time.After(handInPause):
			}
		}
	})
	return r, nil
}

func (r *Recorder) openQueue() error {
	queue, items, err := commitlog.OpenQueue(r.cfg.Disk, "held-settlements")
	if err != nil {
		return err
	}
	r.queue = queue
	for _, item := range items {
		s := ledger.Settlement{}
		if err := wire.Decode(item, &s); err != nil {
			return eris.Wrap(err, "billing: read the held settlements")
		}
		r.held = append(r.held, s)
	}
	heldNow.Set(int64(len(r.held)))
	return nil
}

// Close stops handing in. Held tells whether anything is left.
func (r *Recorder) Close() {
	r.cancel()
	r.wait.Wait()
	if r.queue != nil {
		_ = r.queue.Close()
	}
}

// Held returns how many settlements wait to be handed in.
func (r *Recorder) Held() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held)
}

// Settle returns once the settlement is in the ledger or on a second node. In the
// second case the result says that it is settled, which the ledger may still
// correct when it learns of an earlier bill.
func (r *Recorder) Settle(ctx context.Context, s ledger.Settlement) (ledger.SettleResult, error) {
	patience := ledgerPatience
	if r.doubtful() {
		patience = ledgerDoubt
	}
	attempt, cancel := context.WithTimeout(ctx, patience)
	result, err := r.cfg.Ledger.Submit(attempt, control.Command{
		Settle: &ledger.Settle{Settlements: []ledger.Settlement{s}},
	})
	cancel()
	if err == nil && len(result.Settled) == 1 {
		settledCount.Add(1)
		return result.Settled[0], nil
	}
	r.doubt()
	return r.hold(ctx, s)
}

func (r *Recorder) doubtful() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.cfg.Ledger.Fresh() || time.Now().Before(r.doubtTill)
}

func (r *Recorder) doubt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubtTill = time.Now().Add(doubtPeriod)
}

// hold copies the settlement to another node and keeps it. A node that reaches no
// other keeps it on its own synced disk, if it has one.
func (r *Recorder) hold(ctx context.Context, s ledger.Settlement) (ledger.SettleResult, error) {
	batch := ledger.Settle{Settlements: []ledger.Settlement{s}}
	copied := r.copyToPeer(ctx, batch)
	if err := r.keep(batch.Settlements); err != nil {
		return ledger.SettleResult{}, err
	}
	if !copied && r.queue == nil {
		return ledger.SettleResult{}, ErrNotRecorded
	}
	heldCount.Add(1)
	return ledger.SettleResult{
		Status:  ledger.SettledNow,
		Billed:  s.Tokens,
		Charged: s.Tokens,
	}, nil
}

func (r *Recorder) copyToPeer(ctx context.Context, batch ledger.Settle) bool {
	for _, candidate := range r.candidates() {
		attempt, cancel := context.WithTimeout(ctx, holdPatience)
		kept := false
		err := r.cfg.Peers.Call(attempt, candidate.WireAddress, MethodHold, batch, &kept)
		cancel()
		if err == nil && kept {
			return true
		}
		if err != nil {
			r.mu.Lock()
			r.avoid[candidate.Holder.Node] = time.Now().Add(doubtPeriod)
			r.mu.Unlock()
		}
	}
	return false
}

// candidates lists the live nodes, those in other data centres and those with a
// disk first.
func (r *Recorder) candidates() []roster.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []roster.Report
	for _, report := range r.cfg.Ledger.Roster() {
		node := report.Holder.Node
		if node != r.cfg.Holder.Node && report.State != roster.StateDead && time.Now().After(r.avoid[node]) {
			candidates = append(candidates, report)
		}
	}
	slices.SortStableFunc(candidates, func(a, b roster.Report) int {
		return r.holdCost(a) - r.holdCost(b)
	})
	return candidates[:min(holdCandidates, len(candidates))]
}

func (r *Recorder) holdCost(report roster.Report) int {
	cost := 0
	if report.DataCentre == r.cfg.DataCentre {
		cost += 2
	}
	if !report.Control {
		cost++
	}
	return cost
}

// keep stores settlements until they are handed in.
func (r *Recorder) keep(settlements []ledger.Settlement) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue != nil {
		var items [][]byte
		for _, s := range settlements {
			item, err := cbor.Marshal(s)
			if err != nil {
				return eris.Wrap(err, "billing: encode a settlement")
			}
			items = append(items, item)
		}
		if err := r.queue.Append(items...); err != nil {
			return err
		}
	}
	r.held = append(r.held, settlements...)
	heldNow.Set(int64(len(r.held)))
	return nil
}

// HandleHold takes in another node's settlements. It is the handler of MethodHold.
func (r *Recorder) HandleHold(_ context.Context, from fleet.NodeID, body []byte) (any, error) {
	batch := ledger.Settle{}
	if err := wire.Decode(body, &batch); err != nil {
		return nil, err
	}
	if r.answeredFor(batch.Settlements) {
		return false, nil
	}
	if err := r.keep(batch.Settlements); err != nil {
		return nil, err
	}
	r.cfg.Log.Info(event.SettlementHeld).Str("for", string(from)).Int("count", len(batch.Settlements)).Msg("holds settlements for a node that cannot reach the ledger")
	return true, nil
}

func (r *Recorder) answeredFor(settlements []ledger.Settlement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(settlements, func(s ledger.Settlement) bool { return r.confirmed[s.Holder] })
}

// handIn brings the held settlements to the ledger, oldest first.
func (r *Recorder) handIn() {
	for r.ctx.Err() == nil {
		r.mu.Lock()
		batch := slices.Clone(r.held[:min(handInBatch, len(r.held))])
		r.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(r.ctx, handInTimeout)
		result, err := r.cfg.Ledger.Submit(ctx, control.Command{Settle: &ledger.Settle{Settlements: batch}})
		cancel()
		if err != nil || len(result.Settled) != len(batch) {
			return
		}
		r.handedIn(batch, result.Settled)
	}
}

func (r *Recorder) handedIn(batch []ledger.Settlement, results []ledger.SettleResult) {
	r.mu.Lock()
	r.held = slices.Clone(r.held[len(batch):])
	heldNow.Set(int64(len(r.held)))
	if len(r.held) == 0 && r.queue != nil {
		if err := r.queue.Clear(); err != nil {
			r.cfg.Log.Error(event.SettlementDropped).Err(err).Msg("cannot clear the held settlements; they will be handed in again")
		}
	}
	r.mu.Unlock()
	r.cfg.Log.Info(event.SettlementHandedIn).Int("count", len(batch)).Msg("held settlements are in the ledger")
	for i, result := range results {
		r.account(batch[i], result)
	}
}

// account gives back to this node's lease what was not billed to it. A settlement
// that the holding peer handed in first gets the same result as the peer's.
func (r *Recorder) account(s ledger.Settlement, result ledger.SettleResult) {
	refund := s.Tokens - result.Charged
	if result.Status == ledger.SettleTooOld || result.Status == ledger.SettleUnbacked {
		r.cfg.Log.Error(event.SettlementDropped).
			Str("request", s.Key.Request.String()).
			Str("budget", string(s.Budget)).
			Int64("tokens", int64(s.Tokens)).
			Str("status", string(result.Status)).
			Msg("the ledger did not bill a held settlement")
	}
	if s.Holder == r.cfg.Holder && refund > 0 {
		r.cfg.Refund(s.Budget, refund)
	}
}

// HandleEndedHolders takes note of ended holders whose settlements the ledger waits for.
func (r *Recorder) HandleEndedHolders(holders []fleet.Holder) {
	r.mu.Lock()
	r.ending = holders
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// confirmEnded tells the ledger that this node holds nothing of an ended holder.
func (r *Recorder) confirmEnded() {
	r.mu.Lock()
	ending := r.ending
	r.ending = nil
	var clean []fleet.Holder
	for _, ended := range ending {
		holds := slices.ContainsFunc(r.held, func(s ledger.Settlement) bool { return s.Holder == ended })
		if !holds {
			r.confirmed[ended] = true
			clean = append(clean, ended)
		}
	}
	r.mu.Unlock()
	for _, ended := range clean {
		ctx, cancel := context.WithTimeout(r.ctx, handInTimeout)
		_, _ = r.cfg.Ledger.Submit(ctx, control.Command{Confirm: &ledger.ConfirmNoneHeld{
			By:    r.cfg.Holder,
			Ended: ended,
		}})
		cancel()
	}
}
