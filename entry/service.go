package entry

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/burn"
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/placement"
)

// Timeouts of a service call.
const (
	// beginTimeout is the timeout for recording an at-most-once call in the ledger
	// before it is sent.
	beginTimeout = 3 * time.Second
	// finishTimeout is how long recording the outcome of an at-most-once call may take
	// before the caller gets the error that the outcome is unknown.
	finishTimeout = 3 * time.Second
	// backgroundFinishTimeout is how long recording the outcome then continues in the
	// background, for later retries of the caller.
	backgroundFinishTimeout = 10 * time.Minute
	// lookupTimeout is the time after which an idempotent lookup is retried on another
	// server.
	lookupTimeout = 1500 * time.Millisecond
	callTimeout   = 30 * time.Second
)

// maxStoredResponseBytes is the maximum size of the response to an at-most-once call. The
// ledger stores these responses.
const maxStoredResponseBytes = 64 << 10

// serviceExchange is an exchange with a call of a plain service.
type serviceExchange struct {
	*exchange
	service catalog.Service
	call    catalog.ServiceCall
	path    string
	request placement.Request
}

func (s *Server) service(c *echo.Context) error {
	return s.serve(c, func(x *exchange) operation { return &serviceExchange{exchange: x} })
}

// maxPrice implements operation.
func (r *serviceExchange) maxPrice() fleet.Tokens {
	return r.call.Price
}

// run implements operation.
func (r *serviceExchange) run() error {
	defer r.release(0)
	if r.call.Idempotent {
		return r.runIdempotent()
	}
	return r.runAtMostOnce()
}

// check implements operation. It looks up the service and the call.
func (r *serviceExchange) check() *Refusal {
	request := r.c.Request()
	id := fleet.ServiceID(r.c.Param("service"))
	service, ok := r.server.cfg.Control.View().Service(id)
	if !ok {
		return r.deny(notRun(http.StatusNotFound, TypeNotFound, fmt.Sprintf("unknown service %q", id)))
	}
	r.service = service
	r.path = "/" + strings.TrimPrefix(strings.TrimPrefix(request.URL.Path, "/v1/services/"+string(id)), "/")
	for _, call := range service.Calls {
		if call.Method == request.Method && matchPath(call.Path, r.path) {
			r.call = call
			r.class = call.Class
			r.request = placement.Request{
				Class: call.Class,
				Tier:  r.access.Tier,
				Cost:  max(call.Price, 1),
			}
			return r.checkCall()
		}
	}
	return r.deny(notRun(http.StatusNotFound, TypeNotFound, fmt.Sprintf("service %q has no call %s %s", id, request.Method, r.path)))
}

func (r *serviceExchange) checkCall() *Refusal {
	if refusal := r.checkAge(); r.call.Idempotent && refusal != nil {
		return refusal
	}
	if !r.call.Idempotent && !r.idFromCaller {
		return notRun(http.StatusBadRequest, TypeBadRequest, "this call runs at most once and requires an Idempotency-Key header").withHint("send a new version 7 UUID with each call and the same one with its retries")
	}
	if len(r.server.outsideOfEvacuated(r.server.cfg.Control.View().ServiceServers(r.service.ID))) == 0 {
		return notRun(http.StatusServiceUnavailable, TypeNoBackend, "no backend server serves this service, or all that do are in evacuated data centres").withRetry(5 * time.Second).withCause(burn.CauseBackend)
	}
	return nil
}

// matchPath reports whether a path matches a pattern, in which {name} matches any one
// non-empty segment.
func matchPath(pattern, path string) bool {
	want := strings.Split(pattern, "/")
	got := strings.Split(path, "/")
	if len(want) != len(got) {
		return false
	}
	for i, segment := range want {
		matchesAny := strings.HasPrefix(segment, "{") && strings.HasSuffix(segment, "}") && got[i] != ""
		if segment != got[i] && !matchesAny {
			return false
		}
	}
	return true
}

func (r *serviceExchange) backendCall() backend.Call {
	return backend.Call{
		Method:      r.call.Method,
		Path:        r.path,
		Query:       r.c.Request().URL.RawQuery,
		ContentType: r.c.Request().Header.Get("Content-Type"),
		Body:        r.body,
		RequestID:   r.id,
		Idempotent:  r.call.Idempotent,
	}
}

// runIdempotent executes a call that may be repeated.
func (r *serviceExchange) runIdempotent() error {
	mayHaveRun := false
	var last error
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		if attempt > 1 && !r.server.dispatch.mayRetry(r.access.Workspace) {
			break
		}
		assigned, refusal := r.place(poolKey{service: r.service.ID}, r.request)
		if refusal != nil {
			if mayHaveRun {
				refusal.NotRun = false
				refusal.Outcome = "unknown"
			}
			return r.refuse(refusal)
		}
		response, err := r.callOnce(assigned)
		stop := r.attemptEnded(assigned.key, assigned.server, err, false)
		if err == nil {
			return r.billAndRespond(response)
		}
		if r.ctx.Err() != nil {
			r.abandon()
		}
		last = err
		mayHaveRun = mayHaveRun || !certainlyNotRun(err)
		r.request.Avoid = append(r.request.Avoid, assigned.server.ID)
		if stop {
			break
		}
	}
	return r.refuse(failedCall(last, mayHaveRun))
}

// failedCall returns the refusal of a call whose attempts have all failed.
func failedCall(err error, mayHaveRun bool) *Refusal {
	refusal := notRun(http.StatusServiceUnavailable, TypeNoBackend, fmt.Sprintf("no backend server accepted the call: %v", err))
	if mayHaveRun {
		refusal = unknownOutcome(http.StatusBadGateway, TypeBackendFailed, fmt.Sprintf("the call failed but may have run: %v", err))
	}
	return refusal.withRetry(time.Second).withCause(burn.CauseBackend)
}

// callOnce makes one attempt of an idempotent call.
func (r *serviceExchange) callOnce(assigned assignment) (backend.CallResponse, error) {
	timeout := callTimeout
	if r.call.Idempotent && r.class == fleet.ClassLookup {
		timeout = lookupTimeout
	}
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	response, err := assigned.client.Do(ctx, r.backendCall())
	r.server.dispatch.finish(assigned, outcomeOf(r.ctx, err))
	if err != nil && !certainlyNotRun(err) {
		assigned.client.CloseIdle()
	}
	return response, err
}

// billAndRespond has an idempotent call billed and then sends the response.
func (r *serviceExchange) billAndRespond(response backend.CallResponse) error {
	content := append([]byte(r.call.Method+" "+r.path+"?"+r.c.Request().URL.RawQuery+"\n"), r.body...)
	result, err := r.settle(r.newSettlement(content, r.call.Price, false))
	if err != nil {
		return r.refuse(unknownOutcome(http.StatusServiceUnavailable, TypeNotRecorded, "the call ran but its bill could not be recorded in the ledger or on a second node").withHint("retry with the same request id; the call is billed only once").withRetry(time.Second).withCause(burn.CauseUnknownOutcome))
	}
	r.record("")
	return r.send(response, result.Billed, false)
}

func (r *serviceExchange) send(response backend.CallResponse, billed fleet.Tokens, replayed bool) error {
	header := r.c.Response().Header()
	header.Set(HeaderBilled, strconv.FormatInt(int64(billed), 10))
	if replayed {
		header.Set(HeaderReplayed, "true")
	}
	if !backend.FinalStatus(response.Status) {
		// Earlier versions stored such outcomes.
		return r.refuse(unknownOutcome(http.StatusBadGateway, TypeBackendFailed, "the call may have run; what the backend server sent is no response").withCause(burn.CauseUnknownOutcome))
	}
	if !r.call.Idempotent && backend.PromisesNotRun(response.Status) {
		refusal := unknownOutcome(http.StatusBadGateway, TypeBackendFailed, fmt.Sprintf("the call has run and the backend server responded with status %d", response.Status))
		refusal.BilledTokens = billed
		return r.refuse(refusal.withCause(burn.CauseBackend))
	}
	return r.c.Blob(response.Status, response.ContentType, response.Body)
}

// runAtMostOnce executes a call that must run at most once. The intent is committed to the
// ledger before the call is sent and the outcome after it has ended.
func (r *serviceExchange) runAtMostOnce() error {
	assigned, refusal := r.place(poolKey{service: r.service.ID}, r.request)
	if refusal != nil {
		return r.refuse(refusal)
	}
	begin := r.beginCommand()
	ctx, cancel := context.WithTimeout(r.ctx, beginTimeout)
	result, err := r.server.cfg.Control.Submit(ctx, control.Command{Begin: &begin})
	cancel()
	if err != nil || result.Begun == nil {
		r.server.dispatch.finish(assigned, placement.OutcomeNeutral)
		// The intent may have been committed, but the call was not sent and will
		// not be, because only this attempt could have sent it.
		return r.refuse(notRun(http.StatusServiceUnavailable, TypeControlUnreachable, "the intent to run the call could not be recorded in the ledger").withHint("retry with the same request id").withRetry(time.Second).withCause(burn.CauseControlUnreachable))
	}
	if !result.Begun.Run {
		r.server.dispatch.finish(assigned, placement.OutcomeNeutral)
		return r.respondFromRecord(*result.Begun)
	}
	return r.makeCall(assigned, begin)
}

// beginCommand returns the ledger command that records the call's intent.
func (r *serviceExchange) beginCommand() ledger.Begin {
	content := append([]byte(r.call.Method+" "+string(r.service.ID)+r.path+"?"+r.c.Request().URL.RawQuery+"\n"), r.body...)
	return ledger.Begin{
		Key: ledger.RequestKey{
			Workspace: r.access.Workspace,
			Request:   r.id,
		},
		Budget:   r.access.Budget,
		Holder:   r.server.cfg.Holder,
		BodyHash: sha256.Sum256(content),
		Attempt:  randomAttempt(),
	}
}

// respondFromRecord responds with the recorded outcome of an earlier attempt.
func (r *serviceExchange) respondFromRecord(begun ledger.BeginResult) error {
	switch {
	case begun.OtherBody:
		return r.refuse(notRun(http.StatusUnprocessableEntity, TypeIDUsedWithOtherBody, "the request id was already used for a different request").withHint("use a new request id for each call"))
	case begun.TooOld:
		return r.refuse(unknownOutcome(http.StatusConflict, TypeTooOld, "the request id is too old to determine whether the request has already run"))
	case begun.State == ledger.CallDone && begun.Response != nil:
		r.record("")
		return r.send(backend.CallResponse(*begun.Response), begun.Billed, true)
	}
	return r.refuse(unknownOutcome(http.StatusConflict, TypeOutcomeInDoubt, "an earlier attempt with this request id is in progress or its outcome is unknown; the call is not run again").withHint("retry with the same request id to get the outcome once it is recorded").withRetry(2 * time.Second).withCause(burn.CauseUnknownOutcome))
}

// makeCall sends the call. It retries on another server only if it is certain that the call
// has not run.
func (r *serviceExchange) makeCall(assigned assignment, begin ledger.Begin) error {
	var err error
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		if attempt > 1 {
			refusal := (*Refusal)(nil)
			assigned, refusal = r.place(poolKey{service: r.service.ID}, r.request)
			if refusal != nil {
				r.recordNotRun(begin)
				return r.refuse(refusal)
			}
		}
		var response backend.CallResponse
		response, err = r.callAtMostOnce(assigned)
		if err == nil {
			return r.recordDone(begin, response)
		}
		if !certainlyNotRun(err) {
			r.server.cfg.Log.Warn(event.CallInDoubt).Str("request", r.id.String()).Err(err).Msg("outcome of an at-most-once call is unknown")
			return r.refuse(unknownOutcome(http.StatusBadGateway, TypeOutcomeInDoubt, "the call may have run; it will not be run again with this request id").withCause(burn.CauseUnknownOutcome))
		}
		r.request.Avoid = append(r.request.Avoid, assigned.server.ID)
	}
	r.recordNotRun(begin)
	return r.refuse(failedCall(err, false))
}

// callAtMostOnce makes one attempt of an at-most-once call. It does not stop when the caller
// disconnects, so that the outcome is still recorded.
func (r *serviceExchange) callAtMostOnce(assigned assignment) (backend.CallResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), callTimeout)
	defer cancel()
	response, err := assigned.client.Do(ctx, r.backendCall())
	if err == nil && len(response.Body) > maxStoredResponseBytes {
		err = eris.Wrapf(backend.ErrInterrupted, "backend server %s: the response exceeds %d bytes", assigned.server.ID, maxStoredResponseBytes)
	}
	r.server.dispatch.finish(assigned, outcomeOf(ctx, err))
	r.attemptEnded(assigned.key, assigned.server, err, false)
	return response, err
}

// recordDone records the outcome of a completed call and then sends the response.
func (r *serviceExchange) recordDone(begin ledger.Begin, response backend.CallResponse) error {
	stored := ledger.Response(response)
	finish := ledger.Finish{
		Key:      begin.Key,
		Attempt:  begin.Attempt,
		State:    ledger.CallDone,
		Response: &stored,
		Tokens:   r.call.Price,
	}
	result, err := r.submitFinish(finish, finishTimeout)
	if err != nil {
		reserved := r.reserved
		r.reserved = 0
		r.finishInBackground(finish, reserved)
		return r.refuse(unknownOutcome(http.StatusBadGateway, TypeNotRecorded, "the call ran but its outcome could not be recorded yet").withHint("retry with the same request id to get the response").withRetry(2 * time.Second).withCause(burn.CauseUnknownOutcome))
	}
	r.release(result.Charged)
	r.record("")
	return r.send(response, result.Billed, false)
}

// finishInBackground continues recording an outcome after the request has ended, so that a
// retry finds it. The quota stays reserved until then.
func (r *serviceExchange) finishInBackground(finish ledger.Finish, reserved fleet.Tokens) {
	r.server.backgroundFinishes.Go(func() {
		result, err := r.submitFinish(finish, backgroundFinishTimeout)
		spent := reserved
		if err == nil {
			spent = min(result.Charged, reserved)
		}
		r.server.quota.Release(r.access.Budget, reserved, spent)
	})
}

// recordNotRun records that a call did not run, so that a retry may run it.
func (r *serviceExchange) recordNotRun(begin ledger.Begin) {
	finish := ledger.Finish{
		Key:     begin.Key,
		Attempt: begin.Attempt,
		State:   ledger.CallNotRun,
	}
	if _, err := r.submitFinish(finish, finishTimeout); err != nil {
		r.finishInBackground(finish, 0)
	}
}

func (r *serviceExchange) submitFinish(finish ledger.Finish, timeout time.Duration) (ledger.SettleResult, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), timeout)
	defer cancel()
	result, err := r.server.cfg.Control.Submit(ctx, control.Command{Finish: &finish})
	if err != nil {
		return ledger.SettleResult{}, err
	}
	if result.Finished == nil {
		return ledger.SettleResult{}, eris.New("entry: record the outcome of a call: the ledger returned no result")
	}
	return *result.Finished, nil
}
