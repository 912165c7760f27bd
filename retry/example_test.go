package retry_test

import (
	"fmt"

	"github.com/waxwingreel/waxwingreel/retry"
)

func ExampleBudget() {
	budget := retry.New(retry.Config{
		Ratio: 0.5,
		Burst: 1,
	})
	fmt.Println(budget.Retry(), budget.Retry())
	budget.Request()
	budget.Request()
	fmt.Println(budget.Retry())
	// Output:
	// true false
	// true
}
