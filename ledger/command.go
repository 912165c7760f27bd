package ledger

import (
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// The commands that come with each request, and their results, travel and are kept
// as arrays without their fields' names: the names would be most of their bytes. A
// field may only be added at the end.

// Join registers one life of a node. A later life of the same node proves that
// the earlier one has ended.
type Join struct {
	Holder fleet.Holder `json:"holder"`
	// Nonce is random and not 0 where the node has no clock to number its lives
	// by: the time of day jumps, and a node without a disk remembers nothing.
	// The ledger then numbers the life itself.
	Nonce uint64 `json:"life,omitempty"`
	// Boot names the run of the VM's kernel and Started is the time since it
	// began, when this life started. Together they tell how long before that the
	// last life can have ended.
	Boot    string        `json:"boot,omitempty"`
	Started time.Duration `json:"started,omitempty"`
	// SinceLastChange is set by the leader where it knows it: the life before made its
	// latest change at most so long before this one joined. It serves where a VM
	// lost power, and its clock with it.
	SinceLastChange time.Duration `json:"since,omitempty"`
}

// LeaseChange moves quota between a budget and a holder. The holder numbers its
// changes for each budget and repeats one until it is answered; a repeated
// change gets its first answer again.
type LeaseChange struct {
	_ struct{} `cbor:",toarray"`

	Holder fleet.Holder   `json:"holder"`
	Budget fleet.BudgetID `json:"budget"`
	Seq    uint64         `json:"seq"`
	// Returned is unused quota that the holder returns.
	Returned fleet.Tokens `json:"give"`
	// Need is what a waiting request cannot do without; Want is what the
	// holder would like in all.
	Need fleet.Tokens `json:"need"`
	Want fleet.Tokens `json:"want"`
	// SharePerMille bounds what one holder gets beyond Need, as a part of
	// what is still free in the budget.
	SharePerMille int64 `json:"sharePerMille"`
	// AnswersRecall says that the holder gave back all it could.
	AnswersRecall bool `json:"answersRecall,omitempty"`
	// Spent is what the holder has used of the lease since its last change. It
	// is for metered budgets, whose requests are not billed one by one.
	Spent fleet.Tokens `json:"spent,omitempty"`
	// HoldPerMille, where it is not 0, bounds what the holder has in all,
	// beyond Need, as a part of what the budget has left to spend.
	HoldPerMille int64 `json:"holdPerMille,omitempty"`
	// Limit bounds what the holder spends of a metered lease after this change,
	// until a later one is acknowledged: at the time At, and Slope tokens more
	// with each second after it, on the clock of the VM's kernel.
	Limit fleet.Tokens  `json:"limit,omitempty"`
	Slope fleet.Tokens  `json:"slope,omitempty"`
	At    time.Duration `json:"at,omitempty"`
}

// LeaseResult answers a LeaseChange.
type LeaseResult struct {
	_ struct{} `cbor:",toarray"`

	Seq     uint64       `json:"seq"`
	Granted fleet.Tokens `json:"granted"`
	// Free is what the budget has left outside all leases.
	Free fleet.Tokens `json:"free"`
	// LeasedElsewhere is what other holders have.
	LeasedElsewhere fleet.Tokens `json:"leasedElsewhere"`
	// Recalling says that other holders were asked to give back, so that
	// asking again soon may succeed.
	Recalling bool `json:"recalling,omitempty"`
	// Unknown says that there is no such budget or that the holder has
	// ended.
	Unknown bool `json:"unknown,omitempty"`
}

// RequestKey identifies one request across the fleet. The body belongs to it, so
// that an id which is used again for other work does not get that work for
// nothing. At-most-once calls have no Body here: for them the id alone counts, and
// another body is refused.
type RequestKey struct {
	_ struct{} `cbor:",toarray"`

	Workspace fleet.WorkspaceID `json:"workspace"`
	Request   fleet.RequestID   `json:"request"`
	Body      BodySum           `json:"body"`
}

// BodySum is the first half of a SHA-256 sum over a request's body.
type BodySum [16]byte

// Settlement bills one request.
type Settlement struct {
	_ struct{} `cbor:",toarray"`

	Key    RequestKey     `json:"key"`
	Budget fleet.BudgetID `json:"budget"`
	Holder fleet.Holder   `json:"holder"`
	Tokens fleet.Tokens   `json:"tokens"`
	// Attempt is random, so that a repeated settlement is known from one for
	// a second run of the same request.
	Attempt uint64 `json:"attempt"`
	// Partial marks the bill of an answer that its caller broke off. If the
	// caller repeats the request, the later settlement bills what it costs
	// beyond that, so that the request costs no more and no less than one
	// whole answer.
	Partial bool `json:"partial,omitempty"`
}

// Settle bills a batch of requests.
type Settle struct {
	Settlements []Settlement `json:"settlements"`
}

// SettleStatus tells what became of one settlement.
type SettleStatus string

// What can become of a settlement.
const (
	// SettledNow means that this settlement was billed.
	SettledNow SettleStatus = "settled"
	// SettledBefore means that the request was billed earlier, by the amount
	// that the result names, and is not billed again.
	SettledBefore SettleStatus = "settledBefore"
	// SettleTooOld means that the request's id is older than the records
	// kept, so that a second bill could not be told from a first. Nothing is
	// billed.
	SettleTooOld SettleStatus = "tooOld"
	// SettleUnbacked means that neither the holder's lease nor the budget
	// had the amount. Nothing is billed.
	SettleUnbacked SettleStatus = "unbacked"
)

// SettleResult answers one settlement.
type SettleResult struct {
	_ struct{} `cbor:",toarray"`

	Status SettleStatus `json:"status"`
	Billed fleet.Tokens `json:"billed"`
	// Charged is what this settlement took from the holder's lease.
	Charged fleet.Tokens `json:"charged"`
}

// Begin records, before the call leaves, that a call that must run at most once
// is about to be made.
type Begin struct {
	Key      RequestKey     `json:"key"`
	Budget   fleet.BudgetID `json:"budget"`
	Holder   fleet.Holder   `json:"holder"`
	BodyHash fleet.Digest   `json:"bodyHash"`
	// Attempt is random, so that a repeated Begin is known from a second
	// caller's.
	Attempt uint64 `json:"attempt"`
}

// CallState is the state of a recorded call.
type CallState string

// The states of a recorded call.
const (
	// CallOpen means that the call may be under way, or that its outcome is
	// lost.
	CallOpen CallState = "open"
	// CallDone means that the call ran and its answer is kept.
	CallDone CallState = "done"
	// CallNotRun means that the call is proven not to have left.
	CallNotRun CallState = "notRun"
)

// Answer is the stored answer of a call.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
}

// BeginResult answers a Begin.
type BeginResult struct {
	// Run tells the asker to make the call.
	Run bool `json:"run"`
	// State and Answer tell of the earlier call where Run is false.
	State  CallState    `json:"state,omitempty"`
	Answer *Answer      `json:"answer,omitempty"`
	Billed fleet.Tokens `json:"billed,omitempty"`
	// OtherBody says that the id was used before with another body.
	OtherBody bool `json:"otherBody,omitempty"`
	// TooOld says that the id is older than the records kept.
	TooOld bool `json:"tooOld,omitempty"`
}

// Finish records what became of a call, and bills it if it ran.
type Finish struct {
	Key     RequestKey   `json:"key"`
	Attempt uint64       `json:"attempt"`
	State   CallState    `json:"state"`
	Answer  *Answer      `json:"answer,omitempty"`
	Tokens  fleet.Tokens `json:"tokens"`
}

// ConfirmNoneHeld says that a node holds no settlement of an ended holder that
// it has not handed in.
type ConfirmNoneHeld struct {
	By    fleet.Holder `json:"by"`
	Ended fleet.Holder `json:"ended"`
}

// Recall asks a holder to give back what it does not need of a budget.
type Recall struct {
	Holder fleet.Holder   `json:"holder"`
	Budget fleet.BudgetID `json:"budget"`
}
