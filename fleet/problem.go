package fleet

import "strconv"

type (
	// Problem is one error in a configuration or settings file. Line is 0 if the
	// error isn't tied to a line.
	Problem struct {
		File       string
		Line       int
		Object     string // identity of the object with the error, if any
		Field      string
		Value      string // value found
		Allowed    string // description of the allowed values
		Suggestion string // known name closest to Value
	}
)

// String returns the problem as one line for operators.
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
