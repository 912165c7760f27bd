package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/intake"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/quarantine"
	"github.com/waxwingreel/waxwingreel/quota"
	"github.com/waxwingreel/waxwingreel/routing"
)

const (
	// maxFailedConnects limits the failed connects of one request. They do not count
	// as attempts because nothing was sent.
	maxFailedConnects = 3
	// minAttemptTime is the least time to the deadline that is worth another attempt.
	minAttemptTime = 30 * time.Millisecond
)

// errDeadline is the cause of a context cancelled at the request's deadline,
// errAttemptReplaced of one cancelled so that another instance can be tried.
var (
	errDeadline        = errors.New("the request's deadline passed")
	errAttemptReplaced = errors.New("no response in half of the remaining time; trying another instance")
)

// exchange is the state of one routed request, from its arrival to its end.
type exchange struct {
	s    *Server
	w    http.ResponseWriter
	r    *http.Request
	ctx  context.Context
	view *routing.View
	// unconfirmed is for how long, at the request's arrival, the view had not been confirmed to be
	// the newest.
	unconfirmed time.Duration
	request     routing.Request
	route       *routing.Route
	service     *routing.Service
	workspace   *routing.Workspace
	body        []byte
	// identity is what the request has in common with its repetitions, empty until the body is
	// known.
	identity routing.PartID
	// buffers is the memory that the bodies of the request and of its responses take.
	buffers  intake.Allocation
	arrived  time.Duration
	deadline time.Duration
	reserved fleet.Tokens
	// delivered is the most output tokens that the caller may have got by now.
	delivered fleet.Tokens
	// shortage is why quota could not be reserved, nil if it could.
	shortage *quota.Shortage
	// mayHaveRun is set once an instance may have started to execute the request.
	mayHaveRun bool
	// chargeable is set once an instance may have begun to respond. One that had sent nothing when its
	// caller left has begun nothing.
	chargeable     bool
	attempts       int
	failedConnects int
	// retryTaken is set if the next attempt was already taken from the retry budget.
	retryTaken     bool
	avoidInstances []fleet.BackendServerID
	// activeClaim is the current attempt's claim on its engine. reassignments counts
	// how often other nodes' claims led to the choice of another engine.
	activeClaim   *placement.Claim
	reassignments int
	// sentAt is when the current attempt was sent, speedSample what its first byte has told of the engine's
	// speed, nil if nothing.
	sentAt      time.Duration
	speedSample *placement.SpeedSample
	// counted is set once the request counts for the retry budget. permitted is set if the current
	// attempt has a permit of a limited instance, permitsRefused counts those that were refused.
	counted        bool
	permitted      bool
	permitsRefused int
	// newerVersion is the latest version by which another node has found the request outdated.
	newerVersion routing.Version
	// relayed is set if the current attempt went through another node, relayedBy is the last one that was asked.
	relayed   bool
	relayedBy fleet.NodeID
	// lastOnConnection is set if the caller must open another connection after this
	// request.
	lastOnConnection bool
	// headerSent is set once the response's header was sent to the caller. events is the
	// number of stream events delivered, lastEvent the id of the last one.
	headerSent bool
	events     int
	lastEvent  string
	// unresumable is set while the caller has more of the stream than the id of its last event says,
	// so that no other response can continue it.
	unresumable bool
	// origin is where the stream began, nil until its first event was delivered by this response or
	// an earlier one. Other software versions must not continue it.
	origin *routing.Origin
	// framing is that of the last response read, and unfinishedBytes what came of an event
	// before the response ended.
	framing         backend.Framing
	unfinishedBytes int
	// letThrough is when the link had room for the request, roomAfter the time until it may have.
	letThrough time.Duration
	roomAfter  time.Duration
	// complete is set once the caller has been sent a whole response. The connection of any other
	// exchange is closed, so that its response does not look complete.
	complete bool
	// failedResponse is the latest 5xx response of an instance. It is delivered if no
	// later attempt succeeds.
	failedResponse *bufferedResponse
	// instancesFullFor is the time until the first instance takes requests again, 0 unless all
	// have said that they are full.
	instancesFullFor time.Duration
	// instancesLimited is how many of them are full for want of permits.
	instancesLimited int
	// suspendedFor is the time for which suspendedPart, a part of the prompt or the identity of the
	// request, is suspended.
	suspendedFor  time.Duration
	suspendedPart routing.PartID
	// responseBegun is set once the current attempt has the header of its response, and
	// eventsBefore is the number of events delivered before the attempt.
	responseBegun bool
	eventsBefore  int
	// instanceStatus is the status of the last response read, 0 if there was none.
	instanceStatus int
	// brokenStarts counts the instances that broke off this request before its first event.
	brokenStarts int
	// lastInstance, status and cause are logged when the request ends.
	lastInstance fleet.BackendServerID
	// hasPlace is set while the request holds one of the node's places.
	hasPlace bool
	status   int
	cause    Cause
}

// bufferedResponse is a complete response of an instance.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// serve handles the request from start to end.
func (x *exchange) serve() {
	defer x.buffers.Release()
	if !x.resolve() || !x.readBody() || !x.takePlace() {
		return
	}
	x.identity = quarantine.Identity(x.caller(), x.r.Host, x.r.RequestURI, x.body)
	if x.quarantined() {
		x.refuse(x.suspensionCause())
		return
	}
	if !x.endsInTime() {
		x.refuse(CauseNodeStopping)
		return
	}
	running, ended := x.s.withEnd(x.r.Context())
	defer ended()
	remaining := x.deadline - clock.SinceBoot()
	ctx, cancel := context.WithTimeoutCause(running, remaining, errDeadline)
	defer cancel()
	x.ctx = ctx
	if !x.findOrigin() || !x.awaitRoom() || !x.reserve() {
		return
	}
	defer x.release()
	x.run()
}

// resolve finds the request's route, workspace, service and deadline. If it fails, it
// responds to the caller with the cause and returns false.
func (x *exchange) resolve() bool {
	if x.view == nil {
		x.refuse(CauseNoConfiguration)
		return false
	}
	if limit := x.view.Config.Limits.HeaderBytes; limit > 0 && headerBytes(x.r) > limit {
		x.reject(http.StatusRequestHeaderFieldsTooLarge, CauseHeaderTooLarge)
		return false
	}
	request, err := x.s.cfg.Protocol.ReadRequest(x.r)
	if err != nil {
		x.reject(http.StatusBadRequest, CauseMalformed)
		return false
	}
	x.request = request
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	x.route = x.view.Match(x.r.Host, path)
	if x.route == nil {
		x.deny(http.StatusNotFound, CauseNoRoute)
		return false
	}
	if request.Key != "" {
		x.workspace = x.view.Workspace(request.Key)
	}
	if x.workspace == nil && x.view.KeysNeeded() && !x.route.Public {
		x.deny(http.StatusUnauthorized, CauseUnknownKey)
		return false
	}
	x.service = x.view.Service(x.route.Choose(request.ID))
	wait := x.route.Timeout
	if request.Wait > 0 {
		wait = min(wait, request.Wait)
	}
	x.deadline = x.arrived + wait
	return true
}

// caller returns the workspace of the request, or its key if that is unknown.
func (x *exchange) caller() string {
	if x.workspace != nil {
		return string(x.workspace.ID)
	}
	return x.request.Key
}

// headerBytes returns the least size that a request's header can have had on the wire.
func headerBytes(r *http.Request) int {
	const perLine = len(":\r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + perLine
		}
	}
	return size
}

// readBody buffers the whole body, so that a later attempt can send it again.
func (x *exchange) readBody() bool {
	controller := http.NewResponseController(x.w)
	// The server's limit on the time to read a request must not end the request itself: it
	// would count as the caller's disconnect.
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	if x.r.Body == nil || x.r.ContentLength == 0 {
		return true
	}
	limit := x.view.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength > limit {
		x.reject(http.StatusRequestEntityTooLarge, CauseBodyTooLarge)
		return false
	}
	_ = controller.SetReadDeadline(time.Now().Add(x.deadline - clock.SinceBoot()))
	x.leavePlace()
	body, err := x.buffers.ReadAll(x.r.Body, x.r.ContentLength, limit)
	switch {
	case errors.Is(err, intake.ErrTooLong):
		x.reject(http.StatusRequestEntityTooLarge, CauseBodyTooLarge)
		return false
	case errors.Is(err, intake.ErrFull):
		x.refuse(CauseNodeBusy)
		return false
	case err != nil:
		x.cause = CauseBodyTruncated
		x.status = http.StatusBadRequest
		x.logEnd(err)
		return false
	}
	x.body = body
	return true
}

// run makes attempts until the caller has a response or no further attempt is allowed.
func (x *exchange) run() {
	for {
		// It may have been suspended while the request waited.
		if !x.admitted() {
			x.fail(x.suspensionCause())
			return
		}
		placed, listAge, ok := x.chooseInstance(placement.ForecastRequest{
			Parts:  x.request.Parts,
			Prompt: x.request.Prompt,
			Avoid:  x.avoidInstances,
			Origin: x.origin,
		})
		if !ok {
			x.failWithoutInstance()
			return
		}
		x.logPlaced(placed, listAge)
		result, err := x.attempt(placed)
		if result == resultDelivered || result == resultCallerDisconnected || result == resultUnpaid {
			return
		}
		x.logAttempt(placed, result, err)
		if result == resultOutdated {
			if !x.decideAgain() {
				return
			}
			continue
		}
		if result == resultTimeout {
			x.fail(CauseDeadline)
			return
		}
		x.avoidInstances = append(x.avoidInstances, placed.Instance.ID)
		if !x.mayTryAgain(result) {
			x.fail(causeOf(result))
			return
		}
	}
}

// failWithoutInstance ends a request for which there is no instance. If all of them have said for
// how long they are full, the caller is told the earliest of these times.
func (x *exchange) failWithoutInstance() {
	x.instancesFullFor, x.instancesLimited = x.s.dispatch.fullFor(x.service.ID, x.origin)
	switch {
	case x.instancesFullFor > 0:
		x.fail(CauseInstanceBusy)
		return
	case x.origin != nil && !x.s.dispatch.serves(*x.origin):
		x.fail(CauseVersionGone)
		return
	case x.s.dispatch.isEvacuated(x.service.ID, x.origin):
		x.fail(CauseEvacuated)
		return
	}
	x.fail(CauseNoInstance)
}

// mayTryAgain reports whether another attempt may follow, and takes it from the retry
// budget if one is needed. A request that may have run is repeated only if its route
// allows it.
func (x *exchange) mayTryAgain(result attemptResult) bool {
	if result == resultNoPath || x.unresumable || x.deadline-clock.SinceBoot() < minAttemptTime {
		return false
	}
	if result == resultNotSent {
		return x.failedConnects < maxFailedConnects
	}
	if result != resultNotRun && !x.route.Repeatable() {
		return false
	}
	if x.attempts >= x.route.MaxAttempts || x.suspect() {
		return false
	}
	retryTaken := x.retryTaken
	x.retryTaken = false
	return retryTaken || x.s.dispatch.takeRetry(x.service.ID)
}

// fail ends a request for which no attempt produced a response to the caller.
func (x *exchange) fail(cause Cause) {
	switch {
	case x.r.Context().Err() != nil:
		x.logDisconnect()
	case x.headerSent:
		x.cause = cause
		x.logEnd(nil)
	case x.failedResponse != nil:
		x.deliver(*x.failedResponse, cause)
	case !x.mayHaveRun && cause != CauseDeadline:
		x.refuse(cause)
	case cause == CauseDeadline:
		x.reject(http.StatusGatewayTimeout, cause)
	default:
		x.reject(http.StatusBadGateway, cause)
	}
}
