package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// fill fills a template of settings as the platform does: gaps, sections for lists, tables and given values, and their
// inverse. It knows what the project's template uses.
func fill(text string, scopes ...any) string {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String()
		}
		tag, after, _ := strings.Cut(rest, "}}")
		switch tag[0] {
		case '#', '^':
			end := "{{/" + tag[1:] + "}}"
			inner, behind, _ := strings.Cut(after, end)
			out.WriteString(section(inner, lookup(tag[1:], scopes), tag[0] == '^', scopes))
			text = behind
		default:
			out.WriteString(gap(tag, scopes))
			text = after
		}
	}
}

// keyed is one entry of a table, in a section.
type keyed struct {
	key   string
	value any
}

func section(inner string, value any, inverse bool, scopes []any) string {
	var out strings.Builder
	switch v := value.(type) {
	case map[string]any:
		if inverse {
			return ""
		}
		for _, key := range sortedKeys(v) {
			out.WriteString(fill(inner, append(scopes, keyed{key, v[key]})...))
		}
	case nil:
		if inverse {
			return fill(inner, scopes...)
		}
	case bool:
		if v != inverse {
			return fill(inner, scopes...)
		}
	default:
		if !inverse {
			return fill(inner, scopes...)
		}
	}
	return out.String()
}

func gap(tag string, scopes []any) string {
	name, asJSON := strings.CutSuffix(tag, "|json")
	value := lookup(name, scopes)
	if asJSON {
		return marshal(value)
	}
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	}
	return marshal(value)
}

func marshal(v any) string {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	_ = e.Encode(v)
	return strings.TrimSpace(b.String())
}

// lookup returns the value of a name with dots, in the innermost scope that has it; nil if none has.
func lookup(name string, scopes []any) any {
	last := scopes[len(scopes)-1]
	if k, ok := last.(keyed); ok {
		switch name {
		case ".":
			return k.value
		case "@":
			return k.key
		}
	}
	for i := len(scopes) - 1; i >= 0; i-- {
		if v := descend(scopes[i], strings.Split(name, ".")); v != nil {
			return v
		}
	}
	return nil
}

func descend(v any, path []string) any {
	for _, step := range path {
		switch x := v.(type) {
		case map[string]any:
			v = x[step]
		case []any:
			i := -1
			if _, err := fmt.Sscan(step, &i); err != nil || i < 0 || i >= len(x) {
				return nil
			}
			v = x[i]
		default:
			return nil
		}
	}
	return v
}
