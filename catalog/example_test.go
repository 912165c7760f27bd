package catalog_test

import (
	"fmt"

	"github.com/waxwingreel/waxwingreel/catalog"
)

// A resent ticket gets its original outcome. A different ticket with the same number is
// refused.
func ExampleState_Apply() {
	state := catalog.New()
	for _, text := range []string{
		`{"changes": [{"model": {"id": "frost", "version": "1", "maxOutput": 9, "maxPrompt": 9}}]}`,
		`{"changes": [{"model": {"id": "frost", "version": "1", "maxOutput": 9, "maxPrompt": 9}}]}`,
		`{"changes": [{"model": {"id": "frost", "version": "2", "maxOutput": 9, "maxPrompt": 9}}]}`,
	} {
		ticket, err := catalog.ParseTicket(7, []byte(text))
		if err != nil {
			fmt.Println(err)
			return
		}
		outcome := state.Apply(ticket, 0, nil)
		fmt.Println(outcome.Accepted, outcome.Version, outcome.AcceptedDigest != "")
	}
	// Output:
	// true 1 false
	// true 1 false
	// false 0 true
}
