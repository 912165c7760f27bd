package origin_test

import (
	"fmt"
	"time"

	"github.com/waxwingreel/waxwingreel/origin"
	"github.com/waxwingreel/waxwingreel/routing"
)

func ExampleTable() {
	streams := origin.Table{}
	key := origin.Key{
		Caller:  "lapland",
		Request: "9c41d07b",
	}
	streams.Add(origin.Record{
		Key: key,
		Origin: routing.Origin{
			Service:  "frost",
			Instance: "engine-1",
			Software: "v1.1",
		},
		TTLMillis: origin.TTL(4 * time.Second).Milliseconds(),
	}, 0)
	began, known := streams.Find(key, 30*time.Second)
	fmt.Println(known, began.Origin.Software, began.Origin.Admits(routing.Instance{
		ID:       "engine-7",
		Service:  "frost",
		Software: "v1.2",
	}))
	// Output: true v1.1 false
}
