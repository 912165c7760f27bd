package fleet_test

import (
	"fmt"

	"github.com/waxwingreel/waxwingreel/fleet"
)

func ExampleParseRequestID() {
	id, err := fleet.ParseRequestID("01a23e7c-de1b-7726-8ae3-266c5c6754f2")
	fmt.Println(id, id.Created(), err)
	_, err = fleet.ParseRequestID("4b41a32c-9ab9-4c4e-8c0e-2d3b1c6f7a55")
	fmt.Println(err)
	// Output:
	// 01a23e7c-de1b-7726-8ae3-266c5c6754f2 1796344700443 <nil>
	// request id "4b41a32c-9ab9-4c4e-8c0e-2d3b1c6f7a55": UUID version 4, want version 7, which carries its creation time
}
