// Package ledger holds the prepaid budgets: what was settled, which holder has
// leased which quota, which requests were billed and which calls were made.
//
// # Why leases
//
// Reserving tokens at the ledger for each request would cost a round trip and would stop
// every entry node that is partitioned from it. So quota is leased, through the
// replicated log, to an entry node, which spends it without a round trip. The ledger's
// one invariant is
//
//	settled + leased <= prepaid
//
// for each budget at each log index. For example, a budget of 1000 tokens with
// 300 settled and leases of 200 and 400 has 100 left; a holder that needs 150
// is granted nothing until another holder returns quota.
//
// A lease does not expire. A holder that does not respond may still be serving
// callers on its side of a network partition, and quota granted to another holder
// in the meantime would be spent twice. Quota is reclaimed when the holder returns
// it, or when the holder's incarnation is proven to have ended and every other node
// has submitted the settlements that it stored for it.
//
// The package is a pure state machine: it is driven by the replicated log, which
// also supplies the time.
package ledger

import (
	"crypto/sha256"
	"sort"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Retention of the records that make retried requests idempotent, and intervals of lease
// recalls.
const (
	// AdmissionAge is the maximum age of a request id that an entry node admits for
	// work that may run more than once.
	AdmissionAge = 15 * time.Minute
	// SettlementRetention is how long a settlement's key is kept: long enough for a
	// settlement that is delayed by a network partition of one hour.
	SettlementRetention = time.Hour + AdmissionAge
	// CallRetention is how long the record of an at-most-once call is kept.
	CallRetention = 24 * time.Hour
	// CallAdmissionAge is the maximum age of a request id for which such a call is
	// begun. It is below CallRetention so that an earlier call under the same id is
	// still on record.
	CallAdmissionAge = CallRetention - time.Hour
	// recallInterval is the minimum time between a holder's response to a recall and
	// the next recall, because the holder has just returned all it could.
	recallInterval = 500 * time.Millisecond
	// scarcityPeriod is how long a metered budget grants only what waiting requests
	// need after it could not grant a holder's need. Otherwise the holders that
	// returned quota would request it again before that holder does.
	scarcityPeriod = 250 * time.Millisecond
)

// State is the whole ledger. It is not safe for concurrent use.
type State struct {
	accounts map[fleet.BudgetID]*account
	// holders maps each node to its registered incarnation.
	holders       map[fleet.NodeID]fleet.Incarnation
	registrations map[fleet.NodeID]registration
	// ended holds the ended holders whose quota is not reclaimed yet, each with the
	// nodes that have not confirmed it.
	ended       map[fleet.Holder]map[fleet.NodeID]bool
	settlements map[settlementKey]settlementRecord
	calls       map[RequestKey]*call
	// settledOrder and callOrder hold the keys in recording order, for pruning.
	settledOrder []timestamped[settlementKey]
	callOrder    []timestamped[RequestKey]
	// unbacked is the number of settlements refused as SettleUnbacked.
	unbacked uint64
	now      fleet.UnixMillis
}

// registration identifies an incarnation that the ledger numbered.
type registration struct {
	nonce uint64
	boot  string
	// limitRise is how long the incarnation's spending limits rise, 0 if unbounded.
	limitRise time.Duration
}

type account struct {
	prepaid fleet.Tokens
	settled fleet.Tokens
	leased  fleet.Tokens
	// forfeited is the part of settled that ended incarnations may have spent and did not report.
	// It decides nothing.
	forfeited fleet.Tokens
	leases    map[fleet.Holder]*lease
	// metered is true if holders report their spending as sums instead of settling
	// each request. What an ended holder may have spent unreported counts as spent.
	metered bool
	// scarceUntil is set when a holder's need was not met. Until then every holder
	// is granted what its requests need and nothing beyond.
	scarceUntil fleet.UnixMillis
}

func (a *account) free() fleet.Tokens {
	return a.prepaid - a.settled - a.leased
}

type lease struct {
	outstanding       fleet.Tokens
	last              LeaseResult
	recalling         bool
	recallRespondedAt fleet.UnixMillis
	// grantedSince is true if the holder was granted quota after its latest response
	// to a recall, so it may have some to return.
	grantedSince bool
	// limit, slope and at are the spending limit of the latest change.
	limit fleet.Tokens
	slope fleet.Tokens
	at    time.Duration
}

// settlementKey identifies a settlement by a hash of 16 bytes, to save memory: there are
// many settlements.
type settlementKey [16]byte

func (k RequestKey) toSettlementKey() settlementKey {
	sum := sha256.New()
	sum.Write(k.Request[:])
	sum.Write(k.Body[:])
	sum.Write([]byte(k.Workspace))
	return settlementKey(sum.Sum(nil)[:len(settlementKey{})])
}

type settlementRecord struct {
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
	response *Response
	finished SettleResult
}

type timestamped[K any] struct {
	key K
	at  fleet.UnixMillis
}

// New returns an empty ledger.
func New() *State {
	return &State{
		accounts:      map[fleet.BudgetID]*account{},
		holders:       map[fleet.NodeID]fleet.Incarnation{},
		registrations: map[fleet.NodeID]registration{},
		ended:         map[fleet.Holder]map[fleet.NodeID]bool{},
		settlements:   map[settlementKey]settlementRecord{},
		calls:         map[RequestKey]*call{},
	}
}

// Advance sets the ledger's time, which never runs backwards, and drops the records
// whose retention has expired.
func (s *State) Advance(now fleet.UnixMillis) {
	s.now = max(s.now, now)
	s.settledOrder = dropOlder(s.settledOrder, s.now.Add(-SettlementRetention), func(key settlementKey) {
		delete(s.settlements, key)
	})
	s.callOrder = dropOlder(s.callOrder, s.now.Add(-CallRetention), func(key RequestKey) {
		delete(s.calls, key)
	})
}

func dropOlder[K any](order []timestamped[K], limit fleet.UnixMillis, drop func(K)) []timestamped[K] {
	n := 0
	for n < len(order) && order[n].at < limit {
		drop(order[n].key)
		n++
	}
	return order[n:]
}

// SetPrepaid sets the total prepaid amount of a budget, creating the budget if
// necessary. It reports false and changes nothing if the amount is less than what is
// settled and leased.
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

// CanSetPrepaid reports whether SetPrepaid would accept this amount.
func (s *State) CanSetPrepaid(id fleet.BudgetID, prepaid fleet.Tokens) bool {
	a, ok := s.accounts[id]
	return !ok || prepaid >= a.settled+a.leased
}

// SetMeteredPrepaid sets the total prepaid amount of a metered budget, creating the
// budget if necessary. Unlike SetPrepaid it accepts any amount. If the amount is less than
// what is settled and leased, it recalls the leases, and nothing is granted until enough
// is returned.
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

// ChangeLease applies a LeaseChange. It returns the recalls to send to other holders.
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
	returned := min(max(c.Returned, 0), l.outstanding)
	l.outstanding -= returned
	a.leased -= returned
	if a.metered {
		a.spend(l, c.Spent)
		l.limit = c.Limit
		l.slope = c.Slope
		l.at = c.At
	}
	if c.AnswersRecall {
		l.recalling = false
		l.recallRespondedAt = s.now
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
		a.scarceUntil = s.now.Add(scarcityPeriod)
		recalls = s.recallOthers(c.Budget, a, c.Holder)
		result.Recalling = a.anyRecalling(c.Holder)
	}
	l.last = result
	return result, recalls
}

// spend moves a part of a lease to the settled amount.
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

// grant decides how much a holder gets. It grants what waiting requests need if that is
// free. Beyond that, a holder gets a share of what remains, so that a nearly exhausted
// budget is not stranded on one node: the share shrinks with the remainder, and the last
// tokens stay free for the next holder that needs some.
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

func (s *State) recallOthers(budget fleet.BudgetID, a *account, requester fleet.Holder) []Recall {
	var recalls []Recall
	for holder, l := range a.leases {
		if holder == requester || l.outstanding == 0 || l.recalling {
			continue
		}
		if l.recallRespondedAt != 0 && s.now < l.recallRespondedAt.Add(recallInterval) && !(a.metered && l.grantedSince) {
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

func (a *account) anyRecalling(requester fleet.Holder) bool {
	for holder, l := range a.leases {
		if holder != requester && l.recalling && l.outstanding > 0 {
			return true
		}
	}
	return false
}

// Recalls returns the recalls that a holder has not responded to yet.
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

// Settle bills one request at most once, whatever the number of settlements for it.
func (s *State) Settle(in Settlement) SettleResult {
	key := in.Key.toSettlementKey()
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
	s.settlements[key] = settlementRecord{
		tokens:  in.Tokens,
		charged: in.Tokens - first.tokens,
		attempt: in.Attempt,
		partial: in.Partial,
	}
	if !ok {
		s.settledOrder = append(s.settledOrder, timestamped[settlementKey]{
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

// charge takes the amount from the holder's lease and, if the lease is too small, the
// rest from the budget's free amount.
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
		s.callOrder = append(s.callOrder, timestamped[RequestKey]{
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
		State:    c.state,
		Response: c.response,
		Billed:   c.finished.Billed,
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
	c.response = in.Response
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
