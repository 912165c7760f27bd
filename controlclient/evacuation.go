package controlclient

import (
	"context"
	"math/rand/v2"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/evacuation"
	"github.com/waxwingreel/waxwingreel/event"
)

// errNoEvacuations means that the order was dropped.
var errNoEvacuations = eris.New("controlclient: the leader of the control group is of a version that knows no evacuations")

// Evacuations returns the evacuated data centres.
func (c *Client) Evacuations() evacuation.List {
	return c.knowledge.Load().evacuations
}

// Evacuate starts or stops the evacuation of a data centre and returns those that are evacuated then. It returns
// no error only if the order is committed.
func (c *Client) Evacuate(ctx context.Context, order evacuation.Order) (evacuation.List, error) {
	order.Attempt = evacuation.Attempt(rand.Uint64() | 1)
	result, err := c.Submit(ctx, control.Command{Evacuate: &order})
	if err == nil && result.Evacuated == nil {
		err = errNoEvacuations
	}
	list := evacuation.List{}
	if result.Evacuated != nil {
		list = *result.Evacuated
	}
	c.cfg.Log.Info(event.EvacuationOrdered).
		Str("dataCentre", string(order.DataCentre)).
		Bool("stop", order.Stop).
		Uint64("number", list.Number).
		Any("evacuated", list.DataCentres).
		AnErr("error", err).
		Msg("order on the evacuation of a data centre received from an operator")
	return list, err
}

// applyEvacuations starts to use a newer list of evacuated data centres and passes it to the watcher.
func (c *Client) applyEvacuations(list *evacuation.List) {
	if list == nil || list.Number <= c.Evacuations().Number {
		return
	}
	c.change(func(k *knowledge) { k.evacuations = *list })
	c.withAge(c.cfg.Log.Info(event.EvacuationInForce)).
		Uint64("number", list.Number).
		Any("evacuated", list.DataCentres).
		Msg("list of evacuated data centres in force; their servers get no new requests")
	if watcher := c.watcher.Load(); watcher != nil {
		(*watcher).HandleEvacuations(*list)
	}
}
