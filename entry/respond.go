package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// completion is a chat completion object, either the whole completion or one chunk of it.
type completion struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Model   string           `json:"model"`
	Choices []choice         `json:"choices"`
	Usage   *completionUsage `json:"usage,omitempty"`
	Bill    *bill            `json:"waxwingreel,omitempty"`
}

type choice struct {
	Index        int            `json:"index"`
	Delta        *choiceContent `json:"delta,omitempty"`
	Message      *choiceContent `json:"message,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type choiceContent struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionUsage struct {
	PromptTokens     fleet.Tokens `json:"prompt_tokens"`
	CompletionTokens fleet.Tokens `json:"completion_tokens"`
	TotalTokens      fleet.Tokens `json:"total_tokens"`
}

// bill reports to the caller what the request cost.
type bill struct {
	RequestID    fleet.RequestID `json:"requestId"`
	BilledTokens fleet.Tokens    `json:"billedTokens"`
	// BilledBefore is true if an earlier attempt of the request was billed and this
	// one was not.
	BilledBefore bool `json:"billedBefore,omitempty"`
}

func (r *chatExchange) completion(object string, c choice) completion {
	return completion{
		ID:      "chatcmpl-" + r.id.String(),
		Object:  object,
		Model:   r.chat.Model,
		Choices: []choice{c},
	}
}

// complete adds the usage and the bill to a completion.
func (r *chatExchange) complete(c completion, result ledger.SettleResult) completion {
	c.Usage = &completionUsage{
		PromptTokens:     r.usage.PromptTokens,
		CompletionTokens: r.usage.CompletionTokens,
		TotalTokens:      r.usage.PromptTokens + r.usage.CompletionTokens,
	}
	c.Bill = &bill{
		RequestID:    r.id,
		BilledTokens: result.Billed,
		BilledBefore: result.Status == ledger.SettledBefore,
	}
	return c
}

// sendToken sends one token to the caller.
func (r *chatExchange) sendToken(text string) error {
	content := &choiceContent{Content: text}
	if !r.streamStarted {
		r.beginStream()
		content.Role = "assistant"
	}
	return r.sendEvent(r.completion("chat.completion.chunk", choice{Delta: content}))
}

func (r *chatExchange) beginStream() {
	r.streamStarted = true
	header := r.c.Response().Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	r.c.Response().WriteHeader(http.StatusOK)
}

func (r *chatExchange) sendEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "entry: encode a stream event")
	}
	if _, err := r.c.Response().Write(append(append([]byte("data: "), data...), "\n\n"...)); err != nil {
		return eris.Wrap(err, "entry: send a stream event")
	}
	r.flush()
	return nil
}

func (r *chatExchange) flush() {
	_ = http.NewResponseController(r.c.Response()).Flush()
}

// sendLast sends the last chunk, without which the caller's response is incomplete.
func (r *chatExchange) sendLast(result ledger.SettleResult) error {
	if !r.streamStarted {
		r.beginStream()
	}
	last := r.completion("chat.completion.chunk", choice{
		Delta:        &choiceContent{},
		FinishReason: &r.finishReason,
	})
	if err := r.sendEvent(r.complete(last, result)); err != nil {
		return err
	}
	_, err := r.c.Response().Write([]byte("data: [DONE]\n\n"))
	r.flush()
	return eris.Wrap(err, "entry: send the end of a stream")
}

func (r *chatExchange) sendWhole(result ledger.SettleResult) error {
	r.c.Response().Header().Set(HeaderBilled, strconv.FormatInt(int64(result.Billed), 10))
	whole := r.completion("chat.completion", choice{
		Message: &choiceContent{
			Role:    "assistant",
			Content: r.text.String(),
		},
		FinishReason: &r.finishReason,
	})
	return r.c.JSON(http.StatusOK, r.complete(whole, result))
}
