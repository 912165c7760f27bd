package intake

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// discardTimeout is how long the rest of a body is awaited that nobody reads, so that the connection
// can serve another request.
const discardTimeout = 500 * time.Millisecond

// Handler returns a handler that demands progress of bodies while the next handler reads them, and
// bounds what is received of those that it does not read.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if c.isLastRequest() {
			w.Header().Set("Connection", "close")
		}
		if !c.takeParsed(r) {
			c.gate.observe(c, ReasonShort)
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Content-Length", strconv.Itoa(len(shortBody)))
			w.Header().Set("Retry-After", shortRetryAfter)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, shortBody)
			c.endBody()
			return
		}
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		c.gate.expect(c.id, r.ContentLength)
		defer c.gate.expect(c.id, 0)
		body := &body{
			ReadCloser: r.Body,
			conn:       c,
		}
		// The HTTP library looks at the body of its own request when it discards the rest.
		copied := *r
		copied.Body = body
		next.ServeHTTP(w, &copied)
		if !body.ended {
			c.endBody()
		}
	})
}

// isLastRequest counts a request and reports whether its connection is to be closed after it.
func (c *Conn) isLastRequest() bool {
	c.requests++
	return c.gate.cfg.MaxRequests[c.group] > 0 && c.requests >= c.gate.cfg.MaxRequests[c.group]
}

// takeParsed takes what the head of a request takes beyond what was taken when it was read. It may
// have been read together with the request before.
func (c *Conn) takeParsed(r *http.Request) bool {
	size, fields := int64(len(r.RequestURI)), int64(1)
	for name, values := range r.Header {
		for _, value := range values {
			size += int64(len(name) + len(value))
			fields++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	more := headCost(size, fields) - c.headHeld
	return more <= 0 || c.takeHead(more)
}

// endBody limits the time in which the HTTP library reads the rest of a body.
func (c *Conn) endBody() {
	_ = c.SetReadDeadline(time.Now().Add(discardTimeout))
}

// body is the body of a request. Its client has to make progress while it is read.
type body struct {
	io.ReadCloser
	conn  *Conn
	begun bool
	ended bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		b.conn.enter(PhaseBody)
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil && !b.ended {
		b.ended = err == io.EOF
		b.conn.enter(PhaseServe)
	}
	return n, err
}
