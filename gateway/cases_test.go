package gateway_test

import (
	"os"
	"strings"
	"testing"
)

// readCases reads the cases of a data file: lines with the given number of fields, separated by |. Lines
// that begin with # are comments.
func readCases(t *testing.T, path string, fields int) [][]string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var cases [][]string
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		parts := strings.Split(line, "|")
		if len(parts) != fields {
			t.Fatalf("%s: got %d fields in line %q, want %d", path, len(parts), line, fields)
		}
		for i := range parts {
			parts[i] = strings.TrimSpace(parts[i])
		}
		cases = append(cases, parts)
	}
	return cases
}
