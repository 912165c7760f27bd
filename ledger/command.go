package ledger

import (
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// The commands sent with each request, and their results, are encoded and stored as
// arrays without field names, because the names would be most of their bytes. A field
// may only be added at the end.

// Join registers one incarnation of a node. A later incarnation of the same node proves
// that the earlier one has ended.
type Join struct {
	Holder fleet.Holder `json:"holder"`
	// Nonce is random and not 0 if the node cannot number its incarnations: the time
	// of day may jump, and a node without a disk stores nothing. The ledger then
	// numbers the incarnation itself.
	Nonce uint64 `json:"life,omitempty"`
	// Boot is the VM's boot id, and Started is the time since boot at which this
	// incarnation started. Together they bound when the previous incarnation ended.
	Boot    string        `json:"boot,omitempty"`
	Started time.Duration `json:"started,omitempty"`
	// SinceLastChange is an upper bound on the time between the previous
	// incarnation's latest change and this join. The leader sets it if it has led
	// since before that change. It is needed if the VM lost power, which resets its
	// kernel clock.
	SinceLastChange time.Duration `json:"since,omitempty"`
	// LimitRise, if not 0, says that the spending limits of this incarnation rise for
	// no longer than this after the change that set them.
	LimitRise time.Duration `json:"rise,omitempty"`
	// Age is how long the incarnation had run when it sent the join. The previous one had
	// ended before that.
	Age time.Duration `json:"age,omitempty"`
}

// LeaseChange moves quota between a budget and a holder. The holder numbers its changes
// of each budget and resends a change until it gets the result. A repeated change gets
// the result of the first one.
type LeaseChange struct {
	_ struct{} `cbor:",toarray"`

	Holder fleet.Holder   `json:"holder"`
	Budget fleet.BudgetID `json:"budget"`
	Seq    uint64         `json:"seq"`
	// Returned is the unused quota that the holder returns.
	Returned fleet.Tokens `json:"give"`
	// Need is what a waiting request lacks, granted in full or not at all. Want is
	// the total that the holder requests, including Need.
	Need fleet.Tokens `json:"need"`
	Want fleet.Tokens `json:"want"`
	// SharePerMille limits what the holder gets beyond Need, as a part of what is
	// still free in the budget.
	SharePerMille int64 `json:"sharePerMille"`
	// AnswersRecall is true if the change responds to a recall: the holder has
	// returned all it could.
	AnswersRecall bool `json:"answersRecall,omitempty"`
	// Spent is what the holder has spent from the lease since its last change. It is
	// used for metered budgets, whose requests are not settled one by one.
	Spent fleet.Tokens `json:"spent,omitempty"`
	// HoldPerMille, if not 0, limits the size of the whole lease, as a part of what
	// the budget has left to spend. Need is granted beyond it.
	HoldPerMille int64 `json:"holdPerMille,omitempty"`
	// Limit is the most that the holder spends from a metered lease after this
	// change, until a later change is acknowledged. It applies at At, the time since
	// boot of the holder's VM, and rises by Slope tokens per second after it.
	Limit fleet.Tokens  `json:"limit,omitempty"`
	Slope fleet.Tokens  `json:"slope,omitempty"`
	At    time.Duration `json:"at,omitempty"`
}

// LeaseResult is the result of a LeaseChange.
type LeaseResult struct {
	_ struct{} `cbor:",toarray"`

	Seq     uint64       `json:"seq"`
	Granted fleet.Tokens `json:"granted"`
	// Free is what the budget has left outside all leases.
	Free fleet.Tokens `json:"free"`
	// LeasedElsewhere is what other holders have leased.
	LeasedElsewhere fleet.Tokens `json:"leasedElsewhere"`
	// Recalling is true if quota was recalled from other holders, so that a new
	// change soon afterwards may succeed.
	Recalling bool `json:"recalling,omitempty"`
	// Unknown is true if the budget does not exist or the holder's incarnation is not
	// the registered one.
	Unknown bool `json:"unknown,omitempty"`
}

// RequestKey identifies one request across the fleet. It includes the body, so that
// reusing an id for other work does not make that work free. At-most-once calls have no
// Body here: they are identified by the id alone, and a different body is rejected.
type RequestKey struct {
	_ struct{} `cbor:",toarray"`

	Workspace fleet.WorkspaceID `json:"workspace"`
	Request   fleet.RequestID   `json:"request"`
	Body      BodySum           `json:"body"`
}

// BodySum is the first half of a SHA-256 sum over a request's body.
type BodySum [16]byte

// Settlement is the bill of one request.
type Settlement struct {
	_ struct{} `cbor:",toarray"`

	Key    RequestKey     `json:"key"`
	Budget fleet.BudgetID `json:"budget"`
	Holder fleet.Holder   `json:"holder"`
	Tokens fleet.Tokens   `json:"tokens"`
	// Attempt is random. It distinguishes a repeated settlement from one for a second
	// run of the same request.
	Attempt uint64 `json:"attempt"`
	// Partial marks the bill of a response that the caller cancelled midway. If the
	// caller retries the request, the later settlement bills only the difference, so
	// that the request costs exactly one complete response.
	Partial bool `json:"partial,omitempty"`
}

// Settle bills a batch of requests.
type Settle struct {
	Settlements []Settlement `json:"settlements"`
}

// SettleStatus is the outcome of one settlement.
type SettleStatus string

// The outcomes of a settlement.
const (
	// SettledNow means that this settlement was billed.
	SettledNow SettleStatus = "settled"
	// SettledBefore means that the request was billed earlier, with the amount in the
	// result, and is not billed again.
	SettledBefore SettleStatus = "settledBefore"
	// SettleTooOld means that the request id is older than the retained records, so
	// that a duplicate could not be detected. Nothing is billed.
	SettleTooOld SettleStatus = "tooOld"
	// SettleUnbacked means that the holder's lease and the budget's free amount
	// together do not cover the bill. Nothing is billed.
	SettleUnbacked SettleStatus = "unbacked"
)

// SettleResult is the result of one settlement.
type SettleResult struct {
	_ struct{} `cbor:",toarray"`

	Status SettleStatus `json:"status"`
	Billed fleet.Tokens `json:"billed"`
	// Charged is what this settlement took from the holder's lease.
	Charged fleet.Tokens `json:"charged"`
}

// Begin records an at-most-once call before it is sent.
type Begin struct {
	Key      RequestKey     `json:"key"`
	Budget   fleet.BudgetID `json:"budget"`
	Holder   fleet.Holder   `json:"holder"`
	BodyHash fleet.Digest   `json:"bodyHash"`
	// Attempt is random. It distinguishes a repeated Begin from one of a second
	// caller.
	Attempt uint64 `json:"attempt"`
}

// CallState is the state of a recorded call.
type CallState string

// The states of a recorded call.
const (
	// CallOpen means that the call may be in flight or that its outcome is lost.
	CallOpen CallState = "open"
	// CallDone means that the call ran and its response is stored.
	CallDone CallState = "done"
	// CallNotRun means that the call is proven not to have been sent.
	CallNotRun CallState = "notRun"
)

// Response is the stored response of a call.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
}

// BeginResult is the result of a Begin.
type BeginResult struct {
	// Run is true if the node that sent the Begin is to make the call.
	Run bool `json:"run"`
	// State, Response and Billed describe the earlier call if Run is false.
	State    CallState    `json:"state,omitempty"`
	Response *Response    `json:"answer,omitempty"`
	Billed   fleet.Tokens `json:"billed,omitempty"`
	// OtherBody is true if the id was used before with a different body.
	OtherBody bool `json:"otherBody,omitempty"`
	// TooOld is true if the id is older than the retained records.
	TooOld bool `json:"tooOld,omitempty"`
}

// Finish records the outcome of a call and bills it if it ran.
type Finish struct {
	Key      RequestKey   `json:"key"`
	Attempt  uint64       `json:"attempt"`
	State    CallState    `json:"state"`
	Response *Response    `json:"answer,omitempty"`
	Tokens   fleet.Tokens `json:"tokens"`
}

// ConfirmNoneHeld reports that a node holds no unsubmitted settlement of an ended holder.
type ConfirmNoneHeld struct {
	By    fleet.Holder `json:"by"`
	Ended fleet.Holder `json:"ended"`
}

// Recall requests that a holder return the quota of a budget that it does not need.
type Recall struct {
	Holder fleet.Holder   `json:"holder"`
	Budget fleet.BudgetID `json:"budget"`
}
