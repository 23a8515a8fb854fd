package bounded

// PruneJSON returns JSON text in which each object or array nested more than levels deep is replaced by replacement, a JSON
// value, so that a decoder reads the rest. Text within the levels is returned as it is; text that is not JSON stays so.
func PruneJSON(text []byte, levels int, replacement string) []byte {
	if !deeperThan(text, levels) {
		return text
	}
	out := make([]byte, 0, len(text))
	walkJSON(text, func(c byte, depth int, opens bool) {
		switch {
		case depth <= levels:
			out = append(out, c)
		case depth == levels+1 && opens:
			out = append(out, replacement...)
		}
	})
	return out
}

func deeperThan(text []byte, levels int) bool {
	deepest := 0
	walkJSON(text, func(_ byte, depth int, _ bool) { deepest = max(deepest, depth) })
	return deepest > levels
}

// walkJSON calls f with each byte and its depth; brackets have the depth of what is between them. opens is set for an opening
// bracket.
func walkJSON(text []byte, f func(c byte, depth int, opens bool)) {
	depth, inString, escaped := 0, false, false
	for _, c := range text {
		switch {
		case inString:
			f(c, depth, false)
			inString = escaped || c != '"'
			escaped = !escaped && c == '\\'
		case c == '{' || c == '[':
			depth++
			f(c, depth, true)
		case c == '}' || c == ']':
			f(c, depth, false)
			depth--
		default:
			f(c, depth, false)
			inString = c == '"'
		}
	}
}
