package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// render fills in a settings template as the platform does: values, JSON values, sections over lists, tables
// and booleans, and inverted sections.
func render(text string, scopes []any) (string, error) {
	var out strings.Builder
	for {
		begin := strings.Index(text, "{{")
		if begin < 0 {
			out.WriteString(text)
			return out.String(), nil
		}
		out.WriteString(text[:begin])
		tag, rest, ok := strings.Cut(text[begin+2:], "}}")
		if !ok {
			return "", fmt.Errorf("placeholder without an end: %.40q", text[begin:])
		}
		if tag == "" || tag[0] != '#' && tag[0] != '^' {
			out.WriteString(value(tag, scopes))
			text = rest
			continue
		}
		name := tag[1:]
		body, after, ok := section(rest, name)
		if !ok {
			return "", fmt.Errorf("section %q without an end", name)
		}
		filled, err := renderSection(tag[0] == '^', body, look(name, scopes), scopes)
		if err != nil {
			return "", err
		}
		out.WriteString(filled)
		text = after
	}
}

// section splits a text at the end of a section.
func section(text, name string) (body, after string, ok bool) {
	end := "{{/" + name + "}}"
	at := strings.Index(text, end)
	if at < 0 {
		return "", "", false
	}
	return text[:at], text[at+len(end):], true
}

// entry is the current entry of a section over a list or a table.
type entry struct {
	key   any
	value any
	last  bool
}

func renderSection(inverted bool, body string, v any, scopes []any) (string, error) {
	present := v != nil && v != false
	if inverted {
		if present {
			return "", nil
		}
		return render(body, scopes)
	}
	if !present {
		return "", nil
	}
	var entries []entry
	switch t := v.(type) {
	case []any:
		for i, e := range t {
			entries = append(entries, entry{
				key:   i,
				value: e,
				last:  i == len(t)-1,
			})
		}
	case map[string]any:
		var keys []string
		for k := range t {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for i, k := range keys {
			entries = append(entries, entry{
				key:   k,
				value: t[k],
				last:  i == len(keys)-1,
			})
		}
	default:
		entries = []entry{{
			value: v,
			last:  true,
		}}
	}
	var out strings.Builder
	for _, e := range entries {
		filled, err := render(body, append(scopes[:len(scopes):len(scopes)], e))
		if err != nil {
			return "", err
		}
		out.WriteString(filled)
	}
	return out.String(), nil
}

// value returns the text of a placeholder.
func value(tag string, scopes []any) string {
	name, asJSON := strings.CutSuffix(tag, "|json")
	if name == "," || name == "@" {
		e, ok := scopes[len(scopes)-1].(entry)
		switch {
		case !ok:
			return ""
		case name == "@":
			return fmt.Sprint(e.key)
		case e.last:
			return ""
		}
		return ","
	}
	v := look(name, scopes)
	if v == nil && !asJSON {
		return ""
	}
	text, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	list, isList := v.([]any)
	s, isText := v.(string)
	switch {
	case asJSON:
		return string(text)
	case isText:
		return s
	case isList:
		var parts []string
		for _, e := range list {
			parts = append(parts, fmt.Sprint(e))
		}
		return strings.Join(parts, ",")
	}
	return string(text)
}

// look finds a name in the innermost scope that has it.
func look(name string, scopes []any) any {
	for i := len(scopes) - 1; i >= 0; i-- {
		scope := scopes[i]
		if e, ok := scope.(entry); ok {
			scope = e.value
		}
		if name == "." {
			return scope
		}
		if v, ok := walk(scope, strings.Split(name, ".")); ok {
			return v
		}
	}
	return nil
}

func walk(v any, path []string) (any, bool) {
	for _, step := range path {
		switch t := v.(type) {
		case map[string]any:
			next, ok := t[step]
			if !ok {
				return nil, false
			}
			v = next
		case []any:
			i := -1
			if _, err := fmt.Sscan(step, &i); err != nil || i < 0 || i >= len(t) {
				return nil, false
			}
			v = t[i]
		default:
			return nil, false
		}
	}
	return v, true
}
