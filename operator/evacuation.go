package operator

import (
	"context"
	"net/http"
	"net/url"

	"github.com/labstack/echo/v5"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/controlclient"
	"github.com/waxwingreel/waxwingreel/evacuation"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// EvacuationsResponse is the response to a query of the evacuated data centres, and to an order.
type EvacuationsResponse struct {
	Evacuated []fleet.DataCentre `json:"evacuated"`
	// Number rises with each change.
	Number uint64 `json:"number"`
}

func newEvacuationsResponse(list evacuation.List) EvacuationsResponse {
	return EvacuationsResponse{
		Evacuated: append([]fleet.DataCentre{}, list.DataCentres...),
		Number:    list.Number,
	}
}

func (s *Server) evacuations(c *echo.Context) error {
	response, err := s.query(c, control.Query{Evacuations: true})
	if err != nil {
		return unavailable(c, err)
	}
	list := evacuation.List{}
	if response.Evacuated != nil {
		list = *response.Evacuated
	}
	return c.JSON(http.StatusOK, newEvacuationsResponse(list))
}

func (s *Server) startEvacuation(c *echo.Context) error {
	return s.evacuate(c, false)
}

func (s *Server) stopEvacuation(c *echo.Context) error {
	return s.evacuate(c, true)
}

// evacuate commits an order. The same order may be sent again.
func (s *Server) evacuate(c *echo.Context, stop bool) error {
	name, err := url.PathUnescape(c.Param("dataCentre"))
	order := evacuation.Order{
		DataCentre: fleet.DataCentre(name),
		Stop:       stop,
	}
	if err == nil {
		err = order.Check()
	}
	if err != nil {
		return c.JSON(http.StatusBadRequest, Problem{
			Error:   err.Error(),
			Applied: "no",
		})
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), submitTimeout)
	defer cancel()
	list, err := s.cfg.Control.Evacuate(ctx, order)
	if err != nil {
		problem := Problem{
			Error:   eris.ToString(err, false),
			Applied: "no",
			Hint:    "send the same order again",
		}
		if eris.Is(err, controlclient.ErrUnknown) {
			problem.Applied = "unknown"
		}
		return c.JSON(http.StatusServiceUnavailable, problem)
	}
	return c.JSON(http.StatusOK, newEvacuationsResponse(list))
}
