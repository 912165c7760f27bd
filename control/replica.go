package control

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/commitlog"
	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/membership"
	"github.com/waxwingreel/waxwingreel/metrics"
	"github.com/waxwingreel/waxwingreel/orders"
	"github.com/waxwingreel/waxwingreel/origin"
	"github.com/waxwingreel/waxwingreel/quarantine"
	"github.com/waxwingreel/waxwingreel/ratelimit"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/wire"
)

// Timeouts and intervals of the control loop.
const (
	// ElectionTimeout is the time without a message from the leader after which
	// another may be elected.
	ElectionTimeout = 600 * time.Millisecond
	// heartbeatInterval is the time between a leader's messages.
	heartbeatInterval = 100 * time.Millisecond
	tickInterval      = 25 * time.Millisecond
	announceInterval  = 500 * time.Millisecond
	// urgentAnnounceInterval is the time between announcements while the reports of nodes
	// change, or no leader is known: after a restart of all replicas, none can vote for a
	// replica whose address it has not learned yet.
	urgentAnnounceInterval = 100 * time.Millisecond
	// peerTimeout is the time without an announcement after which a VM that is no member is forgotten.
	peerTimeout = time.Minute
	// leaderTimeout is the time without a message from the leader after which
	// a replica sends no configuration to its subscribers.
	leaderTimeout = 1500 * time.Millisecond
)

// Limits of the control loop.
const (
	// maxBatch is the number of queued messages, proposals and functions that
	// are processed before one disk sync.
	maxBatch = 512
	// snapshotLogBytes and snapshotEntries bound the log that a restart must
	// replay. Replaying a megabyte takes some tenths of a second on a tenth of a
	// core. If the state is large, the log may grow to snapshotLogRatio times the
	// size of the latest snapshot, so that writing snapshots does not cost more
	// than writing the log.
	snapshotLogBytes = 1 << 20
	snapshotLogRatio = 4
	snapshotEntries  = 20_000
)

// mainGroup is the only consensus group in use. All keys, messages and files contain
// the group number.
const mainGroup fleet.GroupID = 0

// Peer is one VM that may run a control replica.
type Peer struct {
	Node    fleet.NodeID
	Address netip.AddrPort
}

// Config configures a Replica.
type Config struct {
	Node fleet.NodeID
	// Peers lists the VMs that form the initial group, including this one.
	Peers []Peer
	// Seeds are addresses of some control VMs. It is set in a fleet whose settings
	// do not list the control VMs; the group then forms itself, see selfforming.go.
	Seeds []netip.AddrPort
	// MaxFailures is how many control VMs may fail at the same time. It is used
	// only if Seeds is set.
	MaxFailures int
	// Bootstrap allows this replica to create a new group once every peer has
	// announced that it belongs to none.
	Bootstrap bool
	Disk      commitlog.Disk
	Endpoint  *wire.Endpoint
	Log       *event.Log
	// Metrics may be nil.
	Metrics *metrics.Set
}

// Replica is one running control replica. Its state is owned by the goroutine that runs
// loop; other goroutines access it through do.
type Replica struct {
	cfg     Config
	id      consensus.ReplicaID
	journal *commitlog.Journal
	core    *consensus.Core
	machine *stateMachine
	applied consensus.Index
	table   *roster.Table
	// quarantine judges the parts of prompts on which engines have crashed.
	quarantine quarantine.Table
	// limits has what entry nodes know of the limits of instances.
	limits ratelimit.Table
	// origins has the streams that entry nodes have begun, newOrigins those that the other replicas
	// have not been told yet. versions has the software versions of the services.
	origins         origin.Table
	newOrigins      []origin.Record
	originsPassedOn time.Duration
	versions        origin.History

	peers map[fleet.NodeID]Announcement
	// peerAnnouncedAt is when the latest announcement of each peer arrived.
	peerAnnouncedAt map[fleet.NodeID]time.Duration
	// hearing measures the silence of the other replicas.
	hearing *membership.Hearing
	// unsaved is the output that has to be saved once the disk has room, nil if there is none.
	unsaved *consensus.Output
	// fullSince is when the disk became full; saveAgainAt and compactAgainAt are when the next attempts are due.
	fullSince      time.Duration
	saveAgainAt    time.Duration
	compactAgainAt time.Duration
	// leaving is set when the process is stopping.
	leaving bool
	// adjustedAt is when the members were last adjusted.
	adjustedAt time.Duration
	// tolerance is the number of further failures last logged, see logTolerance.
	tolerance      int
	toleranceKnown bool
	// contacts are the learned addresses of control VMs, including old ones.
	contacts contactList
	// contactsUnsaved is set while the stored contacts are older, contactsAgainAt when they are stored again.
	contactsUnsaved bool
	contactsAgainAt time.Duration
	// directReports are the reports that nodes sent to this replica itself.
	directReports  map[fleet.NodeID]roster.Report
	directReportAt map[fleet.NodeID]time.Duration
	pending        map[consensus.Index]pendingCommand
	wasLeader      bool
	// wasUpToDate is whether this replica was up to date when the loop last ran.
	wasUpToDate bool
	// snapshotBytes is the size of the latest snapshot.
	snapshotBytes int64
	// holderActivity is reset whenever this replica gains or loses leadership.
	holderActivity holderActivity
	quotaLog       quotaLog
	failed         error
	// failedSignal is closed when the replica fails.
	failedSignal  chan struct{}
	lastAnnounced time.Duration
	// lastMarkedDead is when nodes without heartbeats were last looked for. The loop runs for
	// every message, a look at every node each time would grow with the square of the fleet.
	lastMarkedDead time.Duration
	// announceSoon is set if a node's report has changed since the last announcement.
	announceSoon bool

	messages  chan consensus.Message
	proposals chan proposal
	work      chan func()
	ctx       context.Context
	cancel    context.CancelFunc
	wait      sync.WaitGroup

	// instances is the latest instance list. instancesNumber counts the lists that
	// this replica has read or received.
	instances       InstanceList
	instancesAt     time.Duration
	instancesNumber uint64
	// instancesChanged is the value of instancesNumber when the instances last
	// changed.
	instancesChanged uint64

	// targets caches the order targets of configuration targetsVersion.
	targets        []orders.Target
	targetsVersion fleet.Version

	subscribersMu sync.Mutex
	subscribers   map[*subscriber]struct{}
}

type proposal struct {
	command  Command
	response chan SubmitResponse
}

// pendingCommand is a proposed command whose client waits for the response.
type pendingCommand struct {
	term     consensus.Term
	response chan SubmitResponse
}

// NewReplica opens the replica's journal, registers its handlers with the endpoint and
// starts the replica. The endpoint must not have been started yet.
func NewReplica(cfg Config) (*Replica, error) {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.New()
	}
	id, store, contents, err := openJournal(cfg)
	if err != nil {
		return nil, err
	}
	restored, err := stateMachineFromSnapshot(contents.Snapshot.Data)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	now := clock.SinceBoot()
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
		machine:         restored,
		applied:         contents.Snapshot.Index,
		table:           roster.New(),
		peers:           map[fleet.NodeID]Announcement{},
		peerAnnouncedAt: map[fleet.NodeID]time.Duration{},
		hearing:         membership.NewHearing(id, now),
		contacts:        loadContacts(cfg),
		directReports:   map[fleet.NodeID]roster.Report{},
		directReportAt:  map[fleet.NodeID]time.Duration{},
		pending:         map[consensus.Index]pendingCommand{},
		snapshotBytes:   int64(len(contents.Snapshot.Data)),
		failedSignal:    make(chan struct{}),
		holderActivity:  holderActivity{},
		quotaLog:        newQuotaLog(),
		messages:        make(chan consensus.Message, 4096),
		proposals:       make(chan proposal, 4096),
		work:            make(chan func(), 256),
		ctx:             ctx,
		cancel:          cancel,
		subscribers:     map[*subscriber]struct{}{},
	}
	cfg.Log.Info(event.ReplicaOpened).
		Uint64("replica", uint64(id)).
		Uint64("snapshot", uint64(contents.Snapshot.Index)).
		Int("entries", len(contents.Entries)).
		Msg("control replica opened its journal")
	r.handle(cfg.Endpoint)
	cfg.Metrics.AddGauges(r.reportGauges)
	r.wait.Go(r.loop)
	return r, nil
}

// Close stops the replica and closes its journal.
func (r *Replica) Close() {
	r.cancel()
	r.wait.Wait()
	_ = r.journal.Close()
}

// Leave prepares a planned stop, within leaveTimeout: it transfers leadership to another replica. If the
// group has no majority without this one, it also waits until the group has replaced it.
func (r *Replica) Leave() {
	r.do(func() {
		r.leaving = true
		r.lastAnnounced = 0
	})
	for deadline := time.Now().Add(leaveTimeout); time.Now().Before(deadline); time.Sleep(tickInterval) {
		left := true
		if !r.do(func() { left = r.left(clock.SinceBoot()) }) || left {
			return
		}
	}
}

// leaveTimeout is enough for a promotion, an election and a removal.
const leaveTimeout = 2 * ElectionTimeout

// left reports whether this replica may stop. While it leads, it transfers leadership as soon as another
// voter can take it.
func (r *Replica) left(now time.Duration) bool {
	if r.failed != nil || r.unsaved != nil || !r.formed() {
		return true
	}
	if r.core.IsLeader() {
		r.core.TransferLeadership()
		return len(r.core.Members().Replicas) == 1
	}
	return !r.selfForming() || r.group(now).BearsStop()
}

// flush persists, sends and applies the output of the core until there is none left.
func (r *Replica) flush() {
	for {
		out := r.nextOutput()
		if err := r.save(out); err != nil {
			r.saveFailed(out, err)
			return
		}
		r.saveSucceeded()
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
	restored, err := stateMachineFromSnapshot(out.Snapshot.Data)
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
		Msg("control replica installed a snapshot from its leader")
	r.notify(effects{catalog: true})
	return nil
}

// Failed returns a channel that is closed when the replica has stopped because of a
// failure, such as a disk error.
func (r *Replica) Failed() <-chan struct{} {
	return r.failedSignal
}

// fail stops the replica. After a failed write or sync the contents of the disk are
// unknown, so nothing more may be acknowledged.
func (r *Replica) fail(err error) {
	if r.failed != nil {
		return
	}
	r.failed = err
	close(r.failedSignal)
	r.cfg.Log.Error(event.ReplicaFailed).Err(err).Msg("control replica stopped after a disk or log failure")
	r.failPending(SubmitUnknown, "the replica failed while the command was in flight")
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

// addressOf returns the address of a replica. It also uses announcements, because the
// voters of a candidate may not be in this replica's own membership.
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

// checkLeadership handles a gain or loss of leadership. After a loss it fails the
// pending commands as unknown, since the next leader may still commit them.
func (r *Replica) checkLeadership() {
	leads := r.failed == nil && r.core.IsLeader()
	if leads == r.wasLeader {
		return
	}
	r.wasLeader = leads
	r.toleranceKnown = false
	r.holderActivity = holderActivity{}
	if leads {
		r.cfg.Log.Info(event.LeaderElected).Uint64("term", uint64(r.core.Term())).Msg("control replica became the leader")
	} else {
		r.cfg.Log.Info(event.LeaderLost).Uint64("term", uint64(r.core.Term())).Msg("control replica lost leadership")
		r.failPending(SubmitUnknown, "the replica lost leadership while the command was in flight")
	}
	r.notify(effects{nodes: true})
}

// maybeCompact takes a snapshot if the log has grown enough.
func (r *Replica) maybeCompact() {
	if clock.SinceBoot() < r.compactAgainAt {
		return
	}
	behind := r.applied - r.core.SnapshotIndex()
	logBytes := max(snapshotLogBytes, snapshotLogRatio*r.snapshotBytes)
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
		r.compactionFailed(err)
		return
	}
	r.cfg.Log.Info(event.SnapshotTaken).
		Uint64("index", uint64(snapshot.Index)).
		Int("bytes", len(data)).
		Msg("control replica compacted its log")
}

// open reports whether the group accepts commands. It does so from the time that it has as
// many voters as the settings require, and always after its first command. Before that, the
// loss of a single VM could lose acknowledged commands.
func (r *Replica) open() bool {
	wanted := len(r.cfg.Peers)
	if r.selfForming() {
		wanted = r.minVoters()
	}
	return r.machine.commands > 0 || r.core.Members().Voters() >= wanted
}

// leaderAddress returns the address of the leader, or the zero value if it is not known.
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
