package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/waxwingreel/waxwingreel/burn"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// ErrorType is the machine-readable type of a refusal.
type ErrorType string

// Types of refusals.
const (
	TypeBadRequest          ErrorType = "badRequest"
	TypeUnauthorized        ErrorType = "unauthorized"
	TypeNotFound            ErrorType = "notFound"
	TypeTooLarge            ErrorType = "tooLarge"
	TypeTooOld              ErrorType = "requestIdTooOld"
	TypeBudgetExhausted     ErrorType = "budgetExhausted"
	TypeBudgetElsewhere     ErrorType = "budgetHeldElsewhere"
	TypeControlUnreachable  ErrorType = "controlUnreachable"
	TypeOverloaded          ErrorType = "overloaded"
	TypeNoBackend           ErrorType = "noBackendServer"
	TypeStopping            ErrorType = "stopping"
	TypeIDUsedWithOtherBody ErrorType = "requestIdUsedWithOtherBody"
	TypeOutcomeInDoubt      ErrorType = "outcomeInDoubt"
	TypeBackendFailed       ErrorType = "backendFailed"
	TypeNotRecorded         ErrorType = "billNotRecorded"
	TypeRejected            ErrorType = "rejectedByBackend"
	TypeSuspended           ErrorType = "requestSuspended"
)

// Refusal is the error response to a request.
type Refusal struct {
	Status  int       `json:"-"`
	Type    ErrorType `json:"type"`
	Message string    `json:"message"`
	Hint    string    `json:"hint,omitempty"`
	// NotRun is true only if it is certain that no backend server started the
	// request.
	NotRun bool `json:"notRun"`
	// Outcome is "unknown" if the request may have run.
	Outcome string `json:"outcome,omitempty"`
	// RetryAfterMillis is the delay after which a retry may succeed. It is absent if
	// a retry would not help.
	RetryAfterMillis int64           `json:"retryAfterMillis,omitempty"`
	RequestID        fleet.RequestID `json:"requestId"`
	BilledTokens     fleet.Tokens    `json:"billedTokens"`

	cause burn.Cause
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	return string(r.Type) + ": " + r.Message
}

type errorBody struct {
	Error *Refusal `json:"error"`
}

// notRun returns a refusal of a request that has certainly not run.
func notRun(status int, kind ErrorType, message string) *Refusal {
	return &Refusal{
		Status:  status,
		Type:    kind,
		Message: message,
		NotRun:  true,
	}
}

// unknownOutcome returns a refusal of a request that may have run.
func unknownOutcome(status int, kind ErrorType, message string) *Refusal {
	return &Refusal{
		Status:  status,
		Type:    kind,
		Message: message,
		Outcome: "unknown",
	}
}

func (r *Refusal) withHint(hint string) *Refusal {
	r.Hint = hint
	return r
}

func (r *Refusal) withRetry(after time.Duration) *Refusal {
	r.RetryAfterMillis = max(after.Milliseconds(), 1)
	return r
}

func (r *Refusal) withCause(cause burn.Cause) *Refusal {
	r.cause = cause
	return r
}

// write sends the refusal as the complete response.
func (r *Refusal) write(c *echo.Context) error {
	if r.RetryAfterMillis > 0 {
		seconds := (r.RetryAfterMillis + 999) / 1000
		c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if r.Status == http.StatusUnauthorized {
		c.Response().Header().Set("WWW-Authenticate", "Bearer")
	}
	return c.JSON(r.Status, errorBody{Error: r})
}

// event formats the refusal as the last event of a stream that has already started.
func (r *Refusal) event() []byte {
	data, err := json.Marshal(errorBody{Error: r})
	if err != nil {
		panic("entry: encode a refusal: " + err.Error())
	}
	return append(append([]byte("data: "), data...), "\n\n"...)
}
