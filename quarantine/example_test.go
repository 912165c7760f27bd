package quarantine_test

import (
	"fmt"

	"github.com/waxwingreel/waxwingreel/quarantine"
)

func ExampleIdentity() {
	first := quarantine.Identity("workspace-1", "maps.example", "/tile?x=1", []byte("body"))
	again := quarantine.Identity("workspace-1", "maps.example", "/tile?x=1", []byte("body"))
	other := quarantine.Identity("workspace-2", "maps.example", "/tile?x=1", []byte("body"))
	fmt.Println(first == again, first == other)
	// Output: true false
}
