package control

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/commitlog"
	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/metrics"
	"github.com/waxwingreel/waxwingreel/orders"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/wire"
)

// Times of the control loop.
const (
	// ElectionTimeout is the silence of a leader after which another may be
	// elected.
	ElectionTimeout = 600 * time.Millisecond
	// heartbeatInterval is the time between a leader's messages.
	heartbeatInterval = 100 * time.Millisecond
	tickInterval      = 25 * time.Millisecond
	announceInterval  = 500 * time.Millisecond
	// lostInterval is the time between announcements while no leader is known:
	// after a restart of all, nobody can vote for a replica whose address it has
	// not heard.
	lostInterval = 100 * time.Millisecond
	// freshWithin is how old a replica's last word from its leader may be for
	// it to hand out configuration.
	freshWithin = 1500 * time.Millisecond
)

// Sizes of the control loop.
const (
	maxBatch = 512
	// snapshotLogBytes and snapshotEntries bound the log that a restart must
	// replay: a megabyte takes a tenth of a core some tenths of a second. Where
	// the state is large, the log may grow to snapshotTimes of it, so that
	// writing snapshots does not cost more than the log.
	snapshotLogBytes = 1 << 20
	snapshotTimes    = 4
	snapshotEntries  = 20_000
)

// mainGroup is the only group that runs so far. All keys, messages and files carry
// the group's number.
const mainGroup fleet.GroupID = 0

// Peer is one VM that may carry a control replica.
type Peer struct {
	Node    fleet.NodeID
	Address netip.AddrPort
}

// Config sets up a Replica.
type Config struct {
	Node fleet.NodeID
	// Peers lists the VMs that first form the group, this one included.
	Peers []Peer
	// Seeds are addresses of control VMs, for a fleet whose settings do not list
	// its control VMs. The group then forms itself: see group.go.
	Seeds []netip.AddrPort
	// MaxFailures is how many control VMs may be lost at once, where Seeds is set.
	MaxFailures int
	// Bootstrap lets this replica start a new group when every peer says that
	// there is none.
	Bootstrap bool
	Disk      commitlog.Disk
	Endpoint  *wire.Endpoint
	Log       *event.Log
	// Metrics takes counters, latencies and gauges.
	Metrics *metrics.Set
}

// Replica is one running control replica. Its state belongs to one goroutine;
// other goroutines reach it by do.
type Replica struct {
	cfg     Config
	id      consensus.ReplicaID
	journal *commitlog.Journal
	core    *consensus.Core
	machine *machine
	applied consensus.Index
	table   *roster.Table

	peers map[fleet.NodeID]Announcement
	// heardAt is when each peer was heard last.
	heardAt map[fleet.NodeID]time.Duration
	// contacts are the addresses of control VMs that were heard of.
	contacts  map[netip.AddrPort]bool
	direct    map[fleet.NodeID]roster.Report
	directAt  map[fleet.NodeID]time.Duration
	waiting   map[consensus.Index]waiter
	wasLeader bool
	// snapshotBytes is the size of the latest snapshot.
	snapshotBytes int64
	// presence is what this replica has seen of holders while it led.
	presence presence
	// ledSince is when this replica began to lead.
	ledSince time.Duration
	failed   error
	// broken is closed when the replica has failed.
	broken    chan struct{}
	announced time.Duration

	messages  chan consensus.Message
	proposals chan proposal
	work      chan func()
	ctx       context.Context
	cancel    context.CancelFunc
	wait      sync.WaitGroup

	// list is the latest instance list, listNumber this replica's own count of
	// the lists it took in.
	list       InstanceList
	listAt     time.Duration
	listNumber uint64
	// listChange is the number of the list in which the instances last changed.
	listChange uint64

	targets        []orders.Target
	targetsVersion fleet.Version

	subscribersMu sync.Mutex
	subscribers   map[*subscriber]struct{}
}

type proposal struct {
	command Command
	answer  chan SubmitAnswer
}

type waiter struct {
	term   consensus.Term
	answer chan SubmitAnswer
}

// NewReplica opens the replica's journal, adds its handlers to the endpoint and
// starts it. The endpoint must not have been started.
func NewReplica(cfg Config) (*Replica, error) {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.New()
	}
	id, err := replicaID(cfg.Disk)
	if err != nil {
		return nil, err
	}
	store, contents, err := commitlog.Open(cfg.Disk, mainGroup)
	if err != nil {
		return nil, err
	}
	restored, err := machineFromSnapshot(contents.Snapshot.Data)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	now := clock.Boot()
	r := &Replica{
		cfg:     cfg,
		id:      id,
		journal: store,
		core: consensus.New(consensus.Config{
			Group:             mainGroup,
			ID:                id,
			ElectionTimeout:   ElectionTimeout,
			HeartbeatInterval: heartbeatInterval,
			Seed:              uint64(id),
			HardState:         contents.HardState,
			Snapshot:          contents.Snapshot,
			Entries:           contents.Entries,
			Now:               now,
		}),
		machine:       restored,
		applied:       contents.Snapshot.Index,
		table:         roster.New(),
		peers:         map[fleet.NodeID]Announcement{},
		heardAt:       map[fleet.NodeID]time.Duration{},
		contacts:      loadContacts(cfg),
		direct:        map[fleet.NodeID]roster.Report{},
		directAt:      map[fleet.NodeID]time.Duration{},
		waiting:       map[consensus.Index]waiter{},
		snapshotBytes: int64(len(contents.Snapshot.Data)),
		broken:        make(chan struct{}),
		presence:      presence{},
		messages:      make(chan consensus.Message, 4096),
		proposals:     make(chan proposal, 4096),
		work:          make(chan func(), 256),
		ctx:           ctx,
		cancel:        cancel,
		subscribers:   map[*subscriber]struct{}{},
	}
	cfg.Log.Info(event.ReplicaOpened).
		Uint64("replica", uint64(id)).
		Uint64("snapshot", uint64(contents.Snapshot.Index)).
		Int("entries", len(contents.Entries)).
		Msg("control replica opened its journal")
	r.handle(cfg.Endpoint)
	cfg.Metrics.Gauges(r.gauges)
	r.wait.Go(r.loop)
	return r, nil
}

// replicaID reads the disk's replica id, or makes one for an empty disk.
func replicaID(disk commitlog.Disk) (consensus.ReplicaID, error) {
	const name = "replica-id"
	names, err := disk.Names()
	if err != nil {
		return 0, err
	}
	for _, n := range names {
		if n != name {
			continue
		}
		data, err := disk.Read(name)
		if err != nil {
			return 0, err
		}
		if len(data) == 8 {
			return consensus.ReplicaID(binary.BigEndian.Uint64(data)), nil
		}
		return 0, eris.Errorf("control: %s holds %d bytes, want 8", name, len(data))
	}
	raw := make([]byte, 8)
	if _, err := rand.Read(raw); err != nil {
		return 0, eris.Wrap(err, "control: make a replica id")
	}
	return consensus.ReplicaID(binary.BigEndian.Uint64(raw)), commitlog.ReplaceFile(disk, name, raw)
}

// Close stops the replica.
func (r *Replica) Close() {
	r.cancel()
	r.wait.Wait()
	_ = r.journal.Close()
}

// TransferLeadership has a leader pass its leadership on before a planned stop.
func (r *Replica) TransferLeadership() {
	transferred := false
	r.do(func() { transferred = r.core.TransferLeadership() })
	for i := 0; transferred && i < int(ElectionTimeout/tickInterval); i++ {
		leading := false
		r.do(func() { leading = r.core.IsLeader() })
		if !leading {
			return
		}
		time.Sleep(tickInterval)
	}
}

// do runs f on the control goroutine and reports whether it ran.
func (r *Replica) do(f func()) bool {
	done := make(chan struct{})
	select {
	case r.work <- func() {
		f()
		close(done)
	}:
	case <-r.ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// loop owns the replica's state.
func (r *Replica) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		case m := <-r.messages:
			r.step(m)
		case p := <-r.proposals:
			r.propose(p)
		case f := <-r.work:
			f()
		}
		r.drain()
		now := clock.Boot()
		if r.failed == nil {
			r.core.Tick(now)
			r.manageGroup()
			r.flush()
		}
		r.watchLeadership()
		r.tellPeers(now)
	}
}

// drain takes what else is waiting, so that one sync serves many commands.
func (r *Replica) drain() {
	for range maxBatch {
		select {
		case m := <-r.messages:
			r.step(m)
		case p := <-r.proposals:
			r.propose(p)
		case f := <-r.work:
			f()
		default:
			return
		}
	}
}

func (r *Replica) step(m consensus.Message) {
	if r.failed == nil {
		r.core.Step(m, clock.Boot())
	}
}

// flush carries out what the core asks for, until it asks for nothing more.
func (r *Replica) flush() {
	for {
		out := r.core.Output()
		r.send(out.BeforeSync)
		if err := r.save(out); err != nil {
			r.fail(err)
			return
		}
		committed := r.core.Persisted()
		r.send(out.AfterSync)
		r.apply(committed)
		if len(committed) == 0 && len(out.Entries) == 0 && out.Snapshot == nil && len(out.BeforeSync) == 0 {
			break
		}
	}
	r.maybeCompact()
}

func (r *Replica) save(out consensus.Output) error {
	if out.Snapshot == nil {
		return r.journal.Save(out.HardState, out.Entries)
	}
	restored, err := machineFromSnapshot(out.Snapshot.Data)
	if err != nil {
		return err
	}
	if err := r.journal.SaveSnapshot(*out.Snapshot, r.core.HardState(), out.Entries); err != nil {
		return err
	}
	r.machine = restored
	r.applied = out.Snapshot.Index
	r.cfg.Log.Info(event.SnapshotInstalled).
		Uint64("index", uint64(r.applied)).
		Int("bytes", len(out.Snapshot.Data)).
		Msg("control replica installed its leader's snapshot")
	r.notify(effects{catalog: true})
	return nil
}

// Failed is closed when the replica has stopped because its disk failed.
func (r *Replica) Failed() <-chan struct{} {
	return r.broken
}

// fail stops the replica: after a failed write or sync it is unknown what the disk
// holds, so nothing more may be acknowledged.
func (r *Replica) fail(err error) {
	if r.failed != nil {
		return
	}
	r.failed = err
	close(r.broken)
	r.cfg.Log.Error(event.ReplicaFailed).Err(err).Msg("control replica stopped: its disk failed")
	r.releaseWaiting(SubmitUnknown, "the replica's disk failed")
}

func (r *Replica) send(messages []consensus.Message) {
	members := r.core.Members()
	for _, m := range messages {
		address, ok := r.addressOf(members, m.To)
		if ok {
			r.cfg.Endpoint.Send(address, MethodConsensus, m)
		}
	}
}

// addressOf finds where a replica is. A candidate's voters may not be in this
// replica's own membership, so announcements count as well.
func (r *Replica) addressOf(members consensus.Membership, id consensus.ReplicaID) (netip.AddrPort, bool) {
	for _, a := range r.peers {
		if a.Replica == id {
			return a.Address, true
		}
	}
	member, ok := members.Find(id)
	if !ok {
		return netip.AddrPort{}, false
	}
	for _, p := range r.cfg.Peers {
		if p.Node == member.Node {
			return p.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// watchLeadership releases the askers of a leader that was deposed. Their commands
// may still be committed by the next leader.
func (r *Replica) watchLeadership() {
	leads := r.failed == nil && r.core.IsLeader()
	if leads == r.wasLeader {
		return
	}
	r.wasLeader = leads
	r.ledSince = clock.Boot()
	r.presence = presence{}
	if leads {
		r.cfg.Log.Info(event.LeaderElected).Uint64("term", uint64(r.core.Term())).Msg("control replica leads")
	} else {
		r.cfg.Log.Info(event.LeaderLost).Uint64("term", uint64(r.core.Term())).Msg("control replica no longer leads")
		r.releaseWaiting(SubmitUnknown, "leadership was lost while the command was under way")
	}
	r.notify(effects{ending: true})
}

// maybeCompact takes a snapshot when the log has grown.
func (r *Replica) maybeCompact() {
	behind := r.applied - r.core.SnapshotIndex()
	logBytes := max(snapshotLogBytes, snapshotTimes*r.snapshotBytes)
	if r.failed != nil || behind < snapshotEntries && (behind < 100 || r.journal.LogBytes() < logBytes) {
		return
	}
	data, err := r.machine.snapshot()
	if err != nil {
		r.fail(err)
		return
	}
	r.snapshotBytes = int64(len(data))
	snapshot := r.core.Compact(r.applied, data)
	if err := r.journal.SaveSnapshot(snapshot, r.core.HardState(), r.core.Entries()); err != nil {
		r.fail(err)
		return
	}
	r.cfg.Log.Info(event.SnapshotTaken).
		Uint64("index", uint64(snapshot.Index)).
		Int("bytes", len(data)).
		Msg("control replica compacted its log")
}

// open reports whether the group has formed. Before that a single VM's loss could
// lose what was acknowledged.
func (r *Replica) open() bool {
	wanted := len(r.cfg.Peers)
	if r.selfForming() {
		wanted = r.smallestGroup()
	}
	return r.machine.commands > 0 || r.core.Members().Voters() >= wanted
}

func (r *Replica) leaderAddress() netip.AddrPort {
	if r.failed != nil {
		return netip.AddrPort{}
	}
	if r.core.IsLeader() {
		return r.cfg.Endpoint.Address()
	}
	address, _ := r.addressOf(r.core.Members(), r.core.Leader())
	return address
}
