package measure

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/commitlog"
	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// Parameters of the control measurements.
const (
	sequentialCommits  = 300
	throughputDuration = 3 * time.Second
	concurrentSubmits  = 128
)

func ticketCommand(number fleet.TicketNumber, changes []catalog.Change) control.Command {
	return control.Command{Ticket: &catalog.Ticket{
		Number:  number,
		Changes: changes,
	}}
}

func settleCommand(tokens fleet.Tokens) control.Command {
	return control.Command{Settle: &ledger.Settle{Settlements: []ledger.Settlement{{
		Key: ledger.RequestKey{
			Workspace: "w",
			Request:   fleet.NewRequestID(),
		},
		Budget: "paying-w",
		Tokens: tokens,
	}}}}
}

// Control measures commit latency, throughput and failover of a control group of three
// replicas.
func Control() ([]Group, error) {
	var groups []Group
	for _, d := range []struct {
		name  string
		delay time.Duration
	}{
		{
			name:  "lindqvist",
			delay: time.Millisecond,
		},
		{
			name:  "rijwielpoort",
			delay: 1500 * time.Microsecond,
		},
	} {
		g := Group{
			Name:    "control " + d.name,
			Setting: fmt.Sprintf("Three replicas in one process, %s each way between them, every commit synced to disk.", d.delay),
		}
		if err := measureControlGroup(&g, d.delay); err != nil {
			return nil, err
		}
		groups = append(groups, g)
	}
	return groups, nil
}

func measureControlGroup(g *Group, delay time.Duration) error {
	f, err := startFleet(fleetConfig{
		nodes:   3,
		control: 3,
		delay:   delay,
	})
	if err != nil {
		return err
	}
	defer f.close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	if err := f.apply(ctx, 1, workspaceChanges("w", "key")); err != nil {
		return err
	}
	if err := measureSequential(ctx, g, f); err != nil {
		return err
	}
	if err := measureThroughput(ctx, g, f); err != nil {
		return err
	}
	return measureFailover(ctx, g, f)
}

func measureSequential(ctx context.Context, g *Group, f *testFleet) error {
	var times []time.Duration
	for range sequentialCommits {
		started := time.Now()
		if _, err := f.nodes[1].Submit(ctx, settleCommand(1)); err != nil {
			return err
		}
		times = append(times, time.Since(started))
	}
	size, err := settlementBytes()
	if err != nil {
		return err
	}
	g.add("bytes of a settlement's command and answer", size, "bytes")
	g.add("settlement, one at a time, p50", millis(percentile(times, 500)), "ms")
	g.add("settlement, one at a time, p95", millis(percentile(times, 950)), "ms")
	return nil
}

// settlementBytes returns the size of a settlement's command and response, without the
// overhead of QUIC.
func settlementBytes() (float64, error) {
	command, err := cbor.Marshal(settleCommand(100))
	if err != nil {
		return 0, eris.Wrap(err, "measure: encode a command")
	}
	response, err := cbor.Marshal(control.SubmitResponse{
		Status: control.SubmitDone,
		Result: control.Result{Settled: []ledger.SettleResult{{
			Status:  ledger.SettledNow,
			Billed:  100,
			Charged: 100,
		}}},
	})
	return float64(len(command) + len(response)), eris.Wrap(err, "measure: encode a response")
}

func measureThroughput(ctx context.Context, g *Group, f *testFleet) error {
	settled, err := operationRate(func(int64) error {
		_, err := f.nodes[1].Submit(ctx, settleCommand(1))
		return err
	})
	if err != nil {
		return err
	}
	g.add("settlements, 128 at a time", settled, "1/s")
	tickets, err := operationRate(func(n int64) error {
		model := catalog.Model{
			ID:        fleet.ModelID(fmt.Sprintf("m%d", n%1000)),
			Version:   fmt.Sprint(n),
			MaxOutput: 1,
			MaxPrompt: 1,
		}
		_, err := f.nodes[1].Submit(ctx, ticketCommand(fleet.TicketNumber(n+10), []catalog.Change{{Body: catalog.Body{Model: &model}}}))
		return err
	})
	if err != nil {
		return err
	}
	g.add("tickets, 128 at a time", tickets, "1/s")
	return nil
}

// operationRate runs an operation repeatedly in many goroutines and returns the rate per second.
func operationRate(operation func(n int64) error) (float64, error) {
	count := atomic.Int64{}
	ended := atomic.Int64{}
	failure := atomic.Pointer[error]{}
	workers := sync.WaitGroup{}
	started := time.Now()
	for range concurrentSubmits {
		workers.Go(func() {
			for time.Since(started) < throughputDuration {
				if err := operation(count.Add(1)); err != nil {
					failure.Store(&err)
					return
				}
				ended.Add(1)
			}
		})
	}
	workers.Wait()
	if err := failure.Load(); err != nil {
		return 0, *err
	}
	return float64(ended.Load()) / time.Since(started).Seconds(), nil
}

// measureFailover measures the time from killing the leader to the next commit.
func measureFailover(ctx context.Context, g *Group, f *testFleet) error {
	var times []time.Duration
	for range 5 {
		leader := f.leader()
		if leader < 0 {
			return eris.New("measure: no node is the leader")
		}
		other := (leader + 1) % len(f.nodes)
		f.nodes[leader].Kill()
		started := time.Now()
		if _, err := f.nodes[other].Submit(ctx, settleCommand(1)); err != nil {
			return err
		}
		times = append(times, time.Since(started))
		n, err := f.startNode(leader)
		if err != nil {
			return err
		}
		f.nodes[leader] = n
		if _, err := f.nodes[leader].Submit(ctx, settleCommand(1)); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
	}
	g.add("leader killed, next commit, median of 5", millis(percentile(times, 500)), "ms")
	g.add("leader killed, next commit, slowest of 5", millis(percentile(times, 1000)), "ms")
	return nil
}

// leader returns the index of the node whose replica is the leader, or -1.
func (f *testFleet) leader() int {
	for i, n := range f.nodes {
		if n.HoldsLeaderLease() {
			return i
		}
	}
	return -1
}

// Recovery measures the time to read a replica's journal for several lengths, and the ledger's
// memory and snapshot for several numbers of budgets and of billed requests.
func Recovery() (Group, error) {
	g := Group{
		Name:    "recovery",
		Setting: "One replica's journal read and replayed from disk; the ledger's heap and snapshot.",
	}
	for _, entries := range []int{1000, 5000, 20_000} {
		d, err := timeReopen(entries)
		if err != nil {
			return g, err
		}
		g.add(fmt.Sprintf("reopen a journal of %d entries", entries), millis(d), "ms")
	}
	for _, budgets := range []int{10_000, 65_000, 260_000} {
		if err := measureLedgerSize(&g, budgets); err != nil {
			return g, err
		}
	}
	for _, settled := range []int{50_000, 200_000, 800_000} {
		if err := measureSettlementSize(&g, settled); err != nil {
			return g, err
		}
	}
	return g, nil
}

// measureSettlementSize measures the memory and snapshot size per billed request.
func measureSettlementSize(g *Group, settled int) error {
	state := ledger.New()
	now := fleet.UnixMillis(time.Now().UnixMilli())
	state.Advance(now)
	state.SetPrepaid("b", 1<<40)
	before := heapInUse()
	for i := range settled {
		state.Settle(ledger.Settlement{
			Key: ledger.RequestKey{
				Workspace: "w",
				Request:   fleet.NewRequestID(),
			},
			Budget:  "b",
			Tokens:  1,
			Attempt: uint64(i),
		})
	}
	g.add(fmt.Sprintf("ledger heap for each of %d billed requests", settled), float64(int64(heapInUse())-int64(before))/float64(settled), "bytes")
	data, err := control.EncodeLedger(state)
	if err != nil {
		return err
	}
	g.add(fmt.Sprintf("ledger snapshot for each of %d billed requests", settled), float64(len(data))/float64(settled), "bytes")
	runtime.KeepAlive(state)
	return nil
}

// timeReopen returns how long it takes to open a journal of a number of entries.
func timeReopen(entries int) (time.Duration, error) {
	folder, err := os.MkdirTemp("", "waxwingreel-measure-")
	if err != nil {
		return 0, eris.Wrap(err, "measure: create a temporary folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	disk, err := commitlog.OpenFolder(filepath.Join(folder, "data"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = disk.Close() }()
	store, _, err := commitlog.Open(disk, 0)
	if err != nil {
		return 0, err
	}
	var batch []consensus.Entry
	for i := range entries {
		batch = append(batch, consensus.Entry{
			Index: consensus.Index(i + 1),
			Term:  1,
			Kind:  consensus.EntryCommand,
			Data:  make([]byte, 200),
		})
	}
	if err := store.Save(nil, batch); err != nil {
		return 0, err
	}
	_ = store.Close()
	started := time.Now()
	reopened, contents, err := commitlog.Open(disk, 0)
	if err != nil {
		return 0, err
	}
	duration := time.Since(started)
	if len(contents.Entries) != entries {
		return 0, eris.Errorf("measure: reopened journal has %d entries, want %d", len(contents.Entries), entries)
	}
	return duration, reopened.Close()
}

func heapInUse() uint64 {
	// The second collection frees objects that the first one kept for their finalizers.
	runtime.GC()
	runtime.GC()
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// measureLedgerSize measures the memory and snapshot of a ledger whose budgets are each leased
// to two holders.
func measureLedgerSize(g *Group, budgets int) error {
	before := heapInUse()
	state := ledger.New()
	state.Advance(1)
	holders := []fleet.Holder{
		{
			Node:        "n1",
			Incarnation: 1,
		},
		{
			Node:        "n2",
			Incarnation: 1,
		},
	}
	for _, h := range holders {
		state.Join(h)
	}
	for i := range budgets {
		id := fleet.BudgetID(fmt.Sprintf("budget-%06d", i))
		state.SetPrepaid(id, 1_000_000)
		for _, h := range holders {
			state.ChangeLease(ledger.LeaseChange{
				Holder:        h,
				Budget:        id,
				Seq:           1,
				Need:          100,
				Want:          1000,
				SharePerMille: 100,
			})
		}
	}
	size := float64(heapInUse() - before)
	g.add(fmt.Sprintf("ledger heap for each of %d budgets, leased to 2 nodes", budgets), size/float64(budgets), "bytes")
	started := time.Now()
	data, err := control.EncodeLedger(state)
	if err != nil {
		return err
	}
	g.add(fmt.Sprintf("ledger snapshot of %d budgets, time", budgets), millis(time.Since(started)), "ms")
	g.add(fmt.Sprintf("ledger snapshot of %d budgets, size for each", budgets), float64(len(data))/float64(budgets), "bytes")
	runtime.KeepAlive(state)
	return nil
}
