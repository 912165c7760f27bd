package command

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/explain"
)

type explainCommand struct {
	JSON bool `long:"json" description:"Print JSON"`
	Args struct {
		Request string   `positional-arg-name:"REQUEST-ID" required:"yes"`
		Logs    []string `positional-arg-name:"LOG" required:"1"`
	} `positional-args:"yes"`
	env *environment
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var lines []explain.Line
	for _, name := range c.Args.Logs {
		file, err := os.Open(name)
		if err != nil {
			return usageError{err: err}
		}
		more, err := explain.Read(file)
		_ = file.Close()
		if err != nil {
			return eris.Wrap(err, name)
		}
		lines = append(lines, more...)
	}
	explanation, err := explain.Request(c.Args.Request, lines)
	if err != nil {
		return err
	}
	if c.JSON {
		encoder := json.NewEncoder(c.env.out)
		encoder.SetIndent("", "  ")
		return eris.Wrap(encoder.Encode(explanation), "print the explanation")
	}
	_, err = fmt.Fprint(c.env.out, explanation.Text())
	return err
}
