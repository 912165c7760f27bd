package lease_test

import (
	"fmt"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/lease"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// A node asks for what a request needs, gets it from the ledger, and spends a part.
func ExamplePool() {
	holder := fleet.Holder{
		Node:        "n1",
		Incarnation: 1,
	}
	state := ledger.New()
	state.Join(holder)
	state.SetPrepaid("b", 1000)
	pool := lease.New(lease.Config{
		Holder:        holder,
		SharePerMille: 100,
		Partition:     time.Hour,
		Policy:        lease.PolicyDemandRecall,
	})
	now := time.Minute
	fmt.Println(pool.Reserve("b", 300, now))
	pool.SetNeed("b", 300, now)
	for _, change := range pool.Changes(now) {
		result, _ := state.ChangeLease(change)
		pool.ApplyResult("b", result)
	}
	fmt.Println(pool.Reserve("b", 300, now))
	pool.Release("b", 300, 120, now)
	fmt.Println(pool.Holdings()[0].Free)
	// Output:
	// false
	// true
	// 180
}
