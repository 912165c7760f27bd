package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// entry is a field that a section visits, or the root of the fields.
type entry struct {
	value any
	key   string
	last  bool
}

// render fills in a template as the platform's page on deployment describes it.
func render(text string, scope []entry) (string, error) {
	out := strings.Builder{}
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		tag, after, closed := strings.Cut(rest, "}}")
		if !closed {
			return "", fmt.Errorf("a placeholder is not closed: %.40q", rest)
		}
		if !strings.HasPrefix(tag, "#") && !strings.HasPrefix(tag, "^") {
			out.WriteString(placeholder(tag, scope))
			text = after
			continue
		}
		body, behind, ok := strings.Cut(after, "{{/"+tag[1:]+"}}")
		if !ok {
			return "", fmt.Errorf("section %q is not closed", tag)
		}
		for _, e := range visits(tag, scope) {
			inner, err := render(body, append([]entry{e}, scope...))
			if err != nil {
				return "", err
			}
			out.WriteString(inner)
		}
		text = behind
	}
}

// visits returns the entries for which a section is rendered.
func visits(tag string, scope []entry) []entry {
	value := lookUp(tag[1:], scope)
	empty := value == nil || value == false
	if tag[0] == '^' {
		if empty {
			return []entry{scope[0]}
		}
		return nil
	}
	switch v := value.(type) {
	case []any:
		var entries []entry
		for i, element := range v {
			entries = append(entries, entry{
				value: element,
				key:   strconv.Itoa(i),
				last:  i == len(v)-1,
			})
		}
		return entries
	case map[string]any:
		names := make([]string, 0, len(v))
		for name := range v {
			names = append(names, name)
		}
		sort.Strings(names)
		var entries []entry
		for i, name := range names {
			entries = append(entries, entry{
				value: v[name],
				key:   name,
				last:  i == len(names)-1,
			})
		}
		return entries
	}
	if empty {
		return nil
	}
	return []entry{{
		value: value,
		last:  true,
	}}
}

func placeholder(tag string, scope []entry) string {
	switch tag {
	case ",":
		if scope[0].last {
			return ""
		}
		return ","
	case "@":
		return scope[0].key
	}
	name, asJSON := strings.CutSuffix(tag, "|json")
	value := lookUp(name, scope)
	if asJSON {
		return encode(value)
	}
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	case []any:
		parts := make([]string, len(v))
		for i, element := range v {
			parts[i] = fmt.Sprint(element)
		}
		return strings.Join(parts, ",")
	case map[string]any:
		return encode(v)
	}
	return fmt.Sprint(value)
}

func encode(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// lookUp finds a value by its path, in the innermost entry that has it.
func lookUp(path string, scope []entry) any {
	if path == "." {
		return scope[0].value
	}
	for _, e := range scope {
		value := e.value
		for _, name := range strings.Split(path, ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[name]
			case []any:
				i, err := strconv.Atoi(name)
				if err != nil || i < 0 || i >= len(v) {
					value = nil
					break
				}
				value = v[i]
			default:
				value = nil
			}
		}
		if value != nil {
			return value
		}
	}
	return nil
}
