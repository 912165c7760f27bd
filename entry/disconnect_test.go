package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v5"
)

// TestAbandonedChatLooksComplete guards against an empty 200 response to a caller that has closed
// the sending side of its connection and still reads.
func TestAbandonedChatLooksComplete(t *testing.T) {
	e := echo.New()
	e.GET("/", func(c *echo.Context) error {
		<-c.Request().Context().Done()
		r := &chatExchange{exchange: &exchange{
			c:   c,
			ctx: c.Request().Context(),
		}}
		return r.fail(unknownOutcome(http.StatusRequestTimeout, TypeBackendFailed, "the caller disconnected"))
	})
	server := httptest.NewServer(e)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_ = response.Body.Close()
		t.Errorf("got a response with status %d, want a closed connection", response.StatusCode)
	}
}
