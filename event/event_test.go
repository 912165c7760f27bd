package event

import (
	"os"
	"regexp"
	"testing"
)

// TestCatalogue checks that docs/EVENTS.md lists exactly the events of this package.
func TestCatalogue(t *testing.T) {
	code, err := os.ReadFile("event.go")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	inCode := numbered(code, `(?m)^\t(\w+) +ID = (\d+)$`, 2, 1)
	inPage := numbered(page, `(?m)^\| (\d+) \| (\w+) \|`, 1, 2)
	if len(inCode) < 20 {
		t.Fatalf("found %d events in the code, want at least 20", len(inCode))
	}
	for number, name := range inCode {
		if got, want := inPage[number], name; got != want {
			t.Errorf("event %s: docs/EVENTS.md has the name %q, the code has %q", number, got, want)
		}
	}
	for number, name := range inPage {
		if inCode[number] == "" {
			t.Errorf("docs/EVENTS.md has event %s %s, which the code does not define", number, name)
		}
	}
}

// numbered returns the names of the events in text by number. The arguments number and name
// are the indices of the pattern's groups that match them.
func numbered(text []byte, pattern string, number, name int) map[string]string {
	found := map[string]string{}
	for _, match := range regexp.MustCompile(pattern).FindAllSubmatch(text, -1) {
		found[string(match[number])] = string(match[name])
	}
	return found
}
