// Package operator is the administration interface: tickets, status, budgets and
// reports over HTTP.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"expvar"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/burn"
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/entry"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/lease"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/uplink"
)

// Bounds of the interface.
const (
	maxTicketBytes = 8 << 20
	submitTimeout  = 10 * time.Second
	queryTimeout   = 5 * time.Second
	maxWait        = time.Minute
	listLimit      = 100
)

// Control is the way to the control group.
type Control interface {
	Submit(ctx context.Context, command control.Command) (control.Result, error)
	Query(ctx context.Context, query control.Query) (control.QueryAnswer, error)
	QueryReplica(ctx context.Context, address netip.AddrPort, query control.Query) (control.QueryAnswer, error)
	Replicas() []netip.AddrPort
	Roster() []roster.Report
	View() *catalog.View
}

// Node tells of the node that serves the interface.
type Node interface {
	Summary() NodeSummary
	Ready() bool
	BurnReport(ctx context.Context) burn.Report
}

// NodeSummary is the node that answers, as it sees itself.
type NodeSummary struct {
	Holder     fleet.Holder     `json:"holder"`
	DataCentre fleet.DataCentre `json:"dataCentre"`
	State      roster.State     `json:"state"`
	// Registered says that this life of the node is registered, Fresh that it
	// hears from a control replica that hears its leader.
	Registered       bool             `json:"joined"`
	ControlReachable bool             `json:"fresh"`
	Version          fleet.Version    `json:"version"`
	InFlight         int64            `json:"inFlight"`
	HeldSettlements  int              `json:"heldSettlements"`
	UptimeSeconds    int64            `json:"uptimeSeconds"`
	Pools            []entry.PoolView `json:"pools,omitempty"`
	Leases           []lease.Holding  `json:"leases,omitempty"`
}

// Config sets up the interface.
type Config struct {
	// Keys are the SHA-256 sums of the operators' keys, in hexadecimal.
	Keys    []string
	Control Control
	Node    Node
	Version string
}

// Server is the administration interface.
type Server struct {
	cfg Config
}

// New returns the interface.
func New(cfg Config) *Server {
	return &Server{cfg: cfg}
}

// Problem answers a request that failed.
type Problem struct {
	Error string `json:"error"`
	// Applied is "no" or "unknown" where a ticket was sent.
	Applied string `json:"applied,omitempty"`
	Hint    string `json:"hint,omitempty"`
}

// Handler returns the interface's HTTP handler.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.GET("/livez", func(c *echo.Context) error { return c.String(http.StatusOK, "alive\n") })
	e.GET("/readyz", s.ready)
	v1 := e.Group("", s.authorize)
	v1.PUT("/v1/tickets/:number", s.putTicket)
	v1.GET("/v1/tickets/:number", s.getTicket)
	v1.GET("/v1/tickets", s.listTickets)
	v1.GET("/v1/status", s.status)
	v1.GET("/v1/budgets/:id", s.budget)
	v1.GET("/v1/report/burn", s.burn)
	v1.GET("/v1/report/burn.html", s.burnPage)
	v1.GET("/debug/vars", func(c *echo.Context) error {
		expvar.Handler().ServeHTTP(c.Response(), c.Request())
		return nil
	})
	return e
}

func (s *Server) ready(c *echo.Context) error {
	if !s.cfg.Node.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (s *Server) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		key := strings.TrimPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(key))
		got := []byte(hex.EncodeToString(sum[:]))
		for _, want := range s.cfg.Keys {
			if subtle.ConstantTimeCompare(got, []byte(strings.ToLower(want))) == 1 {
				return next(c)
			}
		}
		return c.JSON(http.StatusUnauthorized, Problem{
			Error: "no operator's key was given, or it is not known",
			Hint:  "send Authorization: Bearer KEY; the sums of the keys stand in the settings",
		})
	}
}

// TicketAnswer answers a ticket.
type TicketAnswer struct {
	Outcome catalog.Outcome `json:"outcome"`
	Digest  string          `json:"digest,omitempty"`
	// InForce is true where every live node has the version; Lagging names the
	// nodes that have not.
	InForce bool           `json:"inForce"`
	Lagging []fleet.NodeID `json:"lagging,omitempty"`
}

func (s *Server) putTicket(c *echo.Context) error {
	number, err := strconv.ParseUint(c.Param("number"), 10, 64)
	if err != nil || number == 0 {
		return c.JSON(http.StatusBadRequest, Problem{
			Error:   "the ticket's number must be a whole number from 1",
			Applied: "no",
		})
	}
	text, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxTicketBytes))
	if err != nil {
		return c.JSON(http.StatusRequestEntityTooLarge, Problem{
			Error:   "the ticket could not be read: " + err.Error(),
			Applied: "no",
		})
	}
	ticket, err := catalog.ParseTicket(fleet.TicketNumber(number), text)
	if err != nil {
		return c.JSON(http.StatusBadRequest, Problem{
			Error:   err.Error(),
			Applied: "no",
			Hint:    "see docs/API.md for the form of a ticket",
		})
	}
	return s.submitTicket(c, ticket)
}

func (s *Server) submitTicket(c *echo.Context, ticket catalog.Ticket) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), submitTimeout)
	defer cancel()
	result, err := s.cfg.Control.Submit(ctx, control.Command{Ticket: &ticket})
	if err != nil || result.Outcome == nil {
		problem := Problem{
			Error:   eris.ToString(err, false),
			Applied: "no",
			Hint:    "send the same ticket again",
		}
		if eris.Is(err, uplink.ErrUnknown) {
			problem.Applied = "unknown"
			problem.Hint = "send the same ticket again, or read its outcome with GET /v1/tickets/{number}"
		}
		return c.JSON(http.StatusServiceUnavailable, problem)
	}
	answer := TicketAnswer{Outcome: *result.Outcome}
	switch {
	case answer.Outcome.Winner != "":
		return c.JSON(http.StatusConflict, answer)
	case !answer.Outcome.Accepted:
		return c.JSON(http.StatusUnprocessableEntity, answer)
	}
	answer.Digest = ticket.Digest().String()
	s.awaitForce(c, &answer)
	return c.JSON(http.StatusOK, answer)
}

// awaitForce waits, if the request asks for it, until the version is in force on
// every live node.
func (s *Server) awaitForce(c *echo.Context, answer *TicketAnswer) {
	wait := time.Duration(0)
	if text := c.Request().URL.Query().Get("waitMillis"); text != "" {
		ms, _ := strconv.ParseInt(text, 10, 64)
		wait = min(time.Duration(ms)*time.Millisecond, maxWait)
	}
	deadline := time.Now().Add(wait)
	for {
		answer.Lagging = s.lagging(c.Request().Context(), answer.Outcome.Version)
		answer.InForce = len(answer.Lagging) == 0
		if answer.InForce || !time.Now().Before(deadline) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// lagging names the live nodes on which a version is not in force, as the control
// replicas know from the nodes' heartbeats.
func (s *Server) lagging(ctx context.Context, version fleet.Version) []fleet.NodeID {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	newest := map[fleet.NodeID]roster.Report{}
	for _, status := range s.replicas(ctx) {
		for _, report := range status.Nodes {
			if held, ok := newest[report.Holder.Node]; !ok || report.Seq > held.Seq {
				newest[report.Holder.Node] = report
			}
		}
	}
	lagging := []fleet.NodeID{}
	for node, report := range newest {
		if report.State != roster.StateDead && report.Version < version {
			lagging = append(lagging, node)
		}
	}
	return lagging
}

func (s *Server) getTicket(c *echo.Context) error {
	number, err := strconv.ParseUint(c.Param("number"), 10, 64)
	if err != nil || number == 0 {
		return c.JSON(http.StatusBadRequest, Problem{Error: "the ticket's number must be a whole number from 1"})
	}
	answer, err := s.query(c, control.Query{Ticket: fleet.TicketNumber(number)})
	if err != nil {
		return unavailable(c, err)
	}
	if !answer.Found {
		return c.JSON(http.StatusNotFound, Problem{Error: "no ticket with this number was accepted"})
	}
	lagging := s.lagging(c.Request().Context(), answer.Outcomes[0].Version)
	return c.JSON(http.StatusOK, TicketAnswer{
		Outcome: answer.Outcomes[0],
		Digest:  answer.Digest.String(),
		InForce: len(lagging) == 0,
		Lagging: lagging,
	})
}

func (s *Server) listTickets(c *echo.Context) error {
	answer, err := s.query(c, control.Query{Tickets: listLimit})
	if err != nil {
		return unavailable(c, err)
	}
	return c.JSON(http.StatusOK, answer.Outcomes)
}

func (s *Server) query(c *echo.Context, query control.Query) (control.QueryAnswer, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), queryTimeout)
	defer cancel()
	return s.cfg.Control.Query(ctx, query)
}

func unavailable(c *echo.Context, err error) error {
	return c.JSON(http.StatusServiceUnavailable, Problem{
		Error: eris.ToString(err, false),
		Hint:  "no control replica with a leader's lease could be reached; GET /v1/status shows which answer",
	})
}

// Status answers GET /v1/status.
type Status struct {
	Version     string                  `json:"version"`
	Node        NodeSummary             `json:"node"`
	Replicas    []control.ReplicaStatus `json:"replicas"`
	Unreachable []netip.AddrPort        `json:"unreachable"`
	Roster      []roster.Report         `json:"roster"`
}

func (s *Server) status(c *echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), queryTimeout)
	defer cancel()
	replicas := s.replicas(ctx)
	status := Status{
		Version:     s.cfg.Version,
		Node:        s.cfg.Node.Summary(),
		Unreachable: []netip.AddrPort{},
		Roster:      s.cfg.Control.Roster(),
	}
	for _, address := range s.cfg.Control.Replicas() {
		if replica, ok := replicas[address]; ok {
			status.Replicas = append(status.Replicas, replica)
		} else {
			status.Unreachable = append(status.Unreachable, address)
		}
	}
	return c.JSON(http.StatusOK, status)
}

// replicas asks all control nodes for their status, at the same time.
func (s *Server) replicas(ctx context.Context) map[netip.AddrPort]control.ReplicaStatus {
	type reply struct {
		address netip.AddrPort
		status  *control.ReplicaStatus
	}
	addresses := s.cfg.Control.Replicas()
	replies := make(chan reply, len(addresses))
	for _, address := range addresses {
		go func() {
			answer, err := s.cfg.Control.QueryReplica(ctx, address, control.Query{Status: true})
			if err != nil {
				answer.Replica = nil
			}
			replies <- reply{
				address: address,
				status:  answer.Replica,
			}
		}()
	}
	statuses := map[netip.AddrPort]control.ReplicaStatus{}
	for range addresses {
		if r := <-replies; r.status != nil {
			statuses[r.address] = *r.status
		}
	}
	return statuses
}

// BudgetAnswer answers GET /v1/budgets/{id}.
type BudgetAnswer struct {
	ledger.BudgetView
}

func (s *Server) budget(c *echo.Context) error {
	answer, err := s.query(c, control.Query{Budget: fleet.BudgetID(c.Param("id"))})
	if err != nil {
		return unavailable(c, err)
	}
	if !answer.Found {
		return c.JSON(http.StatusNotFound, Problem{Error: "there is no such budget"})
	}
	return c.JSON(http.StatusOK, BudgetAnswer{BudgetView: *answer.Budget})
}

func (s *Server) burn(c *echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), queryTimeout)
	defer cancel()
	return c.JSON(http.StatusOK, s.cfg.Node.BurnReport(ctx))
}

func (s *Server) burnPage(c *echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), queryTimeout)
	defer cancel()
	page, err := burnHTML(s.cfg.Node.BurnReport(ctx))
	if err != nil {
		return c.JSON(http.StatusInternalServerError, Problem{Error: err.Error()})
	}
	return c.HTMLBlob(http.StatusOK, page)
}
