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

// Bounds of one chat.
const (
	// maxAttempts bounds the tries of one request, resumptions included.
	maxAttempts = 6
	// messageOverhead is the most tokens that an engine's template adds to a
	// message.
	messageOverhead = 16
	// prefixBlockBytes is the size of the prompt blocks that placement tells
	// apart; it is the size by which engines report their cache.
	prefixBlockBytes = 256
	// bytesPerToken is the usual size of a token, for estimates only.
	bytesPerToken = 4
	maxPrefixes   = 64
	// slowStart is the time to an attempt's first token beyond which the server
	// is taken to have too much work, and gets less of this node's.
	slowStart = time.Second
	// settleTimeout bounds the recording of a bill.
	settleTimeout = 5 * time.Second
)

// chatRun is one chat in progress.
type chatRun struct {
	*exchange
	chat    backend.Chat
	model   catalog.Model
	stream  bool
	request placement.Request
	// delivered and text are what the caller has, or will have.
	delivered int
	text      strings.Builder
	usage     backend.Usage
	reason    string
	began     bool
	lastToken time.Duration
	// startTook is the latest attempt's time to its first token.
	startTook time.Duration
}

func (s *Server) chat(c *echo.Context) error {
	return s.serve(c, func(x *exchange) work { return &chatRun{exchange: x} })
}

// run implements work.
func (r *chatRun) run() error {
	if refusal := r.produce(); refusal != nil {
		return r.fail(refusal)
	}
	return r.conclude()
}

// check implements work: it reads and checks the body.
func (r *chatRun) check() *Refusal {
	if refusal := r.checkAge(); refusal != nil {
		return refusal
	}
	if err := json.Unmarshal(r.body, &r.chat); err != nil {
		return notRun(http.StatusBadRequest, TypeBadRequest, "the body is no chat request: "+err.Error())
	}
	model, _, ok := r.server.cfg.Link.View().Model(r.chat.Model)
	if !ok {
		return notRun(http.StatusNotFound, TypeNotFound, fmt.Sprintf("there is no model %q", r.chat.Model))
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

func (r *chatRun) checkChat() *Refusal {
	switch {
	case len(r.chat.Messages) == 0:
		return notRun(http.StatusBadRequest, TypeBadRequest, "messages is empty")
	case r.chat.MaxTokens < 0:
		return notRun(http.StatusBadRequest, TypeBadRequest, "max_tokens is negative")
	case r.chat.MaxTokens > r.model.MaxOutput:
		return notRun(http.StatusBadRequest, TypeBadRequest, fmt.Sprintf("max_tokens is %d, the model's limit is %d", r.chat.MaxTokens, r.model.MaxOutput))
	case len(r.server.cfg.Link.View().Engines(r.model.ID)) == 0:
		return notRun(http.StatusServiceUnavailable, TypeNoBackend, "no backend server serves the model").withRetry(5 * time.Second).because(burn.CauseBackend)
	}
	return nil
}

// classify chooses the class: what the caller asks for, but long for a long prompt
// whatever the caller says.
func (r *chatRun) classify() *Refusal {
	r.class = fleet.ClassInteractive
	if asked := fleet.Class(r.c.Request().Header.Get(HeaderClass)); asked != "" {
		if !asked.Valid() {
			return notRun(http.StatusBadRequest, TypeBadRequest, fmt.Sprintf("%s: %q is no class", HeaderClass, asked)).withHint("use lookup, interactive or long")
		}
		r.class = asked
	}
	estimate := fleet.Tokens(len(r.body) / bytesPerToken)
	if r.model.LongPromptTokens > 0 && estimate >= r.model.LongPromptTokens {
		r.class = fleet.ClassLong
	}
	r.request = placement.Request{
		Class:       r.class,
		Tier:        r.access.Tier,
		Cost:        estimate + r.chat.MaxTokens,
		Prefixes:    prefixes(r.chat),
		BlockTokens: prefixBlockBytes / bytesPerToken,
	}
	return nil
}

// prefixes hashes the prompt's leading blocks.
func prefixes(chat backend.Chat) []placement.PrefixHash {
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

// highestPrice implements work. A token is at least one byte,
// so the prompt has at most as many tokens as bytes.
func (r *chatRun) highestPrice() fleet.Tokens {
	prompt := fleet.Tokens(0)
	for _, m := range r.chat.Messages {
		prompt += fleet.Tokens(len(m.Role) + len(m.Content) + messageOverhead)
	}
	prompt = min(prompt, r.model.MaxPrompt)
	return price(r.model, prompt, r.chat.MaxTokens)
}

func price(m catalog.Model, prompt, output fleet.Tokens) fleet.Tokens {
	return perMille(prompt, m.PromptPerMille) + perMille(output, m.OutputPerMille)
}

// perMille multiplies by a price, rounding up. An absent price means 1000.
func perMille(n fleet.Tokens, price int64) fleet.Tokens {
	if price == 0 {
		price = 1000
	}
	return fleet.Tokens((int64(n)*price + 999) / 1000)
}

// produce brings the answer, over as many attempts as it takes. A stream that breaks is
// resumed behind the last token that was delivered.
func (r *chatRun) produce() *Refusal {
	last := notRun(http.StatusBadGateway, TypeBackendFailed, "no attempt succeeded")
	mayHaveRun := false
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		if attempt > 1 && !r.server.dispatch.mayRetry(r.access.Workspace) {
			return r.broken(last, mayHaveRun)
		}
		g, refusal := r.place(poolKey{model: r.model.ID}, r.request)
		if refusal != nil {
			refusal.NotRun = !mayHaveRun
			if mayHaveRun {
				refusal.Outcome = "unknown"
			}
			return refusal
		}
		err := r.attempt(g, attempt)
		if err == nil {
			return nil
		}
		if r.ctx.Err() != nil {
			return unknown(http.StatusRequestTimeout, TypeBackendFailed, "the caller left")
		}
		mayHaveRun = mayHaveRun || !certainlyNotRun(err)
		last = r.explain(err)
		if errors.Is(err, backend.ErrRejected) {
			return last
		}
		r.request.Avoid = append(r.request.Avoid, g.server.ID)
	}
	return r.broken(last, mayHaveRun)
}

func certainlyNotRun(err error) bool {
	return eris.Is(err, backend.ErrNotRun) || eris.Is(err, backend.ErrBusy) || eris.Is(err, backend.ErrDraining)
}

// broken makes the refusal of a request whose attempts have all failed.
func (r *chatRun) broken(last *Refusal, mayHaveRun bool) *Refusal {
	last.NotRun = !mayHaveRun
	last.Outcome = ""
	if mayHaveRun {
		last.Outcome = "unknown"
	}
	return last.withRetry(time.Second).because(burn.CauseBackend)
}

func (r *chatRun) explain(err error) *Refusal {
	switch {
	case eris.Is(err, backend.ErrRejected):
		return notRun(http.StatusUnprocessableEntity, TypeRejected, err.Error())
	case certainlyNotRun(err):
		return notRun(http.StatusServiceUnavailable, TypeNoBackend, err.Error())
	}
	return unknown(http.StatusBadGateway, TypeBackendFailed, err.Error())
}

// attempt runs one try on one backend server.
func (r *chatRun) attempt(g grant, number int) error {
	id := r.id.String() + "-" + string(r.server.cfg.Holder.Node) + "-" + strconv.Itoa(number) + "-" + strconv.FormatUint(randomAttempt()&0xffffff, 36)
	chat := r.chat
	if r.delivered > 0 {
		chat.Resume = &backend.Resume{
			Tokens: r.delivered,
			Text:   r.text.String(),
		}
		r.server.cfg.Log.Info(event.StreamResumed).
			Str("request", r.id.String()).
			Str("backendServer", string(g.server.ID)).
			Int("tokens", r.delivered).
			Msg("stream is resumed")
	}
	started := clock.Boot()
	r.lastToken = 0
	stream, err := g.client.StartStream(r.ctx, id, r.priority(), chat)
	if err == nil {
		err = r.relay(stream, started)
		stream.Close()
	}
	outcome := outcomeOf(r.ctx, err)
	if outcome == placement.OutcomeOK && r.startTook > slowStart {
		outcome = placement.OutcomeSlow
	}
	r.server.dispatch.finish(g, outcome)
	if err == nil && len(g.request.Prefixes) > 0 && r.usage.CachedTokens == 0 {
		r.server.dispatch.missed(g)
	}
	return err
}

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

// relay passes the tokens on until the answer is whole.
func (r *chatRun) relay(stream *backend.Stream, started time.Duration) error {
	for {
		chunk, err := stream.Next(r.ctx)
		if err != nil {
			return err
		}
		if chunk.Usage != nil {
			r.usage = *chunk.Usage
			r.reason = chunk.FinishReason
			return nil
		}
		r.clockToken(started)
		r.delivered++
		r.text.WriteString(chunk.Text)
		if r.stream {
			if err := r.sendToken(chunk.Text); err != nil {
				return err
			}
		}
		if fleet.Tokens(r.delivered) > r.chat.MaxTokens {
			return eris.Wrapf(backend.ErrInterrupted, "the engine sent more than %d tokens", r.chat.MaxTokens)
		}
	}
}

// clockToken takes the times of a token: since the request's arrival, since the
// start of the attempt, and since the token before.
func (r *chatRun) clockToken(started time.Duration) {
	now := clock.Boot()
	if r.firstToken == 0 {
		r.firstToken = now - r.arrived
	}
	if r.lastToken == 0 {
		r.startTook = now - started
	} else if len(r.gaps) < maxGaps {
		r.gaps = append(r.gaps, now-r.lastToken)
	}
	r.lastToken = now
}

// maxGaps bounds the gaps between tokens that are kept for the burn report.
const maxGaps = 256

func percentile95(gaps []time.Duration) time.Duration {
	if len(gaps) == 0 {
		return 0
	}
	sorted := slices.Clone(gaps)
	slices.Sort(sorted)
	return sorted[len(sorted)*95/100]
}

// settlement is the bill of the answer, or of the part that was delivered.
func (r *chatRun) settlement(partial bool) ledger.Settlement {
	prompt, output := r.usage.PromptTokens, r.usage.CompletionTokens
	if partial {
		prompt = fleet.Tokens(len(r.body) / bytesPerToken)
		output = fleet.Tokens(r.delivered)
	}
	tokens := price(r.model, min(prompt, r.model.MaxPrompt), min(output, r.chat.MaxTokens))
	return r.bill(r.body, min(tokens, r.reserved), partial)
}

// conclude has the whole answer billed and then lets its last piece go.
func (r *chatRun) conclude() error {
	result, err := r.settle(r.settlement(false))
	if err != nil {
		return r.end(unknown(http.StatusServiceUnavailable, TypeNotRecorded, "the answer is complete but its bill could not be recorded on a second node").withHint("repeat the request under the same id; it is billed once").withRetry(time.Second).because(burn.CauseUnknownOutcome))
	}
	if result.Status == ledger.SettleTooOld || result.Status == ledger.SettleUnbacked {
		r.server.cfg.Log.Error(event.SettlementDropped).Str("request", r.id.String()).Str("status", string(result.Status)).Msg("the ledger did not bill an answer")
		return r.end(unknown(http.StatusConflict, TypeNotRecorded, "the ledger could not bill the answer: "+string(result.Status)).because(burn.CauseUnknownOutcome))
	}
	r.record("")
	if r.stream {
		return r.sendLast(result)
	}
	return r.sendWhole(result)
}

// fail ends a request without a whole answer. What was delivered is billed, so that
// breaking off is no way around the budget; a retry under the same id pays only the
// rest.
func (r *chatRun) fail(refusal *Refusal) error {
	if r.delivered > 0 && r.stream {
		if result, err := r.settle(r.settlement(true)); err == nil {
			refusal.BilledTokens = result.Billed
		}
	} else {
		r.release(0)
	}
	if r.ctx.Err() != nil {
		r.record("")
		return nil
	}
	return r.end(refusal)
}

// end sends a refusal, as the whole response or as the last event of a stream.
func (r *chatRun) end(refusal *Refusal) error {
	if !r.began {
		return r.refuse(refusal)
	}
	refusal.RequestID = r.id
	if refusal.cause != "" {
		r.record(refusal.cause)
	}
	_, err := r.c.Response().Write(refusal.event())
	r.flush()
	return eris.Wrap(err, "entry: end a stream")
}
