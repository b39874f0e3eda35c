package fleet

import "strconv"

type (
	// Problem is one fault of a configuration or settings file. Line is 0 when
	// the fault belongs to no single line.
	Problem struct {
		File       string
		Line       int
		Object     string // the object's identity, if the fault belongs to one
		Field      string
		Value      string // the value found
		Allowed    string // what is allowed instead
		Suggestion string // the nearest known name
	}
)

// String returns the problem as printed for operators, on one line.
func (p Problem) String() string {
	text := p.File
	if p.Line > 0 {
		text += ":" + strconv.Itoa(p.Line)
	}
	text += ": "
	if p.Object != "" {
		text += p.Object + ": "
	}
	if p.Field != "" {
		text += p.Field + ": "
	}
	if p.Value != "" {
		text += "found " + p.Value + "; "
	}
	text += "want " + p.Allowed
	return text + didYouMean(p.Suggestion)
}
