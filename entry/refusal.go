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

// ErrorType classifies a refusal for callers' programs.
type ErrorType string

// The types of refusal.
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
)

// Refusal is a truthful answer to a request that got no other.
type Refusal struct {
	Status  int       `json:"-"`
	Type    ErrorType `json:"type"`
	Message string    `json:"message"`
	Hint    string    `json:"hint,omitempty"`
	// NotRun is true only where it is certain that no backend server began the
	// request.
	NotRun bool `json:"notRun"`
	// Outcome is "unknown" where the request may have run.
	Outcome string `json:"outcome,omitempty"`
	// RetryAfterMillis says when a retry may do better; absent where it would
	// not.
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

// notRun makes a refusal of a request that was certainly not run.
func notRun(status int, kind ErrorType, message string) *Refusal {
	return &Refusal{
		Status:  status,
		Type:    kind,
		Message: message,
		NotRun:  true,
	}
}

// unknown makes a refusal of a request that may have run.
func unknown(status int, kind ErrorType, message string) *Refusal {
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

func (r *Refusal) because(cause burn.Cause) *Refusal {
	r.cause = cause
	return r
}

// write sends the refusal as the whole response.
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

// event formats the refusal as the last event of a stream that has begun.
func (r *Refusal) event() []byte {
	data, err := json.Marshal(errorBody{Error: r})
	if err != nil {
		panic("entry: encoding a refusal: " + err.Error())
	}
	return append(append([]byte("data: "), data...), "\n\n"...)
}
