// Package billing records the settlement of each request in the ledger, exactly once,
// before the end of the response is sent to the caller.
//
// # When the ledger is unreachable
//
// An entry node that is partitioned from the ledger continues to serve requests from
// its leases. If it kept a settlement only in memory and then crashed, the caller would
// have a complete response that was never billed. So the settlement is first copied to
// another node, preferably in another data centre, and to this node's disk if it has
// one. Both nodes submit it once they reach the ledger. The ledger bills it only once,
// because it identifies settlements by request id.
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

// MethodHold is the call that has another node store settlements until it can submit them to
// the ledger.
const MethodHold wire.Method = "hold"

// Timeouts and intervals of recording a settlement.
const (
	// ledgerTimeout is how long the ledger may take before the settlement is
	// copied to another node instead.
	ledgerTimeout = 1200 * time.Millisecond
	// suspectLedgerTimeout replaces ledgerTimeout while the ledger is suspected to be
	// unreachable.
	suspectLedgerTimeout = 150 * time.Millisecond
	// suspectPeriod is how long the ledger or a node is suspected to be unreachable
	// after a failed call.
	suspectPeriod  = 2 * time.Second
	holdTimeout    = 400 * time.Millisecond
	submitInterval = 250 * time.Millisecond
	submitTimeout  = 3 * time.Second
)

const (
	// maxBatch is the maximum number of settlements in one command.
	maxBatch = 256
	// maxCandidates is the maximum number of nodes that are asked to hold a
	// settlement.
	maxCandidates = 4
)

var (
	settledCount = expvar.NewInt("waxwingreel.billing.settled")
	heldCount    = expvar.NewInt("waxwingreel.billing.held")
	heldNow      = expvar.NewInt("waxwingreel.billing.heldNow")
)

// ErrNotRecorded means that a settlement could be recorded neither in the ledger, nor on
// another node, nor on this node's disk.
var ErrNotRecorded = eris.New("billing: cannot record the settlement: no other node accepted it and this node has no disk")

// Ledger submits commands to the control group, which replicates the ledger.
type Ledger interface {
	Submit(ctx context.Context, command control.Command) (control.Result, error)
	Roster() []roster.Report
	ControlReachable() bool
}

// PeerClient calls other nodes.
type PeerClient interface {
	Call(ctx context.Context, address netip.AddrPort, method wire.Method, request, response any) error
}

// Config configures a Recorder.
type Config struct {
	Holder     fleet.Holder
	DataCentre fleet.DataCentre
	Ledger     Ledger
	Peers      PeerClient
	// Disk stores held settlements across restarts. It is nil on a node without a
	// disk.
	Disk commitlog.Disk
	// Refund is called with the tokens of this node's held settlements that the
	// ledger did not charge to its lease.
	Refund func(budget fleet.BudgetID, tokens fleet.Tokens)
	Log    *event.Log
}

// Recorder records settlements in the ledger. It holds those that it cannot submit yet,
// its own and those of other nodes.
type Recorder struct {
	cfg        Config
	queue      *commitlog.Queue
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	wake       chan struct{}

	mu           sync.Mutex
	held         []ledger.Settlement
	ended        []fleet.Holder
	suspectUntil time.Time
	// confirmed has the ended holders for which this node has confirmed that it
	// holds no settlements. It accepts no more of theirs: a delayed one would reach
	// the ledger after their quota has been reclaimed and leased to other nodes.
	confirmed map[fleet.Holder]bool
	// avoidUntil has the nodes that a call failed to reach, and the time until which
	// they are not called again.
	avoidUntil map[fleet.NodeID]time.Time
}

// New loads the held settlements from disk and starts submitting them to the ledger.
func New(cfg Config) (*Recorder, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Recorder{
		cfg:    cfg,
		ctx:    ctx,
		cancel: cancel,
		wake:   make(chan struct{}, 1),

		confirmed:  map[fleet.Holder]bool{},
		avoidUntil: map[fleet.NodeID]time.Time{},
	}
	if cfg.Disk != nil {
		if err := r.openQueue(); err != nil {
			cancel()
			return nil, err
		}
	}
	r.background.Go(func() {
		for r.ctx.Err() == nil {
			r.submitHeld()
			r.confirmEndedHolders()
			select {
			case <-r.ctx.Done():
			case <-r.wake:
			case <-time.After(submitInterval):
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
			return eris.Wrap(err, "billing: decode a held settlement")
		}
		r.held = append(r.held, s)
	}
	heldNow.Set(int64(len(r.held)))
	return nil
}

// Close stops submitting held settlements. Held returns how many are left.
func (r *Recorder) Close() {
	r.cancel()
	r.background.Wait()
	if r.queue != nil {
		_ = r.queue.Close()
	}
}

// Held returns the number of settlements that have yet to be submitted to the ledger.
func (r *Recorder) Held() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held)
}

// Settle returns once the settlement is recorded: in the ledger, on another node, or on this
// node's disk if no other node accepts it. If it is not in the ledger yet, the result
// reports it as billed in full. The ledger may still correct that, for example if another
// node has already billed the request.
func (r *Recorder) Settle(ctx context.Context, s ledger.Settlement) (ledger.SettleResult, error) {
	timeout := ledgerTimeout
	if r.isLedgerSuspect() {
		timeout = suspectLedgerTimeout
	}
	attemptCtx, cancel := context.WithTimeout(ctx, timeout)
	result, err := r.cfg.Ledger.Submit(attemptCtx, control.Command{
		Settle: &ledger.Settle{Settlements: []ledger.Settlement{s}},
	})
	cancel()
	if err == nil && len(result.Settled) == 1 {
		settledCount.Add(1)
		return result.Settled[0], nil
	}
	r.suspectLedger()
	return r.hold(ctx, s)
}

func (r *Recorder) isLedgerSuspect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.cfg.Ledger.ControlReachable() || time.Now().Before(r.suspectUntil)
}

func (r *Recorder) suspectLedger() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspectUntil = time.Now().Add(suspectPeriod)
}

// hold copies the settlement to another node and stores it on this one. If no other node
// accepts it, storing it on this node's disk is sufficient, because writes are synced.
func (r *Recorder) hold(ctx context.Context, s ledger.Settlement) (ledger.SettleResult, error) {
	batch := ledger.Settle{Settlements: []ledger.Settlement{s}}
	copied := r.copyToPeer(ctx, batch)
	if err := r.store(batch.Settlements); err != nil {
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
		attemptCtx, cancel := context.WithTimeout(ctx, holdTimeout)
		stored := false
		err := r.cfg.Peers.Call(attemptCtx, candidate.WireAddress, MethodHold, batch, &stored)
		cancel()
		if err == nil && stored {
			return true
		}
		if err != nil {
			r.mu.Lock()
			r.avoidUntil[candidate.Holder.Node] = time.Now().Add(suspectPeriod)
			r.mu.Unlock()
		}
	}
	return false
}

// candidates returns the live nodes to ask. Nodes in other data centres come first, and
// within each group those with a disk.
func (r *Recorder) candidates() []roster.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []roster.Report
	for _, report := range r.cfg.Ledger.Roster() {
		node := report.Holder.Node
		if node != r.cfg.Holder.Node && report.State != roster.StateDead && time.Now().After(r.avoidUntil[node]) {
			candidates = append(candidates, report)
		}
	}
	slices.SortStableFunc(candidates, func(a, b roster.Report) int {
		return r.holdCost(a) - r.holdCost(b)
	})
	return candidates[:min(maxCandidates, len(candidates))]
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

// store stores settlements until they are submitted.
func (r *Recorder) store(settlements []ledger.Settlement) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue != nil {
		var items [][]byte
		for _, s := range settlements {
			item, err := cbor.Marshal(s)
			if err != nil {
				return eris.Wrap(err, "billing: encode a held settlement")
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

// HandleHold stores another node's settlements. It is the handler of MethodHold.
func (r *Recorder) HandleHold(_ context.Context, from fleet.NodeID, body []byte) (any, error) {
	batch := ledger.Settle{}
	if err := wire.Decode(body, &batch); err != nil {
		return nil, err
	}
	if r.hasConfirmed(batch.Settlements) {
		return false, nil
	}
	if err := r.store(batch.Settlements); err != nil {
		return nil, err
	}
	r.cfg.Log.Info(event.SettlementHeld).Str("for", string(from)).Int("count", len(batch.Settlements)).Msg("holding settlements for a node that cannot reach the ledger")
	return true, nil
}

// hasConfirmed reports whether a settlement belongs to an ended holder for which this node
// has confirmed that it holds none.
func (r *Recorder) hasConfirmed(settlements []ledger.Settlement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(settlements, func(s ledger.Settlement) bool { return r.confirmed[s.Holder] })
}

// submitHeld submits the held settlements to the ledger, oldest first.
func (r *Recorder) submitHeld() {
	for r.ctx.Err() == nil {
		r.mu.Lock()
		batch := slices.Clone(r.held[:min(maxBatch, len(r.held))])
		r.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(r.ctx, submitTimeout)
		result, err := r.cfg.Ledger.Submit(ctx, control.Command{Settle: &ledger.Settle{Settlements: batch}})
		cancel()
		if err != nil || len(result.Settled) != len(batch) {
			return
		}
		r.removeSubmitted(batch, result.Settled)
	}
}

// removeSubmitted removes submitted settlements and processes their results.
func (r *Recorder) removeSubmitted(batch []ledger.Settlement, results []ledger.SettleResult) {
	r.mu.Lock()
	r.held = slices.Clone(r.held[len(batch):])
	heldNow.Set(int64(len(r.held)))
	if len(r.held) == 0 && r.queue != nil {
		if err := r.queue.Clear(); err != nil {
			r.cfg.Log.Error(event.SettlementDropped).Err(err).Msg("cannot clear the file of held settlements; they will be submitted again after a restart")
		}
	}
	r.mu.Unlock()
	r.cfg.Log.Info(event.SettlementHandedIn).Int("count", len(batch)).Msg("held settlements submitted to the ledger")
	for i, result := range results {
		r.refundUncharged(batch[i], result)
	}
}

// refundUncharged returns to this node's lease the part of a settlement that the ledger did not
// charge. If the peer that holds a copy submitted it first, this node's submission gets the
// same result.
func (r *Recorder) refundUncharged(s ledger.Settlement, result ledger.SettleResult) {
	refund := s.Tokens - result.Charged
	if result.Status == ledger.SettleTooOld || result.Status == ledger.SettleUnbacked {
		r.cfg.Log.Error(event.SettlementDropped).
			Str("request", s.Key.Request.String()).
			Str("budget", string(s.Budget)).
			Int64("tokens", int64(s.Tokens)).
			Str("status", string(result.Status)).
			Msg("the ledger rejected a held settlement; it is not billed")
	}
	if s.Holder == r.cfg.Holder && refund > 0 {
		r.cfg.Refund(s.Budget, refund)
	}
}

// HandleEndedHolders records the ended holders for which the ledger waits for this node's
// confirmation that it holds none of their settlements.
func (r *Recorder) HandleEndedHolders(holders []fleet.Holder) {
	r.mu.Lock()
	r.ended = holders
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// confirmEndedHolders confirms to the ledger each ended holder of which this node holds no
// settlements.
func (r *Recorder) confirmEndedHolders() {
	r.mu.Lock()
	endedHolders := r.ended
	r.ended = nil
	var confirmable []fleet.Holder
	for _, ended := range endedHolders {
		holdsAny := slices.ContainsFunc(r.held, func(s ledger.Settlement) bool { return s.Holder == ended })
		if !holdsAny {
			r.confirmed[ended] = true
			confirmable = append(confirmable, ended)
		}
	}
	r.mu.Unlock()
	for _, ended := range confirmable {
		ctx, cancel := context.WithTimeout(r.ctx, submitTimeout)
		_, _ = r.cfg.Ledger.Submit(ctx, control.Command{Confirm: &ledger.ConfirmNoneHeld{
			By:    r.cfg.Holder,
			Ended: ended,
		}})
		cancel()
	}
}
