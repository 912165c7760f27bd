package command

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/operator"
)

// evacuateCommand has the options of the commands on evacuations.
type evacuateCommand struct {
	adminOptions
	Args struct {
		DataCentre string `positional-arg-name:"DATACENTRE" required:"true"`
	} `positional-args:"true"`
	env *environment
}

type evacuateStartCommand struct {
	evacuateCommand
}

// Execute implements flags.Commander.
func (c *evacuateStartCommand) Execute([]string) error {
	return c.order(http.MethodPut)
}

type evacuateStopCommand struct {
	evacuateCommand
}

// Execute implements flags.Commander.
func (c *evacuateStopCommand) Execute([]string) error {
	return c.order(http.MethodDelete)
}

func (c *evacuateCommand) order(method string) error {
	body, status, err := c.call(method, "/v1/evacuations/"+url.PathEscape(c.Args.DataCentre), nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return c.responseError(status, body)
	}
	if c.JSON {
		_, err := c.env.out.Write(body)
		return err
	}
	response := operator.EvacuationsResponse{}
	if err := json.Unmarshal(body, &response); err != nil {
		return eris.Wrap(err, "decode the response")
	}
	_, err = fmt.Fprintln(c.env.out, evacuatedText(response.Evacuated))
	return err
}

// evacuatedText describes the evacuated data centres.
func evacuatedText(evacuated []fleet.DataCentre) string {
	if len(evacuated) == 0 {
		return "evacuated data centres: none"
	}
	names := make([]string, len(evacuated))
	for i, name := range evacuated {
		names[i] = string(name)
	}
	return "evacuated data centres: " + strings.Join(names, ", ")
}
