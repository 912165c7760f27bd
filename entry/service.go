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

// Times of a service call.
const (
	beginTimeout = 3 * time.Second
	// finishTimeout bounds how long the outcome of an at-most-once call is
	// tried to be recorded before the caller hears that it is in doubt.
	finishTimeout = 3 * time.Second
	// finishPatience bounds the same in the background, for later retries.
	finishPatience = 10 * time.Minute
	// lookupTimeout is the wait for an idempotent lookup before it is tried on
	// another server.
	lookupTimeout = 1500 * time.Millisecond
	callTimeout   = 30 * time.Second
)

// maxStoredAnswer bounds the answer of an at-most-once call, which the ledger
// keeps.
const maxStoredAnswer = 64 << 10

// serviceRun is one call of a plain service in progress.
type serviceRun struct {
	*exchange
	service catalog.Service
	call    catalog.ServiceCall
	path    string
	request placement.Request
}

func (s *Server) service(c *echo.Context) error {
	return s.serve(c, func(x *exchange) work { return &serviceRun{exchange: x} })
}

// highestPrice implements work.
func (r *serviceRun) highestPrice() fleet.Tokens {
	return r.call.Price
}

// run implements work.
func (r *serviceRun) run() error {
	defer r.release(0)
	if r.call.Idempotent {
		return r.runIdempotent()
	}
	return r.runOnce()
}

// check implements work: it looks up the service and the call.
func (r *serviceRun) check() *Refusal {
	request := r.c.Request()
	id := fleet.ServiceID(r.c.Param("service"))
	service, ok := r.server.cfg.Link.View().Service(id)
	if !ok {
		return notRun(http.StatusNotFound, TypeNotFound, fmt.Sprintf("there is no service %q", id))
	}
	r.service = service
	r.path = "/" + strings.TrimPrefix(strings.TrimPrefix(request.URL.Path, "/v1/services/"+string(id)), "/")
	for _, call := range service.Calls {
		if call.Method == request.Method && matches(call.Path, r.path) {
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
	return notRun(http.StatusNotFound, TypeNotFound, fmt.Sprintf("service %q has no call %s %s", id, request.Method, r.path))
}

func (r *serviceRun) checkCall() *Refusal {
	if refusal := r.checkAge(); r.call.Idempotent && refusal != nil {
		return refusal
	}
	if !r.call.Idempotent && !r.named {
		return notRun(http.StatusBadRequest, TypeBadRequest, "this call runs at most once and needs an Idempotency-Key").withHint("send a new UUID of version 7, and the same one with each retry")
	}
	if len(r.server.cfg.Link.View().ServiceServers(r.service.ID)) == 0 {
		return notRun(http.StatusServiceUnavailable, TypeNoBackend, "no backend server serves this service").withRetry(5 * time.Second).because(burn.CauseBackend)
	}
	return nil
}

// matches compares a path with a pattern, in which {name} stands for any one
// segment.
func matches(pattern, path string) bool {
	want := strings.Split(pattern, "/")
	got := strings.Split(path, "/")
	if len(want) != len(got) {
		return false
	}
	for i, segment := range want {
		variable := strings.HasPrefix(segment, "{") && strings.HasSuffix(segment, "}") && got[i] != ""
		if segment != got[i] && !variable {
			return false
		}
	}
	return true
}

func (r *serviceRun) backendCall() backend.Call {
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

// runIdempotent makes a call that may be repeated.
func (r *serviceRun) runIdempotent() error {
	mayHaveRun := false
	var last error
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		if attempt > 1 && !r.server.dispatch.mayRetry(r.access.Workspace) {
			break
		}
		g, refusal := r.place(poolKey{service: r.service.ID}, r.request)
		if refusal != nil {
			if mayHaveRun {
				refusal.NotRun = false
				refusal.Outcome = "unknown"
			}
			return r.refuse(refusal)
		}
		answer, err := r.try(g)
		if err == nil {
			return r.settleAndAnswer(answer)
		}
		if r.ctx.Err() != nil {
			r.record("")
			return nil
		}
		last = err
		mayHaveRun = mayHaveRun || !certainlyNotRun(err)
		r.request.Avoid = append(r.request.Avoid, g.server.ID)
	}
	return r.refuse(failedCall(last, mayHaveRun))
}

func failedCall(err error, mayHaveRun bool) *Refusal {
	refusal := notRun(http.StatusServiceUnavailable, TypeNoBackend, fmt.Sprintf("no backend server took the call: %v", err))
	if mayHaveRun {
		refusal = unknown(http.StatusBadGateway, TypeBackendFailed, fmt.Sprintf("the call may have run: %v", err))
	}
	return refusal.withRetry(time.Second).because(burn.CauseBackend)
}

func (r *serviceRun) try(g grant) (backend.Answer, error) {
	timeout := callTimeout
	if r.call.Idempotent && r.class == fleet.ClassLookup {
		timeout = lookupTimeout
	}
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	answer, err := g.client.Do(ctx, r.backendCall())
	r.server.dispatch.finish(g, outcomeOf(r.ctx, err))
	if err != nil && !certainlyNotRun(err) {
		g.client.CloseIdle()
	}
	return answer, err
}

// settleAndAnswer bills an idempotent call and then answers.
func (r *serviceRun) settleAndAnswer(answer backend.Answer) error {
	content := append([]byte(r.call.Method+" "+r.path+"?"+r.c.Request().URL.RawQuery+"\n"), r.body...)
	result, err := r.settle(r.bill(content, r.call.Price, false))
	if err != nil {
		return r.refuse(unknown(http.StatusServiceUnavailable, TypeNotRecorded, "the call ran but its bill could not be recorded on a second node").withHint("repeat it under the same id; it is billed once").withRetry(time.Second).because(burn.CauseUnknownOutcome))
	}
	r.record("")
	return r.send(answer, result.Billed, false)
}

func (r *serviceRun) send(answer backend.Answer, billed fleet.Tokens, replayed bool) error {
	header := r.c.Response().Header()
	header.Set(HeaderBilled, strconv.FormatInt(int64(billed), 10))
	if replayed {
		header.Set(HeaderReplayed, "true")
	}
	return r.c.Blob(answer.Status, answer.ContentType, answer.Body)
}

// runOnce makes a call that runs at most once. Its intent is committed before the
// call leaves, and its outcome after.
func (r *serviceRun) runOnce() error {
	g, refusal := r.place(poolKey{service: r.service.ID}, r.request)
	if refusal != nil {
		return r.refuse(refusal)
	}
	begin := r.intent()
	ctx, cancel := context.WithTimeout(r.ctx, beginTimeout)
	result, err := r.server.cfg.Link.Submit(ctx, control.Command{Begin: &begin})
	cancel()
	if err != nil || result.Begun == nil {
		r.server.dispatch.finish(g, placement.OutcomeNeutral)
		// The intent may have been committed, but the call has not left and
		// will not: this attempt is the only one that could have made it.
		return r.refuse(notRun(http.StatusServiceUnavailable, TypeControlUnreachable, "the call's intent could not be recorded").withHint("repeat it under the same id").withRetry(time.Second).because(burn.CauseControlUnreachable))
	}
	if !result.Begun.Run {
		r.server.dispatch.finish(g, placement.OutcomeNeutral)
		return r.answerEarlier(*result.Begun)
	}
	return r.makeCall(g, begin)
}

func (r *serviceRun) intent() ledger.Begin {
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

// answerEarlier answers from the record of an earlier attempt.
func (r *serviceRun) answerEarlier(begun ledger.BeginResult) error {
	switch {
	case begun.OtherBody:
		return r.refuse(notRun(http.StatusUnprocessableEntity, TypeIDUsedWithOtherBody, "the request id was used before with another body").withHint("use a new id for a new call"))
	case begun.TooOld:
		return r.refuse(unknown(http.StatusConflict, TypeTooOld, "the request id is too old to tell whether it ran before"))
	case begun.State == ledger.CallDone && begun.Answer != nil:
		r.record("")
		return r.send(backend.Answer(*begun.Answer), begun.Billed, true)
	}
	return r.refuse(unknown(http.StatusConflict, TypeOutcomeInDoubt, "an earlier attempt under this id is under way, or its outcome was lost; it is not run again").withHint("repeat it under the same id to learn the outcome once it is recorded").withRetry(2 * time.Second).because(burn.CauseUnknownOutcome))
}

// makeCall makes the call, on another server only while it is certain that it has
// not run.
func (r *serviceRun) makeCall(g grant, begin ledger.Begin) error {
	var err error
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		if attempt > 1 {
			refusal := (*Refusal)(nil)
			g, refusal = r.place(poolKey{service: r.service.ID}, r.request)
			if refusal != nil {
				r.finishNotRun(begin)
				return r.refuse(refusal)
			}
		}
		var answer backend.Answer
		answer, err = r.tryOnce(g)
		if err == nil {
			return r.finishDone(begin, answer)
		}
		if !certainlyNotRun(err) {
			r.server.cfg.Log.Warn(event.CallInDoubt).Str("request", r.id.String()).Err(err).Msg("the outcome of a call is in doubt")
			return r.refuse(unknown(http.StatusBadGateway, TypeOutcomeInDoubt, "the call may have run; it will not be run again under this id").because(burn.CauseUnknownOutcome))
		}
		r.request.Avoid = append(r.request.Avoid, g.server.ID)
	}
	r.finishNotRun(begin)
	return r.refuse(failedCall(err, false))
}

// tryOnce makes the call. It goes on when the caller leaves, so that the outcome is
// not lost needlessly.
func (r *serviceRun) tryOnce(g grant) (backend.Answer, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), callTimeout)
	defer cancel()
	answer, err := g.client.Do(ctx, r.backendCall())
	if err == nil && len(answer.Body) > maxStoredAnswer {
		err = eris.Wrapf(backend.ErrInterrupted, "backend server %s: the answer exceeds %d bytes", g.server.ID, maxStoredAnswer)
	}
	r.server.dispatch.finish(g, outcomeOf(ctx, err))
	return answer, err
}

func (r *serviceRun) finishDone(begin ledger.Begin, answer backend.Answer) error {
	stored := ledger.Answer(answer)
	finish := ledger.Finish{
		Key:     begin.Key,
		Attempt: begin.Attempt,
		State:   ledger.CallDone,
		Answer:  &stored,
		Tokens:  r.call.Price,
	}
	result, err := r.submitFinish(finish, finishTimeout)
	if err != nil {
		reserved := r.reserved
		r.reserved = 0
		r.finishLater(finish, reserved)
		return r.refuse(unknown(http.StatusServiceUnavailable, TypeNotRecorded, "the call ran but its outcome could not be recorded yet").withHint("repeat it under the same id to get the answer").withRetry(2 * time.Second).because(burn.CauseUnknownOutcome))
	}
	r.release(result.Charged)
	r.record("")
	return r.send(answer, result.Billed, false)
}

// finishLater goes on recording an outcome, so that a retry finds it. The quota
// stays set aside until then.
func (r *serviceRun) finishLater(finish ledger.Finish, reserved fleet.Tokens) {
	r.server.finishes.Go(func() {
		result, err := r.submitFinish(finish, finishPatience)
		spent := reserved
		if err == nil {
			spent = min(result.Charged, reserved)
		}
		r.server.quota.Release(r.access.Budget, reserved, spent)
	})
}

func (r *serviceRun) finishNotRun(begin ledger.Begin) {
	finish := ledger.Finish{
		Key:     begin.Key,
		Attempt: begin.Attempt,
		State:   ledger.CallNotRun,
	}
	if _, err := r.submitFinish(finish, finishTimeout); err != nil {
		r.finishLater(finish, 0)
	}
}

func (r *serviceRun) submitFinish(finish ledger.Finish, timeout time.Duration) (ledger.SettleResult, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), timeout)
	defer cancel()
	result, err := r.server.cfg.Link.Submit(ctx, control.Command{Finish: &finish})
	if err != nil {
		return ledger.SettleResult{}, err
	}
	if result.Finished == nil {
		return ledger.SettleResult{}, eris.New("entry: the ledger gave no result")
	}
	return *result.Finished, nil
}
