package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v5"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/burn"
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/placement"
)

// Limits, sizes and timeouts of chat completions.
const (
	// maxAttempts is the maximum number of attempts of one request, including those
	// that resume a stream.
	maxAttempts = 6
	// messageOverhead is the maximum number of tokens that an engine's chat template
	// adds to a message.
	messageOverhead = 16
	// prefixBlockBytes is the size of the blocks in which placement compares prompts.
	// Engines report their cache contents in blocks of this size.
	prefixBlockBytes = 256
	// bytesPerToken is the typical size of a token. It is used for estimates only.
	bytesPerToken = 4
	// maxPrefixes is the maximum number of blocks that are hashed per prompt.
	maxPrefixes = 64
	// slowFirstToken is the time to the first token of an attempt above which the
	// server counts as overloaded and this node sends it less work.
	slowFirstToken = time.Second
	// settleTimeout is the timeout for recording a settlement.
	settleTimeout = 5 * time.Second
)

// chatExchange is an exchange with a chat completion request.
type chatExchange struct {
	*exchange
	chat    backend.Chat
	model   catalog.Model
	stream  bool
	request placement.Request
	// deliveredTokens and text are what the caller has received, or will receive if the
	// response is not streamed.
	deliveredTokens int
	text            strings.Builder
	usage           backend.Usage
	finishReason    string
	streamStarted   bool
	lastToken       time.Duration
	// timeToFirstToken is the latest attempt's time to its first token.
	timeToFirstToken time.Duration
}

func (s *Server) chat(c *echo.Context) error {
	return s.serve(c, func(x *exchange) operation { return &chatExchange{exchange: x} })
}

// run implements operation.
func (r *chatExchange) run() error {
	if refusal := r.generate(); refusal != nil {
		return r.fail(refusal)
	}
	return r.billAndRespond()
}

// check implements operation. It parses and validates the body.
func (r *chatExchange) check() *Refusal {
	if refusal := r.checkAge(); refusal != nil {
		return refusal
	}
	if err := json.Unmarshal(r.body, &r.chat); err != nil {
		return notRun(http.StatusBadRequest, TypeBadRequest, "cannot parse the body as a chat completion request: "+err.Error())
	}
	model, _, ok := r.server.cfg.Control.View().Model(r.chat.Model)
	if !ok {
		return r.deny(notRun(http.StatusNotFound, TypeNotFound, fmt.Sprintf("unknown model %q", r.chat.Model)))
	}
	r.model = model
	r.stream = r.chat.Stream
	r.chat.Resume = nil
	if r.chat.MaxCompletionTokens != 0 {
		r.chat.MaxTokens = r.chat.MaxCompletionTokens
		r.chat.MaxCompletionTokens = 0
	}
	if r.chat.MaxTokens == 0 {
		r.chat.MaxTokens = model.MaxOutput
	}
	if refusal := r.checkChat(); refusal != nil {
		return refusal
	}
	return r.classify()
}

func (r *chatExchange) checkChat() *Refusal {
	switch {
	case len(r.chat.Messages) == 0:
		return notRun(http.StatusBadRequest, TypeBadRequest, "messages is empty")
	case r.chat.MaxTokens < 0:
		return notRun(http.StatusBadRequest, TypeBadRequest, "max_tokens is negative")
	case r.chat.MaxTokens > r.model.MaxOutput:
		return notRun(http.StatusBadRequest, TypeBadRequest, fmt.Sprintf("max_tokens is %d but the limit of the model is %d", r.chat.MaxTokens, r.model.MaxOutput))
	case len(r.server.outsideOfEvacuated(r.server.cfg.Control.View().Engines(r.model.ID))) == 0:
		return notRun(http.StatusServiceUnavailable, TypeNoBackend, "no backend server serves the model, or all that do are in evacuated data centres").withRetry(5 * time.Second).withCause(burn.CauseBackend)
	}
	return nil
}

// classify sets the class of the request. It is the class that the caller requests, except
// that a long prompt always has class long.
func (r *chatExchange) classify() *Refusal {
	r.class = fleet.ClassInteractive
	if requested := fleet.Class(r.c.Request().Header.Get(HeaderClass)); requested != "" {
		if !requested.Valid() {
			return notRun(http.StatusBadRequest, TypeBadRequest, fmt.Sprintf("%s: unknown class %q", HeaderClass, requested)).withHint("use lookup, interactive or long")
		}
		r.class = requested
	}
	estimate := fleet.Tokens(len(r.body) / bytesPerToken)
	if r.model.LongPromptTokens > 0 && estimate >= r.model.LongPromptTokens {
		r.class = fleet.ClassLong
	}
	r.request = placement.Request{
		Class:       r.class,
		Tier:        r.access.Tier,
		Cost:        estimate + r.chat.MaxTokens,
		Prefixes:    prefixHashes(r.chat),
		BlockTokens: prefixBlockBytes / bytesPerToken,
	}
	return nil
}

// prefixHashes returns the hashes of the leading prefixes of the prompt whose lengths are
// multiples of prefixBlockBytes, at most maxPrefixes of them.
func prefixHashes(chat backend.Chat) []placement.PrefixHash {
	var b strings.Builder
	for _, m := range chat.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	prompt := b.String()
	sum := xxhash.New()
	var hashes []placement.PrefixHash
	for at := 0; at+prefixBlockBytes <= len(prompt) && len(hashes) < maxPrefixes; at += prefixBlockBytes {
		_, _ = sum.WriteString(prompt[at : at+prefixBlockBytes])
		hashes = append(hashes, placement.PrefixHash(sum.Sum64()))
	}
	return hashes
}

// maxPrice implements operation. A token is at least one byte long, so the prompt has at most
// as many tokens as bytes.
func (r *chatExchange) maxPrice() fleet.Tokens {
	prompt := fleet.Tokens(0)
	for _, m := range r.chat.Messages {
		prompt += fleet.Tokens(len(m.Role) + len(m.Content) + messageOverhead)
	}
	prompt = min(prompt, r.model.MaxPrompt)
	return price(r.model, prompt, r.chat.MaxTokens)
}

// price returns the price of a request with these numbers of prompt and output tokens.
func price(m catalog.Model, prompt, output fleet.Tokens) fleet.Tokens {
	return applyRate(prompt, m.PromptPerMille) + applyRate(output, m.OutputPerMille)
}

// applyRate multiplies by a price in per mille and rounds up. A price of 0 means that none
// is configured; the default is 1000.
func applyRate(n fleet.Tokens, price int64) fleet.Tokens {
	if price == 0 {
		price = 1000
	}
	return fleet.Tokens((int64(n)*price + 999) / 1000)
}

// generate runs the request in as many attempts as necessary. A stream that breaks is resumed
// after the last delivered token.
func (r *chatExchange) generate() *Refusal {
	last := notRun(http.StatusBadGateway, TypeBackendFailed, "no attempt succeeded")
	mayHaveRun := false
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		if attempt > 1 && !r.server.dispatch.mayRetry(r.access.Workspace) {
			return r.attemptsFailed(last, mayHaveRun)
		}
		assigned, refusal := r.place(poolKey{model: r.model.ID}, r.request)
		if refusal != nil {
			refusal.NotRun = !mayHaveRun
			if mayHaveRun {
				refusal.Outcome = "unknown"
			}
			return refusal
		}
		delivered := r.deliveredTokens
		err := r.attempt(assigned, attempt)
		stop := r.attemptEnded(assigned.key, assigned.server, err, r.deliveredTokens > delivered)
		if err == nil {
			return nil
		}
		if r.ctx.Err() != nil {
			return unknownOutcome(http.StatusRequestTimeout, TypeBackendFailed, "the caller disconnected")
		}
		mayHaveRun = mayHaveRun || !certainlyNotRun(err)
		last = r.refusalFor(err)
		if errors.Is(err, backend.ErrRejected) {
			return last
		}
		r.request.Avoid = append(r.request.Avoid, assigned.server.ID)
		if stop {
			break
		}
	}
	return r.attemptsFailed(last, mayHaveRun)
}

// certainlyNotRun reports whether an error proves that the backend server did not start the
// request.
func certainlyNotRun(err error) bool {
	return eris.Is(err, backend.ErrNotRun) || eris.Is(err, backend.ErrBusy) || eris.Is(err, backend.ErrDraining)
}

// attemptsFailed returns the refusal of a request after its last attempt has failed.
func (r *chatExchange) attemptsFailed(last *Refusal, mayHaveRun bool) *Refusal {
	last.NotRun = !mayHaveRun
	last.Outcome = ""
	if mayHaveRun {
		last.Outcome = "unknown"
	}
	return last.withRetry(time.Second).withCause(burn.CauseBackend)
}

// refusalFor returns the refusal for the error of an attempt.
func (r *chatExchange) refusalFor(err error) *Refusal {
	switch {
	case eris.Is(err, backend.ErrRejected):
		return notRun(http.StatusUnprocessableEntity, TypeRejected, err.Error())
	case certainlyNotRun(err):
		return notRun(http.StatusServiceUnavailable, TypeNoBackend, err.Error())
	}
	return unknownOutcome(http.StatusBadGateway, TypeBackendFailed, err.Error())
}

// attempt runs one attempt on one backend server.
func (r *chatExchange) attempt(assigned assignment, number int) error {
	id := r.id.String() + "-" + string(r.server.cfg.Holder.Node) + "-" + strconv.Itoa(number) + "-" + strconv.FormatUint(randomAttempt()&0xffffff, 36)
	chat := r.chat
	if r.deliveredTokens > 0 {
		chat.Resume = &backend.Resume{
			Tokens: r.deliveredTokens,
			Text:   r.text.String(),
		}
		r.server.cfg.Log.Info(event.StreamResumed).
			Str("request", r.id.String()).
			Str("backendServer", string(assigned.server.ID)).
			Int("tokens", r.deliveredTokens).
			Msg("resuming a stream after the last delivered token")
	}
	started := clock.SinceBoot()
	r.lastToken = 0
	stream, err := assigned.client.StartStream(r.ctx, id, r.priority(), chat)
	if err == nil {
		err = r.relay(stream, started)
		stream.Close()
	}
	outcome := outcomeOf(r.ctx, err)
	if outcome == placement.OutcomeOK && r.timeToFirstToken > slowFirstToken {
		outcome = placement.OutcomeSlow
	}
	r.server.dispatch.finish(assigned, outcome)
	if err == nil && len(assigned.request.Prefixes) > 0 && r.usage.CachedTokens == 0 {
		r.server.dispatch.reportCacheMiss(assigned)
	}
	return err
}

// outcomeOf converts the error of an attempt to the outcome reported to placement.
func outcomeOf(ctx context.Context, err error) placement.Outcome {
	switch {
	case err == nil:
		return placement.OutcomeOK
	case ctx.Err() != nil || eris.Is(err, backend.ErrRejected):
		return placement.OutcomeNeutral
	case eris.Is(err, backend.ErrBusy):
		return placement.OutcomeBusy
	case eris.Is(err, backend.ErrDraining):
		return placement.OutcomeDraining
	}
	return placement.OutcomeFailed
}

// relay reads the tokens from the backend server and forwards them, until the completion
// is complete.
func (r *chatExchange) relay(stream *backend.Stream, started time.Duration) error {
	for {
		chunk, err := stream.Next(r.ctx)
		if err != nil {
			return err
		}
		if chunk.Usage != nil {
			r.usage = *chunk.Usage
			r.finishReason = chunk.FinishReason
			return nil
		}
		r.recordTokenTimes(started)
		r.deliveredTokens++
		r.text.WriteString(chunk.Text)
		if r.stream {
			if err := r.sendToken(chunk.Text); err != nil {
				return err
			}
		}
		if fleet.Tokens(r.deliveredTokens) > r.chat.MaxTokens {
			return eris.Wrapf(backend.ErrInterrupted, "the engine exceeded the limit of %d tokens", r.chat.MaxTokens)
		}
	}
}

// recordTokenTimes records the times of a token: since the request's arrival for the first
// token of the request, since the start of the attempt for the attempt's first token, and
// since the previous token for all others.
func (r *chatExchange) recordTokenTimes(started time.Duration) {
	now := clock.SinceBoot()
	if r.firstToken == 0 {
		r.firstToken = now - r.arrived
	}
	if r.lastToken == 0 {
		r.timeToFirstToken = now - started
	} else if len(r.tokenGaps) < maxTokenGaps {
		r.tokenGaps = append(r.tokenGaps, now-r.lastToken)
	}
	r.lastToken = now
}

// maxTokenGaps is the maximum number of gaps between tokens that are kept for the burn
// report.
const maxTokenGaps = 256

func percentile95(gaps []time.Duration) time.Duration {
	if len(gaps) == 0 {
		return 0
	}
	sorted := slices.Clone(gaps)
	slices.Sort(sorted)
	return sorted[len(sorted)*95/100]
}

// settlement returns the settlement of the completion, or of the part that was delivered.
func (r *chatExchange) settlement(partial bool) ledger.Settlement {
	prompt, output := r.usage.PromptTokens, r.usage.CompletionTokens
	if partial {
		prompt = fleet.Tokens(len(r.body) / bytesPerToken)
		output = fleet.Tokens(r.deliveredTokens)
	}
	tokens := price(r.model, min(prompt, r.model.MaxPrompt), min(output, r.chat.MaxTokens))
	return r.newSettlement(r.body, min(tokens, r.reserved), partial)
}

// billAndRespond has the finished completion billed and then sends the rest of the response.
func (r *chatExchange) billAndRespond() error {
	result, err := r.settle(r.settlement(false))
	if err != nil {
		return r.sendRefusal(unknownOutcome(http.StatusServiceUnavailable, TypeNotRecorded, "the completion is finished but its bill could not be recorded in the ledger or on a second node").withHint("retry with the same request id; the request is billed only once").withRetry(time.Second).withCause(burn.CauseUnknownOutcome))
	}
	if result.Status == ledger.SettleTooOld || result.Status == ledger.SettleUnbacked {
		r.server.cfg.Log.Error(event.SettlementDropped).Str("request", r.id.String()).Str("status", string(result.Status)).Msg("the ledger rejected the settlement of a completion; it is not billed")
		return r.sendRefusal(unknownOutcome(http.StatusConflict, TypeNotRecorded, "the ledger rejected the settlement of the completion: "+string(result.Status)).withCause(burn.CauseUnknownOutcome))
	}
	r.record("")
	if r.stream {
		return r.sendLast(result)
	}
	return r.sendWhole(result)
}

// fail ends a request without a finished completion. The delivered part is billed, so that
// disconnecting early does not avoid the charge. A retry with the same request id pays only
// for the rest.
func (r *chatExchange) fail(refusal *Refusal) error {
	if r.deliveredTokens > 0 && r.stream {
		if result, err := r.settle(r.settlement(true)); err == nil {
			refusal.BilledTokens = result.Billed
		}
	} else {
		r.release(0)
	}
	if r.ctx.Err() != nil {
		r.abandon()
	}
	return r.sendRefusal(refusal)
}

// sendRefusal sends a refusal, as the complete response or as the last event of a stream.
func (r *chatExchange) sendRefusal(refusal *Refusal) error {
	if !r.streamStarted {
		return r.refuse(refusal)
	}
	refusal.RequestID = r.id
	if refusal.cause != "" {
		r.record(refusal.cause)
	}
	_, err := r.c.Response().Write(refusal.event())
	r.flush()
	return eris.Wrap(err, "entry: send the refusal that ends a stream")
}
