// Package ledger keeps the prepaid budgets: what was settled, which holder has
// which quota on lease, which requests were billed and which calls were made.
//
// # Why leases
//
// Asking the ledger before each request would cost a round trip and would stop
// every entry node that is cut off. So quota is moved, through the replicated
// log, from a budget to an entry node, which spends it without asking. The
// ledger's one invariant is
//
//	settled + leased <= prepaid
//
// for each budget at each log index. For example, a budget of 1000 tokens with
// 300 settled and leases of 200 and 400 has 100 left; a holder that asks for 150
// gets nothing until another gives back.
//
// A lease does not expire. A holder that is silent may still be answering
// callers on its side of a network partition, and quota given to another in the
// meantime would be spent twice. Quota comes back when the holder gives it back,
// or when the holder's life is proven to have ended and every other node has
// handed in the settlements it kept for it.
//
// The package is a pure state machine: it is driven by the replicated log with
// the time that the log carries.
package ledger

import (
	"crypto/sha256"
	"sort"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Retention of the records that make a repeated request harmless.
const (
	// AdmissionAge is the oldest request id that an entry node admits for work
	// that may be repeated.
	AdmissionAge = 15 * time.Minute
	// SettlementRetention is how long a bill's identity is kept: long enough
	// for a bill that waits out an hour's network partition.
	SettlementRetention = time.Hour + AdmissionAge
	// CallRetention is how long the record of an at-most-once call is kept.
	CallRetention = 24 * time.Hour
	// CallAdmissionAge is the oldest request id for which such a call is begun.
	// A call under a younger id that was begun before is still on record.
	CallAdmissionAge = CallRetention - time.Hour
	// recallPause keeps a holder that gave back all it could from being
	// asked again at once.
	recallPause = 500 * time.Millisecond
	// scarceTime keeps what holders of a metered budget gave back for the one that
	// needs it: otherwise they would ask for it again before it asks.
	scarceTime = 250 * time.Millisecond
)

// State is the whole ledger. It is not safe for concurrent use.
type State struct {
	accounts    map[fleet.BudgetID]*account
	holders     map[fleet.NodeID]fleet.Incarnation
	lives       map[fleet.NodeID]life
	ending      map[fleet.Holder]map[fleet.NodeID]bool
	settlements map[billKey]billed
	calls       map[RequestKey]*call
	// settledOrder and callOrder hold the keys in the order of their
	// recording, for pruning.
	settledOrder []dated[billKey]
	callOrder    []dated[RequestKey]
	unbacked     uint64
	now          fleet.UnixMillis
}

// life is a life that the ledger numbered.
type life struct {
	id   uint64
	boot string
}

type account struct {
	prepaid fleet.Tokens
	settled fleet.Tokens
	leased  fleet.Tokens
	leases  map[fleet.Holder]*lease
	// metered budgets learn of spending from their holders' sums. What an ended
	// holder had not reported counts as spent.
	metered bool
	// scarceUntil is set while a holder's need is not met. Until then others get
	// what they need, and nothing beyond.
	scarceUntil fleet.UnixMillis
}

func (a *account) free() fleet.Tokens {
	return a.prepaid - a.settled - a.leased
}

type lease struct {
	outstanding fleet.Tokens
	last        LeaseResult
	recalling   bool
	answeredAt  fleet.UnixMillis
	// grantedSince says that the holder got quota after its latest answer to a
	// recall, so that it may have something to give back.
	grantedSince bool
	// limit, slope and at are those of the latest change.
	limit fleet.Tokens
	slope fleet.Tokens
	at    time.Duration
}

// billKey identifies a bill in 16 bytes, since there are many of them.
type billKey [16]byte

func (k RequestKey) bill() billKey {
	sum := sha256.New()
	sum.Write(k.Request[:])
	sum.Write(k.Body[:])
	sum.Write([]byte(k.Workspace))
	return billKey(sum.Sum(nil)[:len(billKey{})])
}

type billed struct {
	tokens  fleet.Tokens
	charged fleet.Tokens
	attempt uint64
	partial bool
}

type call struct {
	budget   fleet.BudgetID
	holder   fleet.Holder
	bodyHash fleet.Digest
	attempt  uint64
	state    CallState
	answer   *Answer
	finished SettleResult
}

type dated[K any] struct {
	key K
	at  fleet.UnixMillis
}

// New returns an empty ledger.
func New() *State {
	return &State{
		accounts:    map[fleet.BudgetID]*account{},
		holders:     map[fleet.NodeID]fleet.Incarnation{},
		lives:       map[fleet.NodeID]life{},
		ending:      map[fleet.Holder]map[fleet.NodeID]bool{},
		settlements: map[billKey]billed{},
		calls:       map[RequestKey]*call{},
	}
}

// Advance moves the ledger's time, which never runs backwards, and drops the
// records that have outlived their retention.
func (s *State) Advance(now fleet.UnixMillis) {
	s.now = max(s.now, now)
	s.settledOrder = dropOlder(s.settledOrder, s.now.Add(-SettlementRetention), func(key billKey) {
		delete(s.settlements, key)
	})
	s.callOrder = dropOlder(s.callOrder, s.now.Add(-CallRetention), func(key RequestKey) {
		delete(s.calls, key)
	})
}

func dropOlder[K any](order []dated[K], limit fleet.UnixMillis, drop func(K)) []dated[K] {
	n := 0
	for n < len(order) && order[n].at < limit {
		drop(order[n].key)
		n++
	}
	return order[n:]
}

// SetPrepaid sets the whole prepaid amount of a budget, creating it if need be.
// It reports false, and changes nothing, where less would remain than is settled
// and leased.
func (s *State) SetPrepaid(id fleet.BudgetID, prepaid fleet.Tokens) bool {
	if !s.CanSetPrepaid(id, prepaid) {
		return false
	}
	a, ok := s.accounts[id]
	if !ok {
		a = &account{leases: map[fleet.Holder]*lease{}}
		s.accounts[id] = a
	}
	a.prepaid = prepaid
	return true
}

// CanSetPrepaid reports whether SetPrepaid would take this amount.
func (s *State) CanSetPrepaid(id fleet.BudgetID, prepaid fleet.Tokens) bool {
	a, ok := s.accounts[id]
	return !ok || prepaid >= a.settled+a.leased
}

// SetMeteredPrepaid sets the whole prepaid amount of a metered budget, creating it if need be.
// Unlike SetPrepaid it takes any amount. Where less remains than is leased, holders
// are asked to give back, and nothing is granted until they have.
func (s *State) SetMeteredPrepaid(id fleet.BudgetID, prepaid fleet.Tokens) []Recall {
	a, ok := s.accounts[id]
	if !ok {
		a = &account{leases: map[fleet.Holder]*lease{}}
		s.accounts[id] = a
	}
	a.metered = true
	a.prepaid = prepaid
	if a.free() >= 0 {
		return nil
	}
	return s.recallOthers(id, a, fleet.Holder{})
}

// ChangeLease carries out a LeaseChange. It returns the recalls that other
// holders must hear of.
func (s *State) ChangeLease(c LeaseChange) (LeaseResult, []Recall) {
	a, ok := s.accounts[c.Budget]
	if !ok || s.holders[c.Holder.Node] != c.Holder.Incarnation {
		return LeaseResult{
			Seq:     c.Seq,
			Unknown: true,
		}, nil
	}
	l := a.lease(c.Holder)
	if c.Seq <= l.last.Seq {
		return l.last, nil
	}
	give := min(max(c.Returned, 0), l.outstanding)
	l.outstanding -= give
	a.leased -= give
	if a.metered {
		a.spend(l, c.Spent)
		l.limit = c.Limit
		l.slope = c.Slope
		l.at = c.At
	}
	if c.AnswersRecall {
		l.recalling = false
		l.answeredAt = s.now
		l.grantedSince = false
	}
	result := LeaseResult{
		Seq:     c.Seq,
		Granted: a.grant(c, l.outstanding, s.now),
	}
	l.outstanding += result.Granted
	l.grantedSince = l.grantedSince || result.Granted > 0
	a.leased += result.Granted
	result.Free = a.free()
	result.LeasedElsewhere = a.leased - l.outstanding
	var recalls []Recall
	if result.Granted < c.Need {
		a.scarceUntil = s.now.Add(scarceTime)
		recalls = s.recallOthers(c.Budget, a, c.Holder)
		result.Recalling = a.anyRecalling(c.Holder)
	}
	l.last = result
	return result, recalls
}

// spend turns a part of a lease into settled spending.
func (a *account) spend(l *lease, tokens fleet.Tokens) {
	spent := min(max(tokens, 0), l.outstanding)
	l.outstanding -= spent
	a.leased -= spent
	a.settled += spent
}

func (a *account) lease(holder fleet.Holder) *lease {
	l, ok := a.leases[holder]
	if !ok {
		l = &lease{}
		a.leases[holder] = l
	}
	return l
}

// grant decides how much a holder gets. What is needed is given if it is there.
// Beyond that, a holder gets a share of what remains, so that a budget near its
// end is not stranded on one node: the share shrinks with the remainder, and the
// last tokens stay with the ledger for whoever asks next.
func (a *account) grant(c LeaseChange, held fleet.Tokens, now fleet.UnixMillis) fleet.Tokens {
	free := a.free()
	need := max(c.Need, 0)
	if need > free {
		return 0
	}
	if a.metered && now < a.scarceUntil {
		return need
	}
	if c.HoldPerMille > 0 {
		hold := (a.prepaid - a.settled) / 1000 * fleet.Tokens(min(c.HoldPerMille, 1000))
		return need + min(max(c.Want-need, 0), max(hold-held-need, 0), free-need)
	}
	share := fleet.Tokens(int64(free-need) / 1000 * min(max(c.SharePerMille, 0), 1000))
	extra := min(max(c.Want-need, 0), share)
	return need + extra
}

func (s *State) recallOthers(budget fleet.BudgetID, a *account, asker fleet.Holder) []Recall {
	var recalls []Recall
	for holder, l := range a.leases {
		if holder == asker || l.outstanding == 0 || l.recalling {
			continue
		}
		if l.answeredAt != 0 && s.now < l.answeredAt.Add(recallPause) && !(a.metered && l.grantedSince) {
			continue
		}
		l.recalling = true
		recalls = append(recalls, Recall{
			Holder: holder,
			Budget: budget,
		})
	}
	sort.Slice(recalls, func(i, j int) bool { return lessHolder(recalls[i].Holder, recalls[j].Holder) })
	return recalls
}

func (a *account) anyRecalling(asker fleet.Holder) bool {
	for holder, l := range a.leases {
		if holder != asker && l.recalling && l.outstanding > 0 {
			return true
		}
	}
	return false
}

// Recalls returns the recalls that a holder has not answered yet.
func (s *State) Recalls(holder fleet.Holder) []Recall {
	var recalls []Recall
	for id, a := range s.accounts {
		if l, ok := a.leases[holder]; ok && l.recalling {
			recalls = append(recalls, Recall{
				Holder: holder,
				Budget: id,
			})
		}
	}
	sort.Slice(recalls, func(i, j int) bool { return recalls[i].Budget < recalls[j].Budget })
	return recalls
}

// Settle bills one request, once.
func (s *State) Settle(in Settlement) SettleResult {
	key := in.Key.bill()
	first, ok := s.settlements[key]
	if ok && first.attempt == in.Attempt {
		return SettleResult{
			Status:  SettledNow,
			Billed:  first.tokens,
			Charged: first.charged,
		}
	}
	if ok && (!first.partial || in.Tokens <= first.tokens) {
		return SettleResult{
			Status: SettledBefore,
			Billed: first.tokens,
		}
	}
	if !ok && in.Key.Request.Created() < s.now.Add(-SettlementRetention) {
		return SettleResult{Status: SettleTooOld}
	}
	if !s.charge(in, in.Tokens-first.tokens) {
		s.unbacked++
		return SettleResult{Status: SettleUnbacked}
	}
	s.settlements[key] = billed{
		tokens:  in.Tokens,
		charged: in.Tokens - first.tokens,
		attempt: in.Attempt,
		partial: in.Partial,
	}
	if !ok {
		s.settledOrder = append(s.settledOrder, dated[billKey]{
			key: key,
			at:  s.now,
		})
	}
	return SettleResult{
		Status:  SettledNow,
		Billed:  in.Tokens,
		Charged: in.Tokens - first.tokens,
	}
}

// charge takes the amount from the holder's lease, and what the lease lacks from
// what is free in the budget.
func (s *State) charge(in Settlement, tokens fleet.Tokens) bool {
	a, ok := s.accounts[in.Budget]
	if !ok || tokens < 0 {
		return false
	}
	fromLease := fleet.Tokens(0)
	l, ok := a.leases[in.Holder]
	if ok {
		fromLease = min(tokens, l.outstanding)
	}
	if tokens-fromLease > a.free() {
		return false
	}
	if fromLease > 0 {
		l.outstanding -= fromLease
		a.leased -= fromLease
	}
	a.settled += tokens
	return true
}

// Begin decides whether an at-most-once call may be made.
func (s *State) Begin(in Begin) BeginResult {
	c, ok := s.calls[in.Key]
	if !ok {
		if in.Key.Request.Created() < s.now.Add(-CallAdmissionAge) {
			return BeginResult{TooOld: true}
		}
		s.calls[in.Key] = newCall(in)
		s.callOrder = append(s.callOrder, dated[RequestKey]{
			key: in.Key,
			at:  s.now,
		})
		return BeginResult{Run: true}
	}
	switch {
	case c.bodyHash != in.BodyHash:
		return BeginResult{OtherBody: true}
	case c.attempt == in.Attempt && c.state == CallOpen:
		return BeginResult{Run: true}
	case c.state == CallNotRun:
		*c = *newCall(in)
		return BeginResult{Run: true}
	}
	return BeginResult{
		State:  c.state,
		Answer: c.answer,
		Billed: c.finished.Billed,
	}
}

func newCall(in Begin) *call {
	return &call{
		budget:   in.Budget,
		holder:   in.Holder,
		bodyHash: in.BodyHash,
		attempt:  in.Attempt,
		state:    CallOpen,
	}
}

// Finish records the outcome of a call and bills it if it ran. Only the attempt
// that began the call can finish it.
func (s *State) Finish(in Finish) SettleResult {
	c, ok := s.calls[in.Key]
	if !ok || c.attempt != in.Attempt {
		return SettleResult{Status: SettleTooOld}
	}
	if c.state != CallOpen {
		return c.finished
	}
	c.state = in.State
	if in.State != CallDone {
		c.finished = SettleResult{Status: SettledNow}
		return c.finished
	}
	c.answer = in.Answer
	c.finished = s.Settle(Settlement{
		Key:     in.Key,
		Budget:  c.budget,
		Holder:  c.holder,
		Tokens:  in.Tokens,
		Attempt: in.Attempt,
	})
	return c.finished
}

func lessHolder(a, b fleet.Holder) bool {
	if a.Node != b.Node {
		return a.Node < b.Node
	}
	return a.Incarnation < b.Incarnation
}
