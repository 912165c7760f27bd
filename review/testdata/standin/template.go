package main

import (
	"encoding/json"
	"fmt"
	"strings"
)

// fields are the settings fields of a process as the platform names them.
type fields = map[string]any

// render fills in a settings template as the platform does. It knows the placeholders and sections
// that the template of this repository uses.
func render(text string, scope fields) (string, error) {
	return renderIn(text, scope, nil, false)
}

func renderIn(text string, scope fields, current any, last bool) (string, error) {
	out := strings.Builder{}
	for {
		before, rest, ok := strings.Cut(text, "{{")
		out.WriteString(before)
		if !ok {
			return out.String(), nil
		}
		tag, after, ok := strings.Cut(rest, "}}")
		if !ok {
			return "", fmt.Errorf("placeholder %q does not end", rest)
		}
		text = after
		switch {
		case tag == ",":
			if !last {
				out.WriteString(",")
			}
		case tag[0] == '#' || tag[0] == '^':
			body, following, ok := strings.Cut(text, "{{/"+tag[1:]+"}}")
			if !ok {
				return "", fmt.Errorf("section %q does not end", tag)
			}
			text = following
			part, err := renderSection(body, tag, scope)
			if err != nil {
				return "", err
			}
			out.WriteString(part)
		default:
			out.WriteString(format(tag, scope, current))
		}
	}
}

// renderSection renders the body of a section for each entry of a list, or once.
func renderSection(body, tag string, scope fields) (string, error) {
	value, present := lookUp(tag[1:], scope)
	if tag[0] == '^' {
		if present {
			return "", nil
		}
		return renderIn(body, scope, nil, false)
	}
	entries, isList := value.([]string)
	if !isList {
		if !present || value == false {
			return "", nil
		}
		return renderIn(body, scope, value, true)
	}
	out := strings.Builder{}
	for i, entry := range entries {
		part, err := renderIn(body, scope, entry, i == len(entries)-1)
		if err != nil {
			return "", err
		}
		out.WriteString(part)
	}
	return out.String(), nil
}

// lookUp returns a value by its path, such as "bounds.drain_ms" or "internal_port_range.0".
func lookUp(path string, scope fields) (any, bool) {
	value := any(scope)
	for part := range strings.SplitSeq(path, ".") {
		switch v := value.(type) {
		case fields:
			inner, ok := v[part]
			if !ok {
				return nil, false
			}
			value = inner
		case []int:
			index := 0
			if _, err := fmt.Sscan(part, &index); err != nil || index >= len(v) {
				return nil, false
			}
			value = v[index]
		default:
			return nil, false
		}
	}
	return value, true
}

func format(tag string, scope fields, current any) string {
	path, asJSON := strings.CutSuffix(tag, "|json")
	value := current
	if path != "." {
		value, _ = lookUp(path, scope)
	}
	if value == nil {
		return ""
	}
	if asJSON {
		text, _ := json.Marshal(value)
		return string(text)
	}
	return fmt.Sprint(value)
}
