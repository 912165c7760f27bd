// Package operator serves the administration interface over HTTP: tickets, status,
// budgets and reports.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"expvar"
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
	"github.com/waxwingreel/waxwingreel/controlclient"
	"github.com/waxwingreel/waxwingreel/entry"
	"github.com/waxwingreel/waxwingreel/evacuation"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/intake"
	"github.com/waxwingreel/waxwingreel/lease"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/roster"
)

// Limits and timeouts of the interface.
const (
	maxTicketBytes   = 8 << 20
	submitTimeout    = 10 * time.Second
	queryTimeout     = 5 * time.Second
	maxInForceWait   = time.Minute
	maxListedTickets = 100
)

// ControlClient sends commands and queries to the control group.
type ControlClient interface {
	Submit(ctx context.Context, command control.Command) (control.Result, error)
	Query(ctx context.Context, query control.Query) (control.QueryResponse, error)
	QueryReplica(ctx context.Context, address netip.AddrPort, query control.Query) (control.QueryResponse, error)
	Replicas() []netip.AddrPort
	Roster() []roster.Report
	View() *catalog.View
	// Evacuate starts or stops the evacuation of a data centre.
	Evacuate(ctx context.Context, order evacuation.Order) (evacuation.List, error)
	// Evacuations returns the evacuated data centres that this node knows.
	Evacuations() evacuation.List
}

// Node provides the state of the node that serves the interface.
type Node interface {
	Summary() NodeSummary
	Ready() bool
	BurnReport(ctx context.Context) burn.Report
}

// NodeSummary is the state of the responding node, according to the node itself.
type NodeSummary struct {
	Holder     fleet.Holder     `json:"holder"`
	DataCentre fleet.DataCentre `json:"dataCentre"`
	State      roster.State     `json:"state"`
	// Registered means that this incarnation of the node is registered with the
	// control group. ControlReachable means that the node receives updates from
	// a control replica that is up to date with its leader.
	Registered       bool             `json:"joined"`
	ControlReachable bool             `json:"fresh"`
	Version          fleet.Version    `json:"version"`
	InFlight         int64            `json:"inFlight"`
	HeldSettlements  int              `json:"heldSettlements"`
	UptimeSeconds    int64            `json:"uptimeSeconds"`
	Pools            []entry.PoolView `json:"pools,omitempty"`
	Leases           []lease.Holding  `json:"leases,omitempty"`
}

// Config configures a Server.
type Config struct {
	// Keys holds the SHA-256 sums of the operators' keys, in hexadecimal.
	Keys    []string
	Control ControlClient
	Node    Node
	Version string
}

// Server is the administration interface.
type Server struct {
	cfg Config
}

// New returns a server with the given configuration.
func New(cfg Config) *Server {
	return &Server{cfg: cfg}
}

// Problem is the body of an error response.
type Problem struct {
	Error string `json:"error"`
	// Applied is whether a submitted ticket was applied, "no" or "unknown". It is
	// empty for other requests.
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
	v1.GET("/v1/evacuations", s.evacuations)
	v1.PUT("/v1/evacuations/:dataCentre", s.startEvacuation)
	v1.DELETE("/v1/evacuations/:dataCentre", s.stopEvacuation)
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
			Error: "no operator's key was given, or the key is unknown",
			Hint:  "send the header Authorization: Bearer KEY; the settings list the SHA-256 sums of the accepted keys",
		})
	}
}

// TicketResponse is the response to a submitted or queried ticket.
type TicketResponse struct {
	Outcome catalog.Outcome `json:"outcome"`
	Digest  string          `json:"digest,omitempty"`
	// InForce is true if every live node has the ticket's version. Lagging lists
	// the nodes that do not have it yet.
	InForce bool           `json:"inForce"`
	Lagging []fleet.NodeID `json:"lagging,omitempty"`
}

func (s *Server) putTicket(c *echo.Context) error {
	number, err := strconv.ParseUint(c.Param("number"), 10, 64)
	if err != nil || number == 0 {
		return c.JSON(http.StatusBadRequest, Problem{
			Error:   "the ticket number must be a positive integer",
			Applied: "no",
		})
	}
	allocation := intake.Allocation{Room: intake.RoomOf(c.Request().Context(), intake.Unlimited)}
	defer allocation.Release()
	text, err := allocation.ReadAll(c.Request().Body, c.Request().ContentLength, maxTicketBytes)
	if errors.Is(err, intake.ErrFull) {
		return c.JSON(http.StatusServiceUnavailable, Problem{
			Error:   "the memory for the bodies of requests is in use",
			Applied: "no",
			Hint:    "submit the same ticket again, here or at another node",
		})
	}
	if err != nil {
		return c.JSON(http.StatusRequestEntityTooLarge, Problem{
			Error:   "the ticket's body could not be read: " + err.Error(),
			Applied: "no",
		})
	}
	ticket, err := catalog.ParseTicket(fleet.TicketNumber(number), text)
	if err != nil {
		return c.JSON(http.StatusBadRequest, Problem{
			Error:   err.Error(),
			Applied: "no",
			Hint:    "see docs/API.md for the format of a ticket",
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
			Hint:    "submit the same ticket again",
		}
		if eris.Is(err, controlclient.ErrUnknown) {
			problem.Applied = "unknown"
			problem.Hint = "submit the same ticket again, or read its outcome with GET /v1/tickets/{number}"
		}
		return c.JSON(http.StatusServiceUnavailable, problem)
	}
	response := TicketResponse{Outcome: *result.Outcome}
	switch {
	case response.Outcome.AcceptedDigest != "":
		return c.JSON(http.StatusConflict, response)
	case !response.Outcome.Accepted:
		return c.JSON(http.StatusUnprocessableEntity, response)
	}
	response.Digest = ticket.Digest().String()
	s.awaitInForce(c, &response)
	return c.JSON(http.StatusOK, response)
}

// awaitInForce fills in the response's InForce and Lagging. It waits for the request's
// waitMillis at most, limited to maxInForceWait, until the version is in force on every
// live node.
func (s *Server) awaitInForce(c *echo.Context, response *TicketResponse) {
	wait := time.Duration(0)
	if text := c.Request().URL.Query().Get("waitMillis"); text != "" {
		ms, _ := strconv.ParseInt(text, 10, 64)
		wait = min(time.Duration(ms)*time.Millisecond, maxInForceWait)
	}
	deadline := time.Now().Add(wait)
	for {
		response.Lagging = s.laggingNodes(c.Request().Context(), response.Outcome.Version)
		response.InForce = len(response.Lagging) == 0
		if response.InForce || !time.Now().Before(deadline) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// laggingNodes lists the live nodes on which a version is not in force yet, according
// to the heartbeats that the control replicas have received.
func (s *Server) laggingNodes(ctx context.Context, version fleet.Version) []fleet.NodeID {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	newest := map[fleet.NodeID]roster.Report{}
	for _, status := range s.queryReplicas(ctx) {
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
		return c.JSON(http.StatusBadRequest, Problem{Error: "the ticket number must be a positive integer"})
	}
	response, err := s.query(c, control.Query{Ticket: fleet.TicketNumber(number)})
	if err != nil {
		return unavailable(c, err)
	}
	if !response.Found {
		return c.JSON(http.StatusNotFound, Problem{Error: "no ticket with this number has been accepted"})
	}
	lagging := s.laggingNodes(c.Request().Context(), response.Outcomes[0].Version)
	return c.JSON(http.StatusOK, TicketResponse{
		Outcome: response.Outcomes[0],
		Digest:  response.Digest.String(),
		InForce: len(lagging) == 0,
		Lagging: lagging,
	})
}

func (s *Server) listTickets(c *echo.Context) error {
	response, err := s.query(c, control.Query{Tickets: maxListedTickets})
	if err != nil {
		return unavailable(c, err)
	}
	return c.JSON(http.StatusOK, response.Outcomes)
}

func (s *Server) query(c *echo.Context, query control.Query) (control.QueryResponse, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), queryTimeout)
	defer cancel()
	return s.cfg.Control.Query(ctx, query)
}

func unavailable(c *echo.Context, err error) error {
	return c.JSON(http.StatusServiceUnavailable, Problem{
		Error: eris.ToString(err, false),
		Hint:  "no control replica with a leader's lease could be reached; GET /v1/status shows which replicas respond",
	})
}

// Status is the response to GET /v1/status.
type Status struct {
	Version     string                  `json:"version"`
	Node        NodeSummary             `json:"node"`
	Replicas    []control.ReplicaStatus `json:"replicas"`
	Unreachable []netip.AddrPort        `json:"unreachable"`
	Roster      []roster.Report         `json:"roster"`
	// Evacuated are the data centres whose backend servers get no new requests from the responding node.
	Evacuated []fleet.DataCentre `json:"evacuated"`
}

func (s *Server) status(c *echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), queryTimeout)
	defer cancel()
	replicas := s.queryReplicas(ctx)
	status := Status{
		Version:     s.cfg.Version,
		Node:        s.cfg.Node.Summary(),
		Unreachable: []netip.AddrPort{},
		Roster:      s.cfg.Control.Roster(),
		Evacuated:   append([]fleet.DataCentre{}, s.cfg.Control.Evacuations().DataCentres...),
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

// queryReplicas queries the status of all control replicas concurrently. Replicas that
// do not respond are omitted.
func (s *Server) queryReplicas(ctx context.Context) map[netip.AddrPort]control.ReplicaStatus {
	type replicaResponse struct {
		address netip.AddrPort
		status  *control.ReplicaStatus
	}
	addresses := s.cfg.Control.Replicas()
	responses := make(chan replicaResponse, len(addresses))
	for _, address := range addresses {
		go func() {
			response, err := s.cfg.Control.QueryReplica(ctx, address, control.Query{Status: true})
			if err != nil {
				response.Replica = nil
			}
			responses <- replicaResponse{
				address: address,
				status:  response.Replica,
			}
		}()
	}
	statuses := map[netip.AddrPort]control.ReplicaStatus{}
	for range addresses {
		if r := <-responses; r.status != nil {
			statuses[r.address] = *r.status
		}
	}
	return statuses
}

// BudgetResponse is the response to GET /v1/budgets/{id}.
type BudgetResponse struct {
	ledger.BudgetView
}

func (s *Server) budget(c *echo.Context) error {
	response, err := s.query(c, control.Query{Budget: fleet.BudgetID(c.Param("id"))})
	if err != nil {
		return unavailable(c, err)
	}
	if !response.Found {
		return c.JSON(http.StatusNotFound, Problem{Error: "there is no such budget"})
	}
	return c.JSON(http.StatusOK, BudgetResponse{BudgetView: *response.Budget})
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
